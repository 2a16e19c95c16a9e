package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/forward"
)

// Limits of one request.
const (
	defaultTimeout  = 60 * time.Second // when neither the caller nor the route states one
	maxUnsent       = 3                // endpoints that could not be reached, for one request
	maxWholeBytes   = 256 << 10        // an answer up to this size is delivered only when it is whole
	minUsefulBudget = 5 * time.Millisecond
)

// request is one call of a caller on its way through this process.
type request struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	call     Call
	arrived  time.Duration
	deadline time.Duration // of the caller or the route, whichever is first
	route    *forward.Route
	customer *forward.Customer
	service  *forward.Service
	group    string // of customers that may share cached prompts
	msg      message
	tried    map[string]bool
	sends    int // endpoints that the request was sent to
	unsent   int
	started  bool // the head of the answer was sent to the caller
	lastID   string
	refused  bool // every endpoint that got the request has said that it did not run
	line     line
}

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

func stripHop(h http.Header) {
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// ServeHTTP forwards one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{g: g, w: w, r: r, arrived: g.clock(), tried: map[string]bool{}}
	g.requests.Add(1)
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer q.log()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	err := q.admit()
	if err != nil && err.Kind == apierr.StaleReplica && g.state.awaitRead(r.Context()) {
		err = q.admit()
	}
	if err != nil {
		q.refuse(err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), remaining(q.deadline, g.clock()))
	defer cancel()
	if err := q.readBody(); err != nil {
		q.refuse(err)
		return
	}
	if err := q.forward(ctx); err != nil {
		q.refuse(err)
	}
}

// target returns the path and query as the caller sent them, without the scheme and
// host of an absolute target, which net/http takes for the host.
func target(r *http.Request) string {
	_, rest, ok := strings.Cut(r.RequestURI, "://")
	if !ok || !r.URL.IsAbs() || strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	if i := strings.IndexAny(rest, "/?"); i >= 0 {
		return "/" + strings.TrimPrefix(rest[i:], "/")
	}
	return "/"
}

func takesBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// admit finds the route, the customer and the service of the request.
func (q *request) admit() *apierr.Error {
	call, err := q.g.dialect.Call(q.r.Header)
	q.call = call
	if err != nil {
		return apierr.New(apierr.InvalidRequest, apierr.NotRun, err.Error(), "correct the header")
	}
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.step(now)
	age, known := s.fresh.Age(now)
	if s.table == nil || !known {
		return apierr.Retry(apierr.NotReady, apierr.NotRun, startRetry, "no configuration has been read yet", "send the request again")
	}
	q.line.configVersion, q.line.configAge = s.table.Config.Version, age
	if !q.r.ProtoAtLeast(1, 1) && q.r.Header.Get("Content-Length") == "" && takesBody(q.r.Method) {
		// net/http ignores chunks of HTTP/1.0: the request would run without its body.
		return apierr.New(apierr.InvalidRequest, apierr.NotRun, "a body in HTTP/1.0 without Content-Length", "send Content-Length, or use HTTP/1.1")
	}
	path, _, _ := strings.Cut(target(q.r), "?")
	q.route = s.table.Route(q.r.Host, path)
	if q.route == nil {
		if !s.mayDeny(age) {
			return stale("the configuration may have changed since it was read")
		}
		return apierr.New(apierr.NotFound, apierr.NotRun, "no route for this host and path", "check the address")
	}
	q.deadline = q.arrived + defaultTimeout
	if q.route.Timeout > 0 {
		q.deadline = q.arrived + q.route.Timeout
	}
	if q.call.Deadline > 0 {
		q.deadline = min(q.deadline, q.arrived+q.call.Deadline)
	}
	if err := q.authenticate(s, now, age); err != nil {
		return err
	}
	if limit := s.table.Config.Limits.BodyBytes; limit > 0 {
		q.r.Body = http.MaxBytesReader(q.w, q.r.Body, limit)
	}
	name := q.route.Target(s.rng.Float64())
	if q.service = s.table.Service(name); q.service == nil {
		q.service = &forward.Service{Name: name}
	}
	if !q.route.CarriesPrompts || q.service.Engine == nil {
		q.call.Prompt = nil
	}
	s.budget(name).Request(now)
	return nil
}

