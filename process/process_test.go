package process

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a first signal that aborts running work, and a second one that
// doesn't.
func TestSignals(t *testing.T) {
	drain, stop := ShutdownSignals()
	require.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	<-drain.Done()
	require.NoError(t, stop.Err())
	require.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	<-stop.Done()
}

// Guards against a shutdown that truncates a response in progress, and against
// metrics, health or readiness that aren't served.
func TestShutdown(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s, err := Serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		fmt.Fprint(w, "the whole answer")
	}), nil)
	require.NoError(t, err)
	defer s.Close()
	answer := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + s.Address())
		if err != nil {
			answer <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		answer <- string(b)
	}()
	<-started
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	require.Error(t, s.Shutdown(expired), "a response is still in progress")
	close(release)
	require.NoError(t, s.Shutdown(t.Context()))
	require.Equal(t, "the whole answer", <-answer)

	ready := false
	operators, err := ServeOperatorHTTP("127.0.0.1:0", func() bool { return ready })
	require.NoError(t, err)
	defer operators.Close()
	status := func(path string) int {
		resp, err := http.Get("http://" + operators.Address() + path)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	require.Equal(t, http.StatusServiceUnavailable, status("/readyz"))
	ready = true
	require.Equal(t, http.StatusNoContent, status("/readyz"))
	require.Equal(t, http.StatusNoContent, status("/healthz"))
	require.Equal(t, http.StatusOK, status("/debug/vars"))
}

// Guards against a request that is dropped because its head is still arriving as the server shuts
// down.
func TestShutdownAnswersRequestsThatHaveBegun(t *testing.T) {
	s, err := Serve("127.0.0.1:0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), nil)
	require.NoError(t, err)
	defer s.Close()
	c, err := net.Dial("tcp", s.Address())
	require.NoError(t, err)
	defer c.Close()
	const request = "GET / HTTP/1.1\r\nHost: service.test\r\n\r\n"
	br := bufio.NewReader(c)
	call := func(part string) {
		_, err := io.WriteString(c, part)
		require.NoError(t, err)
		resp, err := http.ReadResponse(br, nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	call(request)
	_, err = io.WriteString(c, request[:10])
	require.NoError(t, err)
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	_ = s.Shutdown(expired)
	call(request[10:])
}
