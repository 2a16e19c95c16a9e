package agent

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/rpc"
)

// answerRaw runs a server that answers each request with handle, without having read its body.
func answerRaw(t *testing.T, handle func(c *net.TCPConn)) (address string) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		handle(c.(*net.TCPConn))
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// Guards against a part of a service's answer that is passed on, and recorded, as the whole one: the
// answer has no length, and its connection was reset while the request was still being written.
func TestPartOfAServiceAnswerIsAFailure(t *testing.T) {
	address := answerRaw(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = c.SetLinger(0)
	})
	upload := make([]byte, 16<<20) // more than the buffers of a connection take
	for range 200 {
		resp, err := newServiceCalls().roundTrip(t.Context(), config.Endpoint{Address: address}, &rpc.CallRequest{Method: "POST", Path: "/", Body: upload})
		require.Error(t, err, "%+v", resp)
	}
}

// Guards against a broken head that an outside system has sent and that is taken for an answer, or
// whose body is searched for one.
func TestBrokenHeadsAreFailures(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	for _, head := range []string{
		"000 Broken\r\nContent-Length: 40", "099 Broken", "+20 Broken", "101 Switching Protocols", "103 Early Hints\r\nContent-Length: 40",
		"200 OK\r\nX-Foo : 1\r\nContent-Length: 2\r\n\r\n{}", "200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\n{}", "103 Early Hints\r\nX Foo: 1",
	} {
		address := answerRaw(t, func(c *net.TCPConn) { _, _ = io.WriteString(c, "HTTP/1.1 "+head+"\r\n\r\n"+inner) })
		for name, call := range outsideCalls(t, address) {
			require.Error(t, call(), "%s: %s", name, head)
		}
	}
}

// Guards against a recorded answer that an entry can't pass on, as its status doesn't exist.
func TestRecordedBrokenAnswerIsNotRepeated(t *testing.T) {
	for _, status := range []uint32{0, 99, 101} {
		_, err := replay(&rpc.Outcome{Status: status, BodyKept: true})
		require.True(t, apierr.Is(err, apierr.AnswerNotKept), status)
	}
	_, err := replay(&rpc.Outcome{Status: 404, BodyKept: true})
	require.NoError(t, err)
}

// Guards against the sizes of chunks in an answer of HTTP/1.0 that stand in its body.
func TestChunksOfAnOldVersionAreRejected(t *testing.T) {
	address := answerRaw(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
	})
	resp, err := newServiceCalls().roundTrip(t.Context(), config.Endpoint{Address: address}, &rpc.CallRequest{Method: "GET", Path: "/"})
	require.Error(t, err, "%+v", resp)
}
