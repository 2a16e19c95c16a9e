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
