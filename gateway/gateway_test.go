package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

// testHeaderCodec is a HeaderCodec with its own header names.
type testHeaderCodec struct{}

func (testHeaderCodec) ParseRequest(h http.Header) (RequestInfo, error) {
	c := RequestInfo{ID: h.Get("Test-Id"), LastEventID: h.Get("Test-Last"), Resumes: h.Get("Test-Resumes")}
	c.APIKey, c.HasAPIKey = h.Get("Test-Key"), h.Get("Test-Key") != ""
	if v := h.Get("Test-Deadline"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			return c, err
		}
		c.Timeout = time.Duration(n) * time.Millisecond
	}
	if v := h.Get("Test-Prompt"); v != "" {
		c.Prompt = &forward.Prompt{Model: "m", Tokens: 100, MaxOutput: 8}
		for id := range strings.SplitSeq(v, ",") {
			c.Prompt.Parts = append(c.Prompt.Parts, forward.Part{ID: id, Tokens: 10})
		}
	}
	return c, nil
}

func (testHeaderCodec) WriteRequest(h http.Header, o ForwardInfo) {
	h.Del("Test-Key")
	h.Set("Test-Endpoint", o.Endpoint)
	h.Set("Test-Customer", o.Customer)
	h.Set("Test-Last", o.LastEventID)
	h.Set("Test-Priority", strconv.Itoa(o.Priority))
}

func (testHeaderCodec) ParseResponse(status int, h http.Header) ResponseInfo {
	limit, err := strconv.ParseFloat(h.Get("Test-Limit"), 64)
	r := ResponseInfo{Limit: NamedLimit{Stated: h.Get("Test-Limit") != "", Valid: err == nil, PerSecond: limit}, RequestID: h.Get("Test-Id"), HasReceipt: h.Get("Test-Seal") != "", NotRun: h.Get("Test-Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest}
	r.WeightVersion, _ = strconv.ParseInt(h.Get("Test-Version"), 10, 64) // 0 if absent
	r.Leaving, r.Endpoint = h.Get("Test-Leaving") == "1", h.Get("Test-Instance")
	if seconds, err := strconv.ParseFloat(h.Get("Test-Retry"), 64); err == nil && status == http.StatusServiceUnavailable {
		r.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return r
}

// testClock is a manually advanced clock.
type testClock struct{ now atomic.Int64 }

func (c *testClock) read() time.Duration         { return time.Duration(c.now.Load()) }
func (c *testClock) advance(d time.Duration)     { c.now.Add(int64(d)) }
func (c *testClock) start(d time.Duration) Clock { c.now.Store(int64(d)); return c.read }
func testSettings() Settings {
	return Settings{
		ID: "entry-1", Host: "127.0.0.1", FailureDomain: "a", CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", LogAddress: "127.0.0.1:1",
		PeerPorts: [2]int{1, 2}, DrainMs: 2000, GraceS: 8, RevokeMs: 5000, BudgetRatio: 0.2, BudgetWindowS: 10, VersionMs: 10000, OrderHandoverMs: 3000,
	}
}

// testEndpoint is a raw TCP server that counts its requests.
type testEndpoint struct {
	address  string
	requests atomic.Int64
}

// serveRaw runs an endpoint that passes each request and its connection to handle, one
// request at a time per connection. The connection is closed when handle returns false.
func serveRaw(t *testing.T, handle func(r *http.Request, c net.Conn) bool) *testEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return serveRawOn(t, l, handle)
}

// serveRawOn is like serveRaw, with a listener of the caller's.
func serveRawOn(t *testing.T, l net.Listener, handle func(r *http.Request, c net.Conn) bool) *testEndpoint {
	t.Helper()
	t.Cleanup(func() { l.Close() })
	e := &testEndpoint{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					e.requests.Add(1)
					if !handle(r, c) {
						return
					}
				}
			}()
		}
	}()
	return e
}

func okResponse(r *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Test-Id"), len(body), body)
}

func respondOK(body string) func(*http.Request, net.Conn) bool {
	return func(r *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(c, okResponse(r, body))
		return err == nil
	}
}

type fixture struct {
	*Gateway
	clock *testClock
	srv   *httptest.Server
}

