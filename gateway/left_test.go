package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/callerconn"
	"github.com/galenaweir/galenaweir/core/forward"
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
	require.Eventually(t, func() bool { return f.requests.Value() == before+callers && srv.conns.Open() == 0 }, 5*time.Second, time.Millisecond)
	require.Zero(t, e.requests.Load(), "of %d requests", callers)
}

// Guards against the same where net/http has not noticed the close, whatever the processor does.
func TestCallerIsLookedAtBeforeEachAttempt(t *testing.T) {
	e := serveRaw(t, respondOK("answer"))
	f := newFixture(t, e)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	conns := callerconn.New()
	accepted, err := conns.Listen(l).Accept()
	require.NoError(t, err)
	defer accepted.Close()
	ctx := conns.ConnContext(context.Background(), accepted)
	send := func() *exchangeError {
		endpoint, _ := f.state.endpointList.Get("e0", f.clock.read())
		r := f.request(t, "GET", "/safe/x", "").WithContext(ctx)
		q := &request{
			g: f.Gateway, r: r, w: httptest.NewRecorder(), call: RequestInfo{ID: "id"}, route: &forward.Route{Public: true}, service: &forward.Service{Name: "s"}, deadline: f.clock.read() + time.Minute,
			msg: wireRequest{method: "GET", uri: "/safe/x", host: "h", header: http.Header{"Test-Id": {"id"}}},
		}
		return q.sendTo(ctx, &placement{endpoint: endpoint, maxConns: 1})
	}
	require.Nil(t, send())
	require.EqualValues(t, 1, e.requests.Load())
	require.NoError(t, caller.Close())
	require.Eventually(t, func() bool { return callerconn.Left(ctx) }, 5*time.Second, time.Millisecond)
	xerr := send()
	require.ErrorIs(t, xerr, errCallerLeft)
	require.False(t, xerr.sent)
	require.EqualValues(t, 1, e.requests.Load())
}
