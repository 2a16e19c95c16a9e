package gateway

import (
	"context"
	"time"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/wait"
)

// lineInterval is the time between two attempts to place the first prompt of a line. Peers' loads are
// about as old.
const lineInterval = 20 * time.Millisecond

// lines are the prompts that wait at this entry, by service. It is guarded by the state's mutex.
type lines struct {
	byService map[string]*forward.Line
	turns     map[*forward.LinePlace]chan struct{} // receives a value when a prompt may try to be placed
	serving   bool                                 // serveLines runs
}

func newLines() lines {
	return lines{byService: map[string]*forward.Line{}, turns: map[*forward.LinePlace]chan struct{}{}}
}

func (l *lines) of(service string) *forward.Line {
	line := l.byService[service]
	if line == nil {
		line = &forward.Line{}
		l.byService[service] = line
	}
	return line
}

// mustWait reports whether a prompt of the given rank has to wait behind others.
func (l *lines) mustWait(service string, rank int) bool {
	line := l.byService[service]
	return line != nil && line.MustWait(rank)
}

// grant lets the first prompt of a service try.
func (l *lines) grant(service string) {
	if first := l.of(service).First(); first != nil {
		select {
		case l.turns[first] <- struct{}{}:
		default: // it may try already
		}
	}
}

// errMustWait asks the request to join the line.
var errMustWait = apierr.New(apierr.Overloaded, apierr.NotRun, "the prompt waits for room at the endpoints", "")

// mayWait reports whether a prompt that finds no room now may wait for it. The caller holds the state's
// mutex.
func (q *request) mayWait(now time.Duration) bool {
	return q.scheduling.WaitingLine && q.call.Prompt != nil && !q.bound && !q.takesUp() && q.sentAttempts == 0 && (q.lineEnd == 0 || now < q.lineEnd)
}

// placeInTurn places the request, after it has waited for room if it may.
func (q *request) placeInTurn(ctx context.Context) (*placement, *apierr.Error) {
	defer q.leaveLine(false)
	for {
		p, err := q.place()
		if err == errStreamMustWait {
			if err = q.awaitRoom(ctx); err == nil {
				continue
			}
		}
		if err != errMustWait {
			q.endRoomWait(err)
			q.leaveLine(err != nil && q.lineEnd > 0 && q.g.clock() >= q.lineEnd)
			return p, err
		}
		if !q.awaitTurn(ctx) {
			return nil, q.refuseWaiting()
		}
	}
}

// awaitTurn waits until the request may try to be placed, or has waited for as long as it may; then it
// tries a last time. It returns false if it would wait in vain, or the caller has left.
func (q *request) awaitTurn(ctx context.Context) bool {
	s := q.g.state
	s.mu.Lock()
	now := s.clock()
	if q.linePlace == nil {
		limit := forward.LineTime(q.route.LatencyTarget, remaining(q.deadline, now))
		q.lineEnd = now + limit
		overShare := q.scheduling.FairShare && s.fairShare(q.service.Name).Exceeds(q.customerName(), q.rank, now)
		if q.linePlace = s.lines.of(q.service.Name).Join(q.rank, overShare, now); q.linePlace == nil || limit <= 0 {
			s.mu.Unlock()
			return false
		}
		q.linedUpAt = now
		s.lines.turns[q.linePlace] = make(chan struct{}, 1)
		if !s.lines.serving {
			s.lines.serving = true
			go q.g.serveLines()
		}
	}
	turn, left := s.lines.turns[q.linePlace], q.lineEnd-now
	s.mu.Unlock()
	limit := time.NewTimer(left)
	defer limit.Stop()
	select {
	case <-turn:
		return true
	case <-limit.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// leaveLine removes the request from the line, and lets the next one try if it was placed.
func (q *request) leaveLine(inVain bool) {
	if q.linePlace == nil {
		return
	}
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	q.accessLog.waited += now - q.linedUpAt
	s.lines.of(q.service.Name).Leave(q.linePlace, inVain, now)
	delete(s.lines.turns, q.linePlace)
	q.linePlace = nil
	s.lines.grant(q.service.Name)
}

// refuseWaiting returns the refusal of a prompt that has waited in vain, or would.
func (q *request) refuseWaiting() *apierr.Error {
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return q.noRoom(s, apierr.Overloaded, 0, s.clock(), "no room at the endpoints within the latency target")
}

// serveLines lets the first prompt of each line try until all lines are empty. A prompt that is placed
// lets the next one try.
func (g *Gateway) serveLines() {
	s := g.state
	for wait.For(context.Background(), lineInterval) {
		s.mu.Lock()
		waiting := 0
		for service, l := range s.lines.byService {
			waiting += l.Len()
			s.lines.grant(service)
		}
		s.lines.serving = waiting > 0
		s.mu.Unlock()
		if waiting == 0 {
			return
		}
	}
}