// newFixture returns a gateway with one service, its endpoints and a route of each kind.
func newFixture(t *testing.T, endpoints ...*testEndpoint) *fixture {
	t.Helper()
	clock := &testClock{}
	f := &fixture{clock: clock, Gateway: New(Options{Settings: testSettings(), Clock: clock.start(time.Hour), Seed: 1, HeaderCodec: testHeaderCodec{}})}
	route := func(path string, kind forward.RouteKind, resumable bool) forward.Route {
		return forward.Route{
			Name: path, Host: "service.test", PathPrefix: path, Kind: kind, Resumable: resumable, MaxAttempts: 2, Timeout: 5 * time.Second,
			LatencyTarget: time.Second, Targets: []forward.Target{{Service: "s", Weight: 1}},
		}
	}
	f.applyOperators([]forward.OperatorChange{{Config: &forward.Config{
		Version: 1, Services: []forward.Service{{Name: "s"}},
		Routes:    []forward.Route{route("/unsafe/", forward.Unsafe, false), route("/safe/", forward.Safe, false), route("/stream/", forward.Stream, false), route("/resumable/", forward.Stream, true)},
		Customers: []forward.Customer{{Name: "c", Keys: []string{"key"}}},
	}}}, clock.read(), true)
	var changes []forward.EndpointChange
	for i, e := range endpoints {
		id, domain := fmt.Sprintf("e%d", i), "a"
		if i > 0 {
			domain = "b" // the first endpoint is preferred because it is in the gateway's failure domain
		}
		changes = append(changes, forward.EndpointChange{ID: id, Endpoint: &forward.Endpoint{ID: id, Service: "s", Address: e.address, FailureDomain: domain, Slots: 4}})
	}
	f.applyEndpoints(changes, clock.read(), true)
	for range 100 { // fills the retry budget
		f.state.retryBudget("s").CountRequest(clock.read())
	}
	f.srv = httptest.NewServer(f.Gateway)
	t.Cleanup(f.srv.Close)
	return f
}

func (f *fixture) request(t *testing.T, method, path, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, f.srv.URL, strings.NewReader(body))
	require.NoError(t, err)
	r.URL.Opaque = path
	r.Host = "service.test"
	r.Header.Set("Test-Key", "key")
	r.Header.Set("Test-Id", "id-"+path)
	return r
}

func (f *fixture) do(t *testing.T, r *http.Request) (int, string, error) {
	t.Helper()
	resp, err := f.srv.Client().Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// status sends a request with the given key and returns the response status.
func (f *fixture) status(t *testing.T, path, key string) int {
	t.Helper()
	r := f.request(t, "POST", path, "")
	r.Header.Set("Test-Key", key)
	n, _, err := f.do(t, r)
	require.NoError(t, err)
	return n
}

// Guards against requests that are changed on the way to an endpoint, or that carry the
// caller's key.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	var got *http.Request
	var body string
	e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		b, _ := io.ReadAll(r.Body)
		got, body = r, string(b)
		_, err := io.WriteString(c, okResponse(r, "answer"))
		return err == nil
	})
	f := newFixture(t, e)
	r := f.request(t, "PUT", "/unsafe/a%2Fb/../c;d?x=1&&y=%20", "some bytes")
	r.Header.Set("X-Other", "kept")
	r.Header.Set("Keep-Alive", "timeout=5")
	status, answer, err := f.do(t, r)
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "answer", answer)
	require.Equal(t, "PUT", got.Method)
	require.Equal(t, "/unsafe/a%2Fb/../c;d?x=1&&y=%20", got.RequestURI)
	require.Equal(t, "some bytes", body)
	require.Equal(t, "kept", got.Header.Get("X-Other"))
	require.Equal(t, "service.test", got.Host)
	require.Equal(t, "c", got.Header.Get("Test-Customer"))
	require.Empty(t, got.Header.Get("Test-Key"))
	require.Empty(t, got.Header.Get("Keep-Alive"))
}

// Guards against a payment that runs twice because its first response was lost.
func TestUnsafeRequestIsNotRepeated(t *testing.T) {
	dropRequest := func(r *http.Request, c net.Conn) bool { return false }
	a, b := serveRaw(t, dropRequest), serveRaw(t, dropRequest)
	f := newFixture(t, a, b)
	for _, path := range []string{"/unsafe/x", "/stream/x"} {
		a.requests.Store(0)
		b.requests.Store(0)
		status, body, err := f.do(t, f.request(t, "POST", path, "pay"))
		require.NoError(t, err)
		require.Equal(t, 502, status, path)
		require.Contains(t, body, `"ran":"unknown"`)
		require.EqualValues(t, 1, a.requests.Load()+b.requests.Load(), path)
	}
}

