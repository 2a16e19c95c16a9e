package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a second copy of a refusal that arrives late, as the connection is in use again,
// and lets a request that runs be sent to another endpoint too.
func TestLateCopyOfARefusalIsNotTakenForTheNextAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	onConn := map[net.Conn]int{}
	var mu sync.Mutex
	ran := 0
	e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		mu.Lock()
		defer mu.Unlock()
		onConn[c]++
		if onConn[c] == 1 && ran == 0 && len(onConn) == 1 {
			_, err := io.WriteString(c, refusal)
			return err == nil
		}
		ran++
		late := ""
		if onConn[c] > 1 {
			late = refusal // the second copy, before the answer
		}
		_, err := io.WriteString(c, late+okResponse(r, "from the first"))
		return err == nil
	})
	other := serveRaw(t, respondOK("from the other"))
	f := newFixture(t, e, other)
	require.Equal(t, 200, f.status(t, "/unsafe/x", "key"))
	require.EqualValues(t, 1, other.requests.Load(), "the first request was refused")
	f.clock.advance(refusalPause)
	status, body, err := f.do(t, f.request(t, "POST", "/unsafe/x", "pay"))
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "from the first", body)
	require.EqualValues(t, 1, other.requests.Load(), "the second request ran twice")
}

// Guards against an answer that breaks off after its head was passed on and that counts as running
// at its endpoint for ever, or is begun again.
func TestLongAnswerThatBreaksOffIsOver(t *testing.T) {
	broken := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Test-Id"), 4*maxBufferedBytes, strings.Repeat("a", 2*maxBufferedBytes))
		return false
	})
	f := newFixture(t, broken, serveRaw(t, respondOK("from the other")))
	for _, path := range []string{"/safe/x", "/unsafe/x"} {
		_, _, err := f.do(t, f.request(t, "GET", path, ""))
		require.Error(t, err, "it must not look complete")
	}
	require.EqualValues(t, 2, broken.requests.Load())
	require.Eventually(t, func() bool { return f.inFlight.Load() == 0 }, 5*time.Second, time.Millisecond)
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	require.Zero(t, f.state.endpointState("e0").load)
}
