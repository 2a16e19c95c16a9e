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

// Guards against a request that its endpoint runs and that is sent to another one, or whose caller is
// told that it has not run: a copy of an earlier refusal arrived on a kept connection without an ID, with
// that of the refused request, or in the middle of another answer.
func TestCopyOfARefusalOnAKeptConnection(t *testing.T) {
	refusal := func(id string) string {
		if id != "" {
			id = "Test-Id: " + id + "\r\n"
		}
		return "HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\n" + id + "Content-Length: 0\r\n\r\n"
	}
	const runs = "whole answer"
	withChunks := func(r *http.Request, inside string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%s0\r\n\r\n", r.Header.Get("Test-Id"), len(runs), runs, inside)
	}
	for name, k := range map[string]struct {
		answer func(r *http.Request) string
		status int
		whole  bool
	}{
		"before the answer, without an ID":   {func(r *http.Request) string { return refusal("") + okResponse(r, runs) }, http.StatusBadGateway, false},
		"in place of the answer":             {func(*http.Request) string { return refusal("") }, http.StatusBadGateway, false},
		"before the answer, with its own ID": {func(r *http.Request) string { return refusal("refused") + okResponse(r, runs) }, http.StatusOK, true},
		"after the answer":                   {func(r *http.Request) string { return okResponse(r, runs) + refusal("refused") }, http.StatusOK, true},
		"between two chunks of the answer":   {func(r *http.Request) string { return withChunks(r, refusal("refused")) }, 0, false},
		"as a part of the answer's body":     {func(r *http.Request) string { return okResponse(r, refusal("refused")+runs) }, http.StatusOK, true},
	} {
		t.Run(name, func(t *testing.T) {
			e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
				answer := okResponse(r, "first")
				switch id := r.Header.Get("Test-Id"); {
				case id == "refused":
					answer = refusal(id)
				case id != "first":
					answer = k.answer(r)
				}
				_, err := io.WriteString(c, answer)
				return err == nil
			})
			other := serveRaw(t, respondOK("from the other"))
			f := newFixture(t, e, other)
			send := func(id string) (int, string, error) {
				r := f.request(t, "POST", "/unsafe/x", "pay")
				r.Header.Set("Test-Id", id)
				return f.do(t, r)
			}
			status, _, err := send("first")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			status, _, err = send("refused")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status, "it runs at the other endpoint")
			require.EqualValues(t, 1, other.requests.Load())
			f.clock.advance(refusalPause)
			before := e.requests.Load()
			status, body, err := send("second")
			require.Equal(t, before+1, e.requests.Load())
			require.EqualValues(t, 1, other.requests.Load(), "the request ran twice")
			if k.status != 0 {
				require.NoError(t, err)
				require.Equal(t, k.status, status)
			}
			require.NotContains(t, []int{408, 421, 429, 503}, status, "the caller is told that its request has not run")
			require.Equal(t, k.whole, err == nil && strings.HasSuffix(body, runs))
		})
	}
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