// Guards against failures that reach callers although another endpoint could respond.
func TestSafeRequestIsRetriedOnAnotherEndpoint(t *testing.T) {
	a := serveRaw(t, func(r *http.Request, c net.Conn) bool { return false })
	b := serveRaw(t, respondOK("from b"))
	f := newFixture(t, a, b)
	status, body, err := f.do(t, f.request(t, "GET", "/safe/x", ""))
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "from b", body)
	require.EqualValues(t, 1, a.requests.Load(), "the first attempt did not go to this endpoint")
}

// Guards against an error that states "not run" after an attempt that may have run, and
// against one that does not state it although nothing ran.
func TestErrorStatesWhetherTheRequestRan(t *testing.T) {
	refuse := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	f := newFixture(t, refuse)
	resp, err := f.srv.Client().Do(f.request(t, "POST", "/unsafe/x", "pay"))
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, 503, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))

	f = newFixture(t, refuse, refuse) // both endpoints refuse, so the request has not run
	status, body, err := f.do(t, f.request(t, "GET", "/safe/x", ""))
	require.NoError(t, err)
	require.Equal(t, 503, status)
	require.Contains(t, body, `"ran":"not_run"`)

	lost := serveRaw(t, func(r *http.Request, c net.Conn) bool { return false })
	f = newFixture(t, lost, refuse) // the first endpoint's response is lost, then the other endpoint refuses
	status, _, err = f.do(t, f.request(t, "GET", "/safe/x", ""))
	require.NoError(t, err)
	require.Equal(t, 502, status)
}

// Guards against a late response that reaches the next caller on the same connection.
func TestStrayResponsesAreSkipped(t *testing.T) {
	first := true
	e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		if !first {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Id: other\r\nTest-Seal: s\r\nContent-Length: 5\r\n\r\nwrong")
		}
		first = false
		_, err := io.WriteString(c, okResponse(r, "own "+r.Header.Get("Test-Id")))
		return err == nil
	})
	f := newFixture(t, e)
	for i := range 5 {
		path := fmt.Sprintf("/unsafe/%d", i)
		status, body, err := f.do(t, f.request(t, "POST", path, "x"))
		require.NoError(t, err)
		require.Equal(t, 200, status)
		require.Equal(t, "own id-"+path, body)
	}
}

// Guards against extra bytes after a response that are read as the next response.
func TestSurplusBytesCloseTheConnection(t *testing.T) {
	e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, okResponse(r, "whole")+okResponse(r, "surplus"))
		return err == nil
	})
	f := newFixture(t, e)
	for range 5 {
		status, body, err := f.do(t, f.request(t, "POST", "/unsafe/same", "x"))
		require.NoError(t, err)
		require.Equal(t, 200, status)
		require.Equal(t, "whole", body)
	}
}

// Guards against a truncated response, or one without a receipt, that looks complete to the
// caller.
func TestTruncatedResponseDoesNotLookComplete(t *testing.T) {
	cases := map[string]string{
		"short of its length":   "Content-Length: 100\r\n\r\npart",
		"short of its chunks":   "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"garbage in its chunks": "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
	}
	for name, rest := range cases {
		t.Run(name, func(t *testing.T) {
			e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Id: "+r.Header.Get("Test-Id")+"\r\nTest-Seal: s\r\n"+rest)
				return false
			})
			f := newFixture(t, e)
			status, _, err := f.do(t, f.request(t, "POST", "/unsafe/x", ""))
			require.True(t, err != nil || status == 502, "status %d", status)
		})
	}
	t.Run("no receipt", func(t *testing.T) {
		e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Id: "+r.Header.Get("Test-Id")+"\r\nContent-Length: 2\r\n\r\nno")
			return err == nil
		})
		f := newFixture(t, e)
		status, _, err := f.do(t, f.request(t, "POST", "/unsafe/x", ""))
		require.NoError(t, err)
		require.Equal(t, 502, status)
	})
}

