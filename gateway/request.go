package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/forward"
)

// Limits on a request.
const (
	defaultTimeout    = 60 * time.Second // applies when neither the caller nor the route sets one
	maxUnsentAttempts = 3                // attempts per request that ended before anything was sent
	maxBufferedBytes  = 256 << 10        // a response up to this size is delivered only once it is complete
	minUsefulBudget   = 5 * time.Millisecond

	defaultMaxBodyBytes = 4 << 20   // of a request, applies when the configuration sets no limit
	maxDiscardedBytes   = 256 << 10 // of the body of a request that is refused
	maxDiscardTime      = time.Second
)

// request is the state of one caller's request.
type request struct {
	g              *Gateway
	w              http.ResponseWriter
	r              *http.Request
	call           RequestInfo
	arrivedAt      time.Duration
	deadline       time.Duration // of the caller or the route, whichever is earlier
	route          *forward.Route
	customer       *forward.Customer
	service        *forward.Service
	suspectGroup   string // group of customers whose parts are held together, see suspectGroup
	msg            wireRequest
	tried          map[string]bool
	sentAttempts   int  // attempts in which the request was sent
	unsentAttempts int  // attempts that ended before anything was sent
	notRunAttempts int  // attempts that the endpoint stated that it did not run
	bodyBegun      bool // the body has been read, at least in part
	headerSent     bool // the response header has been sent to the caller
	relays         bool // the response that the caller gets is a stream of events
	lastEventID    string
	bound          bool                 // only endpoints of one build may go on with the stream
	build          uint64               // key of that build
	allRefused     bool                 // every endpoint that received the request stated that it did not run
	requestKey     uint64               // see wholeKey, 0 until it is needed
	partKeys       []uint64             // of the prompt's shared parts, once they are needed
	held           *forward.HeldRequest // why it is held, nil if it isn't
	shed           bool                 // it was refused as this entry is short of processor time
	scheduling     Scheduling           // settings of the last placement
	rank           int                  // at the last placement, 0 without ranks
	sentPriority   int                  // priority that the endpoint gets
	outcome        forward.Outcome      // of the last placement
	linePlace      *forward.LinePlace   // nil while it doesn't wait
	linedUpAt      time.Duration        // when it began to wait
	lineEnd        time.Duration        // until when it may wait, 0 before it does
	roomWaitSince  time.Duration        // when it began to wait for room for the stream that it takes up
	roomWaitEnd    time.Duration        // until when it may wait for that, 0 before it does
	waitsInTakeUp  bool                 // it is counted in the state's takeUpWaits
	tentative      bool                 // a copy of the request for a placement that may not be used
	bytes          *requestBytes        // what it buffers, nil if that has no bound
	observer       *placementObserver   // set if the placement is only asked for
	accessLog      accessLog
}

// hopByHopHeaders lists the headers that are not forwarded: the hop-by-hop headers, and
// Content-Length, which is set from the forwarded body.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

func removeHopByHopHeaders(h http.Header) {
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// ServeHTTP implements http.Handler: it forwards one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{g: g, w: w, r: r, arrivedAt: g.clock(), tried: map[string]bool{}}
	g.requests.Add(1)
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer q.writeAccessLog()
	defer q.recoverPanic()
	if g.callerConns.Crowded() {
		w.Header().Set("Connection", "close")
		q.refuse(apierr.NewRetryable(apierr.Overloaded, apierr.NotRun, busyRetryAfter, "this entry has no more connections to spare", "send the request again on a new connection; it may reach another entry"))
		return
	}
	err := q.admit()
	if err != nil && err.Kind == apierr.StaleReplica && g.state.awaitReadAfterResume(r.Context()) {
		err = q.admit()
	}
	if err != nil {
		q.refuse(err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), remaining(q.deadline, g.clock()))
	defer cancel()
	defer context.AfterFunc(g.ending, cancel)()
	defer q.releaseBytes()
	if err := q.reserveBytes(ctx, cancel); err != nil {
		q.refuse(err)
		return
	}
	if err := q.readBody(); err != nil {
		q.refuse(err)
		return
	}
	if err := q.forward(ctx); err != nil {
		q.refuse(err)
	}
}

