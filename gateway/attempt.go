package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/galenaweir/galenaweir/core/forward"
)

// attempt sends the request to an endpoint and delivers its answer.
func (q *request) attempt(ctx context.Context, p *placement) *exchangeError {
	m := q.msg
	m.header = q.msg.header.Clone()
	o := Outgoing{
		Endpoint: p.endpoint.ID, Prompted: q.call.Prompt != nil, Priority: forward.EffectivePriority(q.route, q.customer),
		Salt: p.choice.Salt, Version: p.choice.Version, UntilMs: p.untilMs, LastEvent: q.call.LastEvent, Remaining: remaining(q.deadline, q.g.clock()),
	}
	if pr := q.call.Prompt; pr != nil {
		o.Fetch, o.Save = addresses(p.choice.Plan, pr.Parts, q.service.Engine.SourcePerPart)
	}
	if q.customer != nil {
		o.Customer = q.customer.Name
	}
	if q.lastID != "" {
		o.LastEvent = q.lastID
	}
	q.g.dialect.Outgoing(m.header, o)
	a, xerr := q.g.exchange(ctx, &m, q.call.ID, p.endpoint, p.limit, q.mayBegin)
	if xerr == nil || xerr.sent {
		q.sends++
		q.refused = xerr != nil && xerr.notRun && (q.sends == 1 || q.refused)
	}
	if xerr != nil {
		return xerr
	}
	defer a.close()
	q.learn(p, a)
	if q.retryFailure(a) {
		return &exchangeError{sent: true, status: a.resp.StatusCode, err: fmt.Errorf("the endpoint failed with %d", a.resp.StatusCode)}
	}
	if q.route.Kind == forward.Stream && a.resp.StatusCode == http.StatusOK {
		return q.relay(a, p)
	}
	if q.started {
		return &exchangeError{sent: true, status: a.resp.StatusCode, err: fmt.Errorf("the stream can't be resumed: status %d", a.resp.StatusCode)}
	}
	return q.deliver(a, p)
}

// errKeyOutdated means that the request may not be sent although it was placed.
var errKeyOutdated = errors.New("a key may have been taken away since the request was placed")

// mayBegin tells whether a placed request may still be sent: this process may have
// been suspended since, or the connection may have taken long.
func (q *request) mayBegin() error {
	if q.customer == nil || q.route.Public {
		return nil
	}
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fresh.KeysValid(s.clock()) {
		return errKeyOutdated
	}
	return nil
}

// learn takes what an answer tells of its endpoint.
func (q *request) learn(p *placement, a *answer) {
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	st := s.endpoint(p.endpoint.ID)
	st.health.RecordResponse(a.resp.StatusCode >= http.StatusInternalServerError, now, s.rng)
	if q.call.Prompt != nil && a.reply.WeightVersion > 0 {
		s.observeVersion(p.endpoint.ID, q.call.Prompt.Model, a.reply.WeightVersion)
	}
}

// retryFailure tells whether a failure that the endpoint answered is tried again
// elsewhere. The answer is delivered when no attempt is left.
func (q *request) retryFailure(a *answer) bool {
	if a.resp.StatusCode < http.StatusInternalServerError || a.resp.StatusCode == http.StatusGatewayTimeout || q.started {
		return false
	}
	if !q.route.Repeatable() || q.sends >= max(q.route.MaxAttempts, 1) || remaining(q.deadline, q.g.clock()) < q.route.LatencyTarget/4 {
		return false
	}
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	others := 0
	for _, c := range s.candidates(q.service.Name, nil, q.tried, now) {
		others += boolInt(!c.Excluded && c.Usable)
	}
	return others > 0 && s.budget(q.service.Name).Allows(now)
}

// deliver passes an answer on. One of usual size is sent only when it is whole.
func (q *request) deliver(a *answer, p *placement) *exchangeError {
	var buf bytes.Buffer
	_, err := io.Copy(&buf, io.LimitReader(a, maxWholeBytes))
	if err != nil {
		return &exchangeError{sent: true, err: fmt.Errorf("read the answer's body: %w", err)}
	}
	whole := a.whole || probeEnd(a, &buf)
	if whole {
		a.whole = true
	}
	length := a.resp.ContentLength
	if whole && q.r.Method != http.MethodHead {
		length = int64(buf.Len())
	}
	q.writeHead(a, length)
	if _, err := q.w.Write(buf.Bytes()); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return nil // the caller has left
	}
	q.line.bytes = int64(buf.Len())
	if whole {
		return nil
	}
	n, err := io.Copy(q.w, a)
	q.line.bytes += n
	if err != nil {
		q.abort("the answer broke off")
	}
	return nil
}

// probeEnd reads one byte to see whether the body ends.
func probeEnd(a *answer, buf *bytes.Buffer) bool {
	if a.resp.Body == http.NoBody {
		return true
	}
	var b [1]byte
	n, err := io.ReadFull(a, b[:])
	buf.Write(b[:n])
	return errors.Is(err, io.EOF) && a.whole
}

// writeHead sends the status and headers of an endpoint's answer as they are.
func (q *request) writeHead(a *answer, length int64) {
	h := q.w.Header()
	closing := h.Get("Connection")
	stripHop(a.resp.Header)
	for name, values := range a.resp.Header {
		h[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := a.resp.Header[name]; !ok {
			h[name] = nil // net/http would add its own
		}
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	q.w.WriteHeader(a.resp.StatusCode)
	q.started = true
	q.line.status = a.resp.StatusCode
	q.line.firstByte = q.g.clock() - q.arrived
}

// abort closes the caller's connection, so that a part of an answer doesn't look whole.
func (q *request) abort(reason string) {
	q.line.aborted = reason
	panic(http.ErrAbortHandler)
}