// Guards against an endpoint that keeps running a request after its caller has disconnected.
func TestEndpointIsReleasedWhenTheCallerDisconnects(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		var b [1]byte
		_, err := c.Read(b[:])
		if errors.Is(err, io.EOF) {
			close(closed)
		}
		return false
	})
	f := newFixture(t, e)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, _, err := f.do(t, f.request(t, "POST", "/unsafe/x", "pay").WithContext(ctx))
	require.Error(t, err)
	<-closed
}

// Guards against reusing the connection of an endpoint that responds before it has read a
// long body: it would read the next request as the rest of the body.
func TestEarlyResponseToALongBody(t *testing.T) {
	var mu sync.Mutex
	bodies := map[string]int{}
	e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, okResponse(r, "early"))
		n, _ := io.Copy(io.Discard, r.Body)
		mu.Lock()
		defer mu.Unlock()
		bodies[r.RequestURI] = int(n)
		return true
	})
	f := newFixture(t, e)
	long := strings.Repeat("x", 1<<20)
	for i := range 3 {
		status, body, err := f.do(t, f.request(t, "POST", fmt.Sprintf("/unsafe/%d", i), long))
		require.NoError(t, err)
		require.Equal(t, 200, status)
		require.Equal(t, "early", body)
	}
	require.EqualValues(t, 3, e.requests.Load())
}

// Guards against a planned stop that interrupts a running request.
func TestDrainCompletesRunningRequests(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		close(arrived)
		<-release
		_, err := io.WriteString(c, okResponse(r, "late but whole"))
		return err == nil
	})
	f := newFixture(t, e)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := serveOn(l, f.Gateway, f.callerConns)
	f.srv.URL = "http://" + l.Addr().String()
	done := make(chan string)
	go func() {
		_, body, err := f.do(t, f.request(t, "POST", "/unsafe/x", "pay"))
		done <- fmt.Sprint(body, err)
	}()
	<-arrived
	stopped := make(chan struct{})
	go func() {
		f.drain(server)
		close(stopped)
	}()
	require.Eventually(t, func() bool { return !f.Ready() }, time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", l.Addr().String())
		if err == nil {
			c.Close()
		}
		return err != nil
	}, drainDelay+2*time.Second, 10*time.Millisecond, "the listener stays open although the drain has started")
	close(release)
	require.Equal(t, "late but whole<nil>", <-done)
	<-stopped
}

// Guards against sending a list of sources to an engine that accepts a single address.
func TestEngineWithoutListsGetsOneSource(t *testing.T) {
	parts := []forward.Part{{ID: "a", Tokens: 500}, {ID: "b", Tokens: 8000}, {ID: "own", Tokens: 100}}
	plan := forward.StorePlan{Fetch: []forward.Source{{Address: "10.0.0.1:80"}, {Address: "10.0.0.2:80"}}, Save: make([]*forward.StoreView, 2)}
	fetch, save := transferAddresses(plan, parts, false)
	require.Equal(t, []string{"10.0.0.2:80"}, fetch)
	require.Empty(t, save)
	fetch, save = transferAddresses(plan, parts, true)
	require.Equal(t, []string{"10.0.0.1:80", "10.0.0.2:80", ""}, fetch)
	require.Equal(t, []string{"", "", ""}, save)
}

// Guards against idle connections that are closed with each change of the endpoint list although
// their endpoint is listed, so that most requests need a new connection.
func TestIdleConnectionsOutliveChangesOfTheList(t *testing.T) {
	e := serveRaw(t, respondOK("answer"))
	f := newFixture(t, e)
	get := func() {
		t.Helper()
		status, _, err := f.do(t, f.request(t, "POST", "/unsafe/x", ""))
		require.NoError(t, err)
		require.Equal(t, 200, status)
	}
	idle := func() (n int) {
		f.pool.mu.Lock()
		defer f.pool.mu.Unlock()
		for _, list := range f.pool.idle {
			n += len(list)
		}
		return n
	}
	get()
	require.Eventually(t, func() bool { return idle() == 1 }, 5*time.Second, time.Millisecond)
	f.applyEndpoints(nil, f.clock.read(), false)
	require.Equal(t, 1, idle())
	f.applyEndpoints([]forward.EndpointChange{{ID: "e0"}}, f.clock.read(), false)
	require.Zero(t, idle(), "the endpoint has left")
}
