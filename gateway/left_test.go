package gateway

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/callerconn"
)

// Guards against requests that are sent to endpoints although their callers had left before this
// process came to read them, as while it is short of processor time.
func TestNothingIsSentForCallersThatLeftBeforeTheyWereRead(t *testing.T) {
	const callers = 100
	e := serveRaw(t, respondOK("answer"))
	f := newFixture(t, e)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	for i := range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		request := "GET /safe/x HTTP/1.1\r\nHost: service.test\r\nTest-Key: key\r\nTest-Id: y\r\n\r\n"
		if i%2 == 0 {
			request = "POST /unsafe/x HTTP/1.1\r\nHost: service.test\r\nTest-Key: key\r\nTest-Id: y\r\nContent-Length: 4\r\n\r\nbody"
		}
		_, err = io.WriteString(c, request)
		require.NoError(t, err)
		require.NoError(t, c.Close())
	}
	before := f.requests.Value()
	srv := serveOn(l, f.Gateway, callerconn.New())
	defer srv.Close()
	require.Eventually(t, func() bool { return f.requests.Value() == before+callers && f.inFlight.Load() == 0 }, 5*time.Second, time.Millisecond)
	require.Zero(t, e.requests.Load(), "of %d requests", callers)
}
