package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/galenaweir/galenaweir/callerconn"
	"github.com/galenaweir/galenaweir/core/forward"
)

// sendTo sends the request to an endpoint and delivers the response to the caller.
func (q *request) sendTo(ctx context.Context, p *placement) *exchangeError {
	resp, xerr := q.exchange(ctx, p, func() error { return q.checkSend(ctx, p) })
	q.countAttempt(xerr)
	if xerr == nil {
		q.observeHead(p, resp)
		xerr = q.receive(resp, p)
	}
	return q.withdrawnError(p, xerr)
}

// exchange sends the request to an endpoint, unless beforeSend returns an error, and reads the head
// of the response.
func (q *request) exchange(ctx context.Context, p *placement, beforeSend func() error) (*response, *exchangeError) {
	m := q.msg
	m.header = q.msg.header.Clone()
	o := ForwardInfo{
		Endpoint: p.endpoint.ID, HasPrompt: q.call.Prompt != nil, Priority: q.sentPriority,
		Salt: p.choice.Salt, WeightVersion: p.choice.Version, FetchDeadlineMs: p.fetchDeadlineMs, LastEventID: q.call.LastEventID, Remaining: remaining(q.deadline, q.g.clock()),
	}
	if pr := q.call.Prompt; pr != nil {
		o.FetchFrom, o.SaveTo = transferAddresses(p.choice.Plan, pr.Parts, q.service.Engine.SourcePerPart)
	}
	if q.call.Prompt == nil {
		o.Salt = q.unplacedSalt()
	}
	if q.customer != nil {
		o.Customer = q.customer.Name
	}
	if q.lastEventID != "" {
		o.LastEventID = q.lastEventID
	}
	q.g.headerCodec.WriteRequest(m.header, o)
	ctx = q.awaitBeginning(ctx, p)
	return q.g.exchange(ctx, &m, q.call.ID, p.endpoint, p.maxConns, beforeSend)
}

// unplacedSalt returns the cache salt of a request that is not placed by the parts of its prompt.
func (q *request) unplacedSalt() string {
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return forward.Salt(s.table.CacheGroup(q.customerName()), "", 0)
}

// countAttempt counts an attempt whose exchange has ended, or whose connection is closed.
func (q *request) countAttempt(x *exchangeError) {
	if x == nil || x.sent {
		q.sentAttempts++
		q.notRunAttempts += boolInt(x != nil && x.notRun)
		q.allRefused = x != nil && x.notRun && (q.sentAttempts == 1 || q.allRefused)
	}
}

// observeHead records the arrival of the head of a response.
func (q *request) observeHead(p *placement, resp *response) {
	p.headArrived = true
	q.observeResponse(p, resp)
}

// receive delivers a response to the caller, or drops it if the request is to be retried.
func (q *request) receive(resp *response, p *placement) *exchangeError {
	defer resp.close()
	if q.shouldRetryResponse(resp) {
		return statusError(resp, fmt.Errorf("the endpoint failed with %d", resp.httpResp.StatusCode))
	}
	if q.isEventStream(resp) {
		return q.relay(resp, p)
	}
	if q.headerSent {
		return statusError(resp, fmt.Errorf("the stream can't be resumed: status %d, content type %q", resp.httpResp.StatusCode, resp.httpResp.Header.Get("Content-Type")))
	}
	return q.deliver(resp, p)
}

// priority returns the request's priority, 0 is the highest.
func (q *request) priority() int { return forward.EffectivePriority(q.route, q.customer) }

// errKeyStale is returned when, after the request was placed, the configuration has become
// too old to accept the caller's key.
var errKeyStale = errors.New("a key may have been taken away since the request was placed")

// errWeightsOutdated is returned when, after the request was placed, the time has ended within
// which prompts may begin on the endpoint's weights.
var errWeightsOutdated = errors.New("newer weights were named too long ago for the endpoint that the request was placed on")

// errCacheGroupChanged is returned when, after the request was placed, a change of the configuration
// has put its customer in another cache group.
var errCacheGroupChanged = errors.New("the customers that share cached prompts have changed since the request was placed")

// errHeld is returned when, after the request was placed, it or a part of its prompt has become held.
var errHeld = errors.New("the request or a part of its prompt has become held since it was placed")

// errCallerLeft is returned when the caller has left before the request was sent.
var errCallerLeft = errors.New("the caller has closed its connection")

// checkSend returns an error if a placed request may not be sent: its caller has left, or its
// endpoint may no longer get it.
func (q *request) checkSend(ctx context.Context, p *placement) error {
	if callerconn.Left(ctx) {
		return errCallerLeft
	}
	return q.checkPlacement(p)
}

// checkPlacement returns an error if a placed request may no longer be sent to its endpoint:
// this process may have been suspended since, or connecting may have taken long.
func (q *request) checkPlacement(p *placement) error {
	if err := q.checkKeyFreshness(); err != nil {
		return err
	}
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkStatements(p); err != nil {
		return err
	}
	if err := s.checkWarmUp(p, q.service); err != nil {
		return err
	}
	if p.probe == nil && !q.checkHeld(s, s.clock()).SoundAt(placeOf(&p.endpoint, p.choice.Version)) {
		return errHeld
	}
	if q.call.Prompt == nil {
		return nil
	}
	if p.choice.Salt != forward.Salt(s.table.CacheGroup(q.customerName()), q.call.Prompt.Model, p.choice.Version) {
		return errCacheGroupChanged
	}
	if since, outdated := s.rollout.RetiredSince(q.call.Prompt.Model, p.choice.Version); outdated && p.choice.Version > 0 && s.clock()+p.choice.ExpectedWait >= s.versionExpiry(since) {
		return errWeightsOutdated
	}
	return nil
}