// sharedGroup is the group of customers that may share cached prompts.
const sharedGroup = "shared"

func (q *request) authenticate(s *state, now, age time.Duration) *apierr.Error {
	q.group = sharedGroup
	if len(s.table.Config.Customers) == 0 {
		return nil
	}
	if q.call.HasKey {
		q.customer = s.table.Customer(q.call.Key)
	}
	if q.customer != nil && q.customer.Dedicated {
		q.group = "customer " + q.customer.Name
	}
	if q.route.Public {
		return nil
	}
	if !s.fresh.KeysValid(now) {
		return stale("a key may have been taken away since the configuration was read")
	}
	if q.customer != nil {
		return nil
	}
	if !s.mayDeny(age) {
		return stale("a key may have been added since the configuration was read")
	}
	return apierr.New(apierr.Unauthenticated, apierr.NotRun, "the key is not known", "use a key of a customer")
}

func stale(message string) *apierr.Error {
	return apierr.Retry(apierr.StaleReplica, apierr.NotRun, otherEntryRetry, message, "send the request again on a new connection; it reaches another entry")
}

// readBody reads the whole request, so that it can be sent to another endpoint too.
func (q *request) readBody() *apierr.Error {
	rc := http.NewResponseController(q.w)
	_ = rc.SetReadDeadline(time.Now().Add(remaining(q.deadline, q.g.clock()))) // not supported by test recorders
	body, err := io.ReadAll(q.r.Body)
	_ = rc.SetReadDeadline(time.Time{})
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return apierr.New(apierr.TooLarge, apierr.NotRun, fmt.Sprintf("the body is longer than %d bytes", tooLarge.Limit), "send a shorter body")
		}
		return apierr.New(apierr.Cancelled, apierr.NotRun, "the request ended early", "send it again").WithCause(err)
	}
	h := q.r.Header.Clone()
	stripHop(h)
	if q.r.Header.Get("User-Agent") == "" {
		h.Del("User-Agent")
	}
	q.msg = message{method: q.r.Method, uri: target(q.r), host: q.r.Host, header: h, body: body, hasLen: q.r.ContentLength >= 0 && (len(body) > 0 || q.r.Header.Get("Content-Length") != "")}
	return nil
}

// forward sends the request to endpoints until one has answered it.
func (q *request) forward(ctx context.Context) *apierr.Error {
	for {
		p, err := q.place()
		if err != nil {
			return err
		}
		xerr := q.attempt(ctx, p)
		q.done(p, xerr)
		if xerr == nil {
			return nil
		}
		if err := q.next(ctx, xerr); err != nil {
			return err
		}
	}
}

// next decides what follows an attempt without an answer: nil for another attempt.
func (q *request) next(ctx context.Context, x *exchangeError) *apierr.Error {
	if q.r.Context().Err() != nil {
		return apierr.New(apierr.Cancelled, apierr.Unknown, "the caller has left", "").WithCause(x)
	}
	if ctx.Err() != nil && x.sent && !x.notRun {
		return apierr.New(apierr.DeadlineExceeded, apierr.Unknown, "the endpoint did not answer in time", "").WithCause(x)
	}
	safe := !x.sent || x.notRun // the request has not run
	if !x.sent {
		q.unsent++
	}
	if q.may(x, safe) {
		return nil
	}
	if safe && q.notRun() {
		return apierr.Retry(apierr.Overloaded, apierr.NotRun, q.retryAfter(0), x.Error(), "send the request again").WithCause(x)
	}
	return apierr.New(apierr.OutcomeUnknown, apierr.Unknown, x.Error(), "find out whether it took effect before sending it again").WithCause(x)
}

// notRun tells whether the request has run nowhere.
func (q *request) notRun() bool { return !q.started && (q.sends == 0 || q.refused) }

// may tells whether the request may be tried on another endpoint.
func (q *request) may(x *exchangeError, notRun bool) bool {
	if q.unsent >= maxUnsent || remaining(q.deadline, q.g.clock()) < minUsefulBudget {
		return false
	}
	if !x.sent {
		return true
	}
	if !notRun && !q.route.Repeatable() || q.sends >= max(q.route.MaxAttempts, 1) {
		return false
	}
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(q.service.Name).Spend(s.clock())
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
