package process

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
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

// testTLS returns the TLS settings of a server, and those of a client that trusts it.
func testTLS(t *testing.T) (server, client *tls.Config) {
	t.Helper()
	s := httptest.NewTLSServer(nil)
	t.Cleanup(s.Close)
	pool := x509.NewCertPool()
	pool.AddCert(s.Certificate())
	return &tls.Config{Certificates: s.TLS.Certificates}, &tls.Config{RootCAs: pool, ServerName: "example.com"}
}

// Guards against a request that is dropped because its head is still arriving as the server shuts
// down.
func TestShutdownAnswersRequestsThatHaveBegun(t *testing.T) {
	for _, usesTLS := range []bool{false, true} {
		t.Run(fmt.Sprintf("TLS %v", usesTLS), func(t *testing.T) {
			var serverTLS, clientTLS *tls.Config
			if usesTLS {
				serverTLS, clientTLS = testTLS(t)
			}
			s, err := Serve("127.0.0.1:0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), serverTLS)
			require.NoError(t, err)
			defer s.Close()
			c, err := net.Dial("tcp", s.Address())
			require.NoError(t, err)
			defer c.Close()
			if usesTLS {
				c = tls.Client(c, clientTLS)
			}
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
			require.NoError(t, s.Shutdown(t.Context()), "the connection is idle")
		})
	}
}

// slowListener tells its server that it is closed only after the second call of Close.
type slowListener struct {
	net.Listener
	closes   atomic.Int32
	reported chan struct{}
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.reported
	}
	return c, err
}

func (l *slowListener) Close() error {
	if l.closes.Add(1) == 2 {
		close(l.reported)
	}
	return l.Listener.Close()
}

// Guards against a complete shutdown that returns an error because the accepting goroutine runs late.
func TestShutdownBeforeTheServerNoticesIt(t *testing.T) {
	for _, usesTLS := range []bool{false, true} {
		t.Run(fmt.Sprintf("TLS %v", usesTLS), func(t *testing.T) {
			var serverTLS *tls.Config
			transport, scheme := &http.Transport{}, "http://"
			if usesTLS {
				serverTLS, transport.TLSClientConfig = testTLS(t)
				scheme = "https://"
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			s := serveOn(&slowListener{Listener: l, reported: make(chan struct{})}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }), serverTLS)
			defer s.Close()
			client := http.Client{Transport: transport}
			resp, err := client.Get(scheme + s.Address()) // an answer shows that the server has begun to accept
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			client.CloseIdleConnections()
			require.NoError(t, s.Shutdown(t.Context()))
		})
	}
}

// Guards against HTTP/2 connections that are cut by the timeouts for HTTP/1, or that a shutdown waits for
// although no request runs on them.
func TestShutdownEndsHTTP2Connections(t *testing.T) {
	serverTLS, clientTLS := testTLS(t)
	s, err := Serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.ProtoMajor) }), serverTLS)
	require.NoError(t, err)
	defer s.Close()
	client := http.Client{Transport: &http.Transport{TLSClientConfig: clientTLS, ForceAttemptHTTP2: true}}
	for range 2 {
		resp, err := client.Get("https://" + s.Address())
		require.NoError(t, err)
		b, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, "2", string(b))
	}
	require.Zero(t, s.conns.Open())
	require.NoError(t, s.Shutdown(t.Context()))
}