// checkKeyFreshness returns errKeyStale if the configuration has become too old to accept the
// caller's key.
func (q *request) checkKeyFreshness() error {
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.keyExpired(s, s.clock()) {
		return errKeyStale
	}
	return nil
}

// keyExpired reports whether the configuration has become too old to accept the caller's key. A
// stream that has begun goes on: its key was accepted, and ending it would lose what its caller has
// got. The caller holds the state's mutex.
func (q *request) keyExpired(s *state, now time.Duration) bool {
	return q.customer != nil && !q.route.Public && !q.headerSent && !s.freshness.KeysValid(now)
}

// observeResponse updates the health and the weight version of an endpoint from its response.
func (q *request) observeResponse(p *placement, resp *response) {
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if !q.isEventStream(resp) { // a stream has begun with its first event
		s.recordBeginning(p)
	}
	st := s.endpointState(p.endpoint.ID)
	if !refusesForNow(resp.httpResp.StatusCode, resp.info) {
		st.health.RecordResponse(resp.httpResp.StatusCode >= http.StatusInternalServerError, now, s.rng)
	}
	q.observeLife(p, resp)
	if q.call.Prompt != nil && resp.info.WeightVersion > 0 {
		s.observeVersion(p.endpoint.ID, q.call.Prompt.Model, resp.info.WeightVersion)
	}
}

// shouldRetryResponse reports whether a 5xx response is dropped and the request retried on
// another endpoint. A 504 response is delivered, and so is any other when no attempt, time,
// endpoint or retry budget remains.
func (q *request) shouldRetryResponse(resp *response) bool {
	if resp.httpResp.StatusCode < http.StatusInternalServerError || resp.httpResp.StatusCode == http.StatusGatewayTimeout || q.headerSent {
		return false
	}
	if !q.route.Repeatable() || q.countedAttempts() >= max(q.route.MaxAttempts, 1) || remaining(q.deadline, q.g.clock()) < q.route.LatencyTarget/4 {
		return false
	}
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	others := 0
	cs := s.candidates(q.service.Name, nil, q.priority(), q.tried, now)
	q.excludeHeld(s, cs, now)
	if q.bound {
		forward.KeepBuild(cs, q.build)
	}
	for _, c := range cs {
		others += boolInt(!c.Excluded && !c.OverLimit && c.Usable)
	}
	return others > 0 && s.retryBudget(q.service.Name).CanSpend(now)
}

// deliver sends a response to the caller. A response of up to maxBufferedBytes is sent only
// once it has been read completely.
func (q *request) deliver(resp *response, p *placement) *exchangeError {
	var buf bytes.Buffer
	held := q.g.buffers.newBuffer()
	defer held.release()
	_, err := io.Copy(&buf, held.reader(q.bytes.trackResponse(io.LimitReader(resp, q.bytes.maxBuffered()))))
	if err != nil && !errors.Is(err, errResponseBuffersFull) {
		return &exchangeError{sent: true, err: fmt.Errorf("read the answer's body: %w", err)}
	}
	complete := resp.bodyComplete || bodyEnds(resp, &buf)
	if complete {
		resp.bodyComplete = true
	}
	length := resp.httpResp.ContentLength
	if complete && q.r.Method != http.MethodHead {
		length = int64(buf.Len())
	}
	q.writeHeader(resp, length)
	if _, err := q.w.Write(buf.Bytes()); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return nil // the caller has disconnected
	}
	buffered := int64(buf.Len())
	q.accessLog.bytes = buffered
	if complete {
		if q.accessLog.status < http.StatusMultipleChoices {
			q.recordSound(p)
		}
		return nil
	}
	buf = bytes.Buffer{} // a slow caller may take long for the rest
	held.release()
	to := &callerWriter{w: q.w}
	n, err := io.Copy(to, io.LimitReader(resp, maxResponseBodyBytes-buffered))
	q.accessLog.bytes += n
	if err == nil && !resp.bodyComplete {
		err = fmt.Errorf("it is longer than %d bytes", maxResponseBodyBytes)
	}
	if err != nil && !to.failed {
		return &exchangeError{sent: true, err: fmt.Errorf("the answer's body was cut: %w", err)}
	}
	return nil
}

// callerWriter writes to a caller and remembers whether that failed.
type callerWriter struct {
	w      io.Writer
	failed bool
}

func (c *callerWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.failed = c.failed || err != nil
	return n, err
}

// bodyEnds reports whether the body has ended; it reads at most one more byte into buf.
func bodyEnds(resp *response, buf *bytes.Buffer) bool {
	if resp.httpResp.Body == http.NoBody {
		return true
	}
	var b [1]byte
	n, err := io.ReadFull(resp, b[:])
	buf.Write(b[:n])
	return errors.Is(err, io.EOF) && resp.bodyComplete
}

// writeHeader sends the status and the end-to-end headers of an endpoint's response.
func (q *request) writeHeader(resp *response, length int64) {
	q.closeWhileDraining()
	h := q.w.Header()
	connection := h.Get("Connection")
	removeHopByHopHeaders(resp.httpResp.Header)
	for name, values := range resp.httpResp.Header {
		h[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := resp.httpResp.Header[name]; !ok {
			h[name] = nil // keeps net/http from adding its own
		}
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	q.w.WriteHeader(resp.httpResp.StatusCode)
	q.headerSent = true
	q.accessLog.status = resp.httpResp.StatusCode
	q.accessLog.firstByteDelay = q.g.clock() - q.arrivedAt
}
