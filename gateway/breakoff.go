package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/forward"
)

// Bounds on what is done for an attempt that broke off.
const (
	endpointCheckTimeout = 300 * time.Millisecond // a refusal takes a round trip of a few milliseconds
	defaultMaxCheckWait  = 100 * time.Millisecond // for which a further attempt waits
	endpointSettleTime   = 20 * time.Millisecond  // an endpoint that ends closes its connections and its listener one after the other
	maxEndpointChecks    = 64                     // at once; an attempt beyond them is no evidence
	maxLoggedParts       = 8
	maxLoggedPartBytes   = 32 // of a part's ID
)

// endpointFate says whether an endpoint ended when a connection to it did.
type endpointFate string

// The fates of an endpoint.
const (
	fateUnknown endpointFate = "unknown"
	fateAlive   endpointFate = "alive" // only the connection ended
	fateEnded   endpointFate = "ended" // it refuses connections
)

// brokeOff reports whether an attempt ended because the endpoint closed or reset the connection.
func (e *exchangeError) brokeOff() bool {
	if e == nil || !e.sent || e.notRun {
		return false
	}
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, errTruncatedEvent, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(e.err, target) {
			return true
		}
	}
	return false
}

// sharedParts returns the IDs of the parts of the prompt that other requests may contain, up to
// bounds on their number and length.
func (q *request) sharedParts() string {
	if q.call.Prompt == nil {
		return ""
	}
	var ids []string
	for _, p := range q.call.Prompt.SharedParts() {
		if len(ids) == maxLoggedParts {
			ids = append(ids, "...")
			break
		}
		ids = append(ids, p.ID[:min(len(p.ID), maxLoggedPartBytes)])
	}
	return strings.Join(ids, ",")
}

// observeBreakOff finds out whether the endpoint of an attempt that broke off has ended, and logs it
// with what the endpoint had sent by then. If the endpoint ended before the first complete event,
// it suspects the request and the shared parts of its prompt. A further attempt waits for that, as it
// obeys what is held.
func (q *request) observeBreakOff(ctx context.Context, p *placement, x *exchangeError) {
	if !x.brokeOff() || q.r.Context().Err() != nil || q.excusesEndpoint(x) {
		return
	}
	g, e, endedAt := q.g, &p.endpoint, q.g.clock()
	line := log.Info().Str("event", "attempt_broke_off").Str("request", q.call.ID).Str("endpoint", e.ID).Str("build", e.Build).Int64("weights", p.choice.Version).
		Str("parts", q.sharedParts()).Str("same", partKeyText(q.wholeKey())).Bool("head", p.headArrived).Int("events", p.events).Dur("took_ms", endedAt-p.placedAt)
	check, evidence := g.beginCheck(e), p.events == 0
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		<-check.done
		line.Str("fate", string(check.fate)).Msg("the endpoint closed the connection of an attempt")
		if evidence && check.fate == fateEnded {
			q.recordCrash(p, endedAt)
		}
	}()
	if !evidence {
		return
	}
	limit := time.NewTimer(g.maxCheckWait)
	defer limit.Stop()
	select {
	case <-recorded:
	case <-limit.C:
	case <-ctx.Done():
	}
}

// endpointCheck is a check whether an endpoint has ended, on behalf of all attempts that broke off
// meanwhile.
type endpointCheck struct {
	done chan struct{}
	fate endpointFate
}

// beginCheck begins to check whether an endpoint has ended, or returns the check that is under way.
func (g *Gateway) beginCheck(e *forward.Endpoint) *endpointCheck {
	s, start := g.state, startOf(e)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.endpointChecks[start]; c != nil {
		return c
	}
	c := &endpointCheck{done: make(chan struct{}), fate: fateUnknown}
	if len(s.endpointChecks) >= maxEndpointChecks {
		close(c.done)
		return c
	}
	s.endpointChecks[start] = c
	address := e.Address
	go func() {
		c.fate = checkEndpoint(address)
		s.mu.Lock()
		delete(s.endpointChecks, start)
		s.mu.Unlock()
		close(c.done)
	}()
	return c
}

// checkEndpoint finds out whether the endpoint at an address has ended.
func checkEndpoint(address string) endpointFate {
	ctx, cancel := context.WithTimeout(context.Background(), endpointCheckTimeout)
	defer cancel()
	for range 2 {
		nc, err := dialer.DialContext(ctx, "tcp", address)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return fateEnded
		case err != nil:
			return fateUnknown
		}
		settled := time.NewTimer(endpointSettleTime)
		select {
		case <-settled.C:
		case <-ctx.Done():
			settled.Stop()
		}
		open := isReusable(newEndpointConn(nc))
		nc.Close()
		if open {
			return fateAlive
		}
	}
	return fateUnknown
}

// countEvents returns the number of events in complete events.
func countEvents(events []byte) int {
	return bytes.Count(events, []byte("\n\n")) + bytes.Count(events, []byte("\r\n\r\n"))
}
