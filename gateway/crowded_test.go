package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that take the descriptors which those of other callers need to reach
// their endpoints, and against callers that aren't told when to come back.
func TestRequestsBeyondTheDescriptorsAreRefusedAtOnce(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		arrived <- struct{}{}
		<-release
		return respondOK("answer")(r, c)
	})
	f := newFixture(t, e)
	f.callerConns.SetMaxOpen(2)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := serveOn(l, f.Gateway, f.callerConns)
	defer srv.Close()
	get := func() *http.Response {
		r := f.request(t, "GET", "/safe/x", "")
		r.URL.Host = l.Addr().String()
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
		resp, err := client.Do(r)
		require.NoError(t, err)
		resp.Body.Close()
		return resp
	}
	running := make(chan int, 2)
	for range 2 {
		go func() { running <- get().StatusCode }()
		<-arrived
	}
	refused := get()
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	require.NotEmpty(t, refused.Header.Get("Retry-After"))
	require.True(t, refused.Close, "a new connection may reach another entry")
	require.EqualValues(t, 2, e.requests.Load())
	close(release)
	require.Equal(t, 200, <-running)
	require.Equal(t, 200, <-running)
	require.Eventually(t, func() bool { return f.callerConns.Open() == 0 }, 5*time.Second, time.Millisecond) // the log lines are written
}
