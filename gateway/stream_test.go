package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

func sseEvent(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// streamFrom serves the events after the one in the Test-Last header, up to the event last,
// and closes the connection in the middle of the event breakAt.
func streamFrom(t *testing.T, breakAt, last int) *testEndpoint {
	return serveRaw(t, func(r *http.Request, c net.Conn) bool {
		from, _ := strconv.Atoi(r.Header.Get("Test-Last"))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Id: "+r.Header.Get("Test-Id")+"\r\nTest-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		cw := httputil.NewChunkedWriter(c)
		for i := from + 1; i <= last; i++ {
			data := sseEvent(i)
			if i == breakAt {
				_, _ = io.WriteString(cw, data[:len(data)/2])
				return false
			}
			_, _ = io.WriteString(cw, data)
		}
		_ = cw.Close()
		_, err := io.WriteString(c, "\r\n")
		return err == nil
	})
}

// Guards against events that are lost, duplicated or merged when a stream resumes on another
// endpoint, and against an interrupted stream that looks complete.
func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	f := newFixture(t, streamFrom(t, 3, 6), streamFrom(t, -1, 6))
	want := ""
	for i := 1; i <= 6; i++ {
		want += sseEvent(i)
	}
	status, body, err := f.do(t, f.request(t, "POST", "/resumable/x", "prompt"))
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, want, body)

	f = newFixture(t, streamFrom(t, 3, 6), streamFrom(t, -1, 6))
	_, body, err = f.do(t, f.request(t, "POST", "/stream/x", "prompt"))
	require.Error(t, err, "a stream that cannot be resumed must not look complete")
	require.Equal(t, sseEvent(1)+sseEvent(2), body)
}

// Guards against events that are held back until later ones arrive.
func TestEventsAreForwardedImmediately(t *testing.T) {
	release := make(chan struct{})
	e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Id: "+r.Header.Get("Test-Id")+"\r\nTest-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n")
		cw := httputil.NewChunkedWriter(c)
		_, _ = io.WriteString(cw, sseEvent(1))
		<-release
		_, _ = io.WriteString(cw, sseEvent(2))
		_ = cw.Close()
		_, err := io.WriteString(c, "\r\n")
		return err == nil
	})
	f := newFixture(t, e)
	resp, err := f.srv.Client().Do(f.request(t, "POST", "/stream/x", "prompt"))
	require.NoError(t, err)
	defer resp.Body.Close()
	first := make([]byte, len(sseEvent(1)))
	_, err = io.ReadFull(resp.Body, first)
	require.NoError(t, err)
	require.Equal(t, sseEvent(1), string(first))
	close(release)
	rest, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, sseEvent(2), string(rest))
}

// Guards against events that are not recognized as complete because their separator arrives in
// pieces.
func TestSeparatorsOfEventsMayArriveInPieces(t *testing.T) {
	for _, separator := range []string{"\n\n", "\r\n\r\n"} {
		text := "id: 1" + separator + "id: 2" + separator
		for size := 1; size <= len(text); size++ {
			var b eventBuffer
			got := ""
			for rest := text; rest != ""; rest = rest[min(size, len(rest)):] {
				events := b.add([]byte(rest[:min(size, len(rest))]))
				got += string(events)
				b.remove(len(events))
			}
			require.Equal(t, text, got, "pieces of %d bytes", size)
			require.Empty(t, b.pending)
		}
	}
}

// Guards against events that are lost, duplicated or merged, and against a stream that is begun twice,
// when a copy of an earlier refusal arrives on a kept connection before the stream or within it.
func TestCopyOfARefusalWithinAStream(t *testing.T) {
	const events = 5
	refusal := "HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\nTest-Id: refused\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		copyBefore int // the event before which the copy arrives, 0 before the head
		path       string
		resumes    bool // the rest comes from the other endpoint
		complete   bool
	}{
		"before the head":                       {0, "/stream/x", false, true},
		"between two events":                    {3, "/resumable/x", true, true},
		"between two events, can't be resumed":  {3, "/stream/x", false, false},
		"before the first event, can't be sent": {1, "/stream/x", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := serveRaw(t, func(r *http.Request, conn net.Conn) bool {
				id := r.Header.Get("Test-Id")
				if id == "first" {
					_, err := io.WriteString(conn, okResponse(r, "ok"))
					return err == nil
				}
				if c.copyBefore == 0 {
					_, _ = io.WriteString(conn, refusal)
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTest-Id: "+id+"\r\nTest-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n")
				cw := httputil.NewChunkedWriter(conn)
				for i := 1; i <= events; i++ {
					if i == c.copyBefore {
						_, _ = io.WriteString(conn, refusal)
					}
					_, _ = io.WriteString(cw, sseEvent(i))
				}
				_ = cw.Close()
				_, err := io.WriteString(conn, "\r\n")
				return err == nil
			})
			other := streamFrom(t, -1, events)
			f := newFixture(t, e, other)
			first := f.request(t, "POST", "/unsafe/x", "pay")
			first.Header.Set("Test-Id", "first")
			status, _, err := f.do(t, first)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			status, body, err := f.do(t, f.request(t, "POST", c.path, "prompt"))
			require.EqualValues(t, boolInt(c.resumes), other.requests.Load())
			require.NotContains(t, []int{408, 421, 429, 503}, status, "the caller is told that its request has not run")
			if !c.complete {
				require.True(t, err != nil || status == http.StatusBadGateway, "the stream must not look complete")
				return
			}
			require.NoError(t, err)
			want := ""
			for i := 1; i <= events; i++ {
				want += sseEvent(i)
			}
			require.Equal(t, want, body)
		})
	}
}