// recoverPanic answers a request in which a fault of the program has panicked. net/http would close
// the connection, and its log, which may hold data of callers, is discarded.
func (q *request) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(v) // the connection is to be closed
	}
	log.Error().Str("event", "request_panicked").Str("request", q.call.ID).Any("panic", v).Str("stack", string(debug.Stack())).Msg("report this line to the developers")
	q.refuse(apierr.New(apierr.Internal, apierr.RanUnknown, "the program has a fault", "report the request's ID to the operators"))
}

// requestTarget returns the path and query exactly as the caller sent them. The scheme and host of
// an absolute target are removed; net/http has already set Request.Host from them.
func requestTarget(r *http.Request) string {
	_, rest, ok := strings.Cut(r.RequestURI, "://")
	if !ok || !r.URL.IsAbs() || strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	if i := strings.IndexAny(rest, "/?"); i >= 0 {
		return "/" + strings.TrimPrefix(rest[i:], "/")
	}
	return "/"
}

func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// admit sets the route, customer, service and deadline of the request, or returns the
// error to refuse it with.
func (q *request) admit() *apierr.Error {
	call, err := q.g.headerCodec.ParseRequest(q.r.Header)
	q.call = call
	if err != nil {
		return apierr.New(apierr.InvalidRequest, apierr.NotRun, err.Error(), "correct the header")
	}
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.recordActivity(now)
	age, known := s.freshness.Age(now)
	if s.table == nil || !known {
		return apierr.NewRetryable(apierr.NotReady, apierr.NotRun, notReadyRetryAfter, "no configuration has been read yet", "send the request again")
	}
	if q.g.startState(now) != forward.StartComplete {
		return apierr.NewRetryable(apierr.NotReady, apierr.NotRun, notReadyRetryAfter, "this entry has just started and its peers may have a newer configuration", "send the request again on a new connection; it reaches another entry")
	}
	q.accessLog.configVersion, q.accessLog.configAge = s.table.Config.Version, age
	if !q.r.ProtoAtLeast(1, 1) && q.r.Header.Get("Content-Length") == "" && methodHasBody(q.r.Method) {
		// net/http ignores chunked encoding in HTTP/1.0: the request would be forwarded
		// without its body.
		return apierr.New(apierr.InvalidRequest, apierr.NotRun, "a body in HTTP/1.0 without Content-Length", "send Content-Length, or use HTTP/1.1")
	}
	path, _, _ := strings.Cut(requestTarget(q.r), "?")
	q.route = s.table.Route(q.r.Host, path)
	if q.route == nil {
		if !s.mayDeny(age) {
			return s.staleConfigError("the configuration may have changed since it was read")
		}
		return apierr.New(apierr.NotFound, apierr.NotRun, "no route for this host and path", "check the address")
	}
	name := q.route.Target(s.rng.Float64())
	takesUp := q.call.LastEventID != "" // a stream, most of whose work is done
	if !takesUp && s.shedder.Sheds(name, s.rng.Float64(), now) {
		q.shed = true
		q.g.shed.Add(1)
		s.secondAttempts.RecordShortage(name, now)
		return apierr.NewRetryable(apierr.Overloaded, apierr.NotRun, s.retryAfter(name, 0, now), "this entry has more requests than processor time", "send the request again later")
	}
	q.deadline = q.arrivedAt + defaultTimeout
	if q.route.Timeout > 0 {
		q.deadline = q.arrivedAt + q.route.Timeout
	}
	if q.call.Timeout > 0 {
		q.deadline = min(q.deadline, q.arrivedAt+q.call.Timeout)
	}
	if err := q.authenticate(s, now, age); err != nil {
		return err
	}
	if err := q.stopError(now); err != nil {
		return err
	}
	limit := s.table.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	q.r.Body = http.MaxBytesReader(q.w, q.r.Body, limit)
	if q.service = s.table.Service(name); q.service == nil {
		q.service = &forward.Service{Name: name}
	}
	if !q.route.CarriesPrompts || q.service.Engine == nil {
		q.call.Prompt = nil
	}
	s.retryBudget(name).CountRequest(now)
	s.secondAttempts.CountRequest(name, now)
	return nil
}

// sharedSuspects is the group of the customers that are not dedicated, see suspectGroup.
const sharedSuspects = "shared"

