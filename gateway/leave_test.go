package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are run or answered by another service which was assigned
// the address of a removed endpoint.
func TestReusedAddressRunsNoRequests(t *testing.T) {
	misdirected := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	namedEndpoints := make(chan string, 100)
	correct := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		namedEndpoints <- r.Header.Get("Test-Endpoint")
		_, err := io.WriteString(c, okResponse(r, "from the right one"))
		return err == nil
	})
	f := newFixture(t, misdirected, correct)
	for i := range 20 {
		path := []string{"/unsafe/", "/safe/"}[i%2] + fmt.Sprint(i)
		status, body, err := f.do(t, f.request(t, "POST", path, "pay"))
		require.NoError(t, err)
		require.Equal(t, 200, status, path)
		require.Equal(t, "from the right one", body)
		require.Equal(t, "e1", <-namedEndpoints, "each request must name the endpoint that may run it")
		f.clock.advance(500 * time.Millisecond)
		f.applyOperators(nil, f.clock.read(), false)
	}
	attempts := misdirected.requests.Load()
	require.Positive(t, attempts, "the reused address was never tried")
	require.LessOrEqual(t, attempts, int64(10*time.Second/misdirectedPause)+1, "each request to the reused address spends retry budget")

	foreign := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign")
		return err == nil
	})
	f = newFixture(t, foreign)
	status, body, err := f.do(t, f.request(t, "POST", "/unsafe/x", "pay"))
	require.NoError(t, err)
	require.Equal(t, 502, status)
	require.NotContains(t, body, "foreign")
}

// releaseTimeout is the maximum time from a caller's disconnect until its endpoint is released.
const releaseTimeout = 500 * time.Millisecond

// Guards against endpoints that keep running requests and streams after many callers have
// disconnected.
func TestEndpointsAreReleasedWhenManyCallersDisconnect(t *testing.T) {
	const callers = 30
	var arrived sync.WaitGroup
	arrived.Add(callers)
	released := make(chan time.Time, callers)
	e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		if r.URL.Path[:3] == "/st" || r.URL.Path[:3] == "/re" { // a stream: send its first event
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Id: "+r.Header.Get("Test-Id")+"\r\nTest-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nid: 1\n\n\n\r\n")
		}
		arrived.Done()
		_, err := c.Read(make([]byte, 1))
		if err != nil {
			released <- time.Now()
		}
		return false
	})
	f := newFixture(t, e)
	ctx, disconnect := context.WithCancel(context.Background())
	for i := range callers {
		path := []string{"/safe/", "/stream/", "/resumable/"}[i%3] + fmt.Sprint(i)
		r := f.request(t, "GET", path, "").WithContext(ctx)
		go func() {
			resp, err := f.srv.Client().Do(r)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		}()
	}
	arrived.Wait()
	disconnectedAt := time.Now()
	disconnect()
	for range callers {
		require.Less(t, (<-released).Sub(disconnectedAt), releaseTimeout)
	}
	require.EqualValues(t, callers, e.requests.Load(), "no request may be retried")
}

// Guards against requests that are sent or retried after their caller has disconnected.
func TestNothingIsSentAfterTheCallerDisconnects(t *testing.T) {
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	slow := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		arrived <- struct{}{}
		<-release
		_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	other := serveRaw(t, respondOK("answer"))
	f := newFixture(t, slow, other)
	ctx, disconnect := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = f.do(t, f.request(t, "GET", "/safe/x", "").WithContext(ctx))
	}()
	<-arrived
	disconnect()
	<-done
	require.Eventually(t, func() bool { return f.inFlight.Load() == 0 }, releaseTimeout, time.Millisecond, "the disconnect was not noticed")
	close(release)

	// A truncated body: the caller disconnects before its request is complete.
	c, err := net.Dial("tcp", f.srv.Listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(c, "POST /safe/y HTTP/1.1\r\nHost: service.test\r\nTest-Key: key\r\nTest-Id: y\r\nContent-Length: 100\r\n\r\npart")
	require.NoError(t, err)
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return f.inFlight.Load() == 0 }, 5*time.Second, time.Millisecond)
	require.Zero(t, other.requests.Load())
}