// suspectGroup returns the group of customers whose parts are held together when they crash endpoints.
// Unlike the cache group it stays the same when other customers become dedicated: a part that is held
// would get new tries.
func suspectGroup(c *forward.Customer) string {
	if c != nil && c.Dedicated {
		return "customer " + c.Name
	}
	return sharedSuspects
}

func (q *request) authenticate(s *state, now, age time.Duration) *apierr.Error {
	q.suspectGroup = sharedSuspects
	if len(s.table.Config.Customers) == 0 {
		return nil
	}
	if q.call.HasAPIKey {
		q.customer = s.table.Customer(q.call.APIKey)
	}
	q.suspectGroup = suspectGroup(q.customer)
	if q.route.Public {
		return nil
	}
	if !s.freshness.KeysValid(now) {
		return s.staleConfigError("a key may have been taken away since the configuration was read")
	}
	if q.customer != nil {
		return nil
	}
	if !s.mayDeny(age) {
		return s.staleConfigError("a key may have been added since the configuration was read")
	}
	return apierr.New(apierr.Unauthenticated, apierr.NotRun, "the key is not known", "use a key of a customer")
}

// staleConfigError returns the error for a configuration that is too old to decide about a request.
// The caller holds the mutex.
func (s *state) staleConfigError(message string) *apierr.Error {
	after := staleRetryAfter
	if s.processorShort {
		after = busyRetryAfter // the others are likely to be no better off
	}
	return apierr.NewRetryable(apierr.StaleReplica, apierr.NotRun, after, message, "send the request again on a new connection; it reaches another entry")
}

// readBody reads the complete body and prepares the request, so that it can be sent to more
// than one endpoint.
func (q *request) readBody() *apierr.Error {
	q.bodyBegun = true
	body, err := q.readWithin(remaining(q.deadline, q.g.clock()))
	var tooLarge *http.MaxBytesError
	if berr := q.bytesError(err); berr != nil {
		return berr
	}
	switch {
	case errors.As(err, &tooLarge):
		return apierr.New(apierr.TooLarge, apierr.NotRun, fmt.Sprintf("the body is longer than %d bytes", tooLarge.Limit), "send a shorter body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.w.Header().Set("Connection", "close") // the rest of the body may still come
		return apierr.NewRetryable(apierr.RequestTimeout, apierr.NotRun, overloadRetryAfter, "the body did not arrive within the request's time", "send the request again with a longer deadline").WithCause(err)
	case err != nil && q.r.Context().Err() == nil: // net/http ends the context if the connection fails
		q.w.Header().Set("Connection", "close") // where the next request begins is not known
		return apierr.New(apierr.InvalidRequest, apierr.NotRun, "the body is malformed", "correct its chunks or its trailer").WithCause(err)
	case err != nil:
		return apierr.New(apierr.Cancelled, apierr.NotRun, "the request ended early", "send it again").WithCause(err)
	}
	q.accessLog.bodyRead = true
	h := q.r.Header.Clone()
	removeHopByHopHeaders(h)
	if q.r.Header.Get("User-Agent") == "" {
		h.Del("User-Agent")
	}
	q.msg = wireRequest{method: q.r.Method, uri: requestTarget(q.r), host: q.r.Host, header: h, body: body, bytes: q.bytes, hasLength: q.r.ContentLength >= 0 && (len(body) > 0 || q.r.Header.Get("Content-Length") != "")}
	return nil
}

// readWithin reads the body within a time. A request without a body gets no read deadline: net/http
// already waits for the caller to leave, and would take a deadline that passes for that. After an
// error the deadline stays, as net/http would wait without end for the rest of the body.
func (q *request) readWithin(limit time.Duration) ([]byte, error) {
	if q.r.ContentLength == 0 {
		return nil, nil
	}
	rc := http.NewResponseController(q.w)
	_ = rc.SetReadDeadline(time.Now().Add(limit)) // httptest.ResponseRecorder does not support deadlines
	body, err := io.ReadAll(q.trackBody())
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
	}
	return body, err
}

// discardBody reads the rest of a request that is refused before its body has been read. If the
// caller wants the connection closed, net/http would close it with unread bytes, and the reset could
// overtake the refusal. If the rest doesn't come, the connection is closed and the read deadline
// stays: net/http would wait for the rest without end, also before it sends the refusal.
func (q *request) discardBody() {
	if q.bodyBegun || q.r.ContentLength == 0 || q.r.Header.Get("Expect") != "" {
		return
	}
	rc := http.NewResponseController(q.w)
	_ = rc.SetReadDeadline(time.Now().Add(maxDiscardTime)) // httptest.ResponseRecorder does not support deadlines
	if _, err := io.CopyN(io.Discard, q.r.Body, maxDiscardedBytes); !errors.Is(err, io.EOF) {
		q.w.Header().Set("Connection", "close")
		return
	}
	_ = rc.SetReadDeadline(time.Time{})
}

// closeWhileDraining makes an answer that is about to be sent the last one on its connection if a
// planned stop is under way.
func (q *request) closeWhileDraining() {
	if q.g.draining.Load() {
		q.w.Header().Set("Connection", "close")
	}
}

// forward sends the request to endpoints until one has responded or no further attempt is
// allowed.
func (q *request) forward(ctx context.Context) *apierr.Error {
	if q.call.Prompt != nil {
		q.g.awaitStores(ctx)
	}
	if err := q.bindResumption(ctx); err != nil {
		return err
	}
	for {
		p, err := q.placeInTurn(ctx)
		if err != nil {
			return err
		}
		q.bytes.beginAttempt()
		p, xerr := q.send(ctx, p)
		q.observeBreakOff(ctx, p, xerr)
		q.finishAttempt(p, xerr)
		if xerr == nil {
			return q.bytesError(nil)
		}
		if err := q.checkRetry(ctx, xerr); err != nil {
			return err
		}
	}
}

// checkRetry returns nil if another attempt follows a failed one, or the error to refuse the
// request with.
func (q *request) checkRetry(ctx context.Context, x *exchangeError) *apierr.Error {
	if err := q.bytesError(x); err != nil {
		return err
	}
	if q.r.Context().Err() != nil || errors.Is(x, errCallerLeft) {
		return apierr.New(apierr.Cancelled, apierr.RanUnknown, "the caller has left", "").WithCause(x)
	}
	if q.g.ending.Err() != nil && x.sent && !x.notRun {
		return apierr.New(apierr.OutcomeUnknown, apierr.RanUnknown, "this entry stops before the endpoint has answered", "find out whether it took effect before sending it again").WithCause(x)
	}
	if ctx.Err() != nil && x.sent && !x.notRun {
		return apierr.New(apierr.DeadlineExceeded, apierr.RanUnknown, "the endpoint did not answer in time", "").WithCause(x)
	}
	notRun := !x.sent || x.notRun // this attempt did not run the request
	if !x.sent {
		q.unsentAttempts++
	}
	if q.canRetry(x, notRun) {
		return nil
	}
	if notRun && q.notRun() {
		return q.refusalAfterAttempt(x)
	}
	return apierr.New(apierr.OutcomeUnknown, apierr.RanUnknown, x.Error(), "find out whether it took effect before sending it again").WithCause(x)
}

// notRun reports whether the request is known not to have run on any endpoint.
func (q *request) notRun() bool { return !q.headerSent && (q.sentAttempts == 0 || q.allRefused) }

// canRetry reports whether the request may be retried on another endpoint; notRun states that
// the failed attempt did not run it. A retry after an attempt in which the request was sent
// spends retry budget.
func (q *request) canRetry(x *exchangeError, notRun bool) bool {
	if q.unsentAttempts >= maxUnsentAttempts || remaining(q.deadline, q.g.clock()) < minUsefulBudget {
		return false
	}
	if !x.sent {
		return true
	}
	if q.headerSent && (!q.relays || q.lastEventID == "") {
		return false // only a stream whose events have IDs can go on elsewhere
	}
	maxAttempts := max(q.route.MaxAttempts, 1)
	if !notRun && !q.route.Repeatable() || q.countedAttempts() >= maxAttempts {
		return false
	}
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.retryBudget(q.service.Name).TrySpend(s.clock()) {
		return false
	}
	if q.sentAttempts >= maxAttempts {
		q.g.uncountedRetries.Add(1)
	}
	return true
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
