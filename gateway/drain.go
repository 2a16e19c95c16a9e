package gateway

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/wait"
)

// Times of a planned stop.
const (
	drainDelay     = 2500 * time.Millisecond // the balancer checks once a second and removes an entry after two failed checks
	exitMargin     = 500 * time.Millisecond  // part of the grace period reserved for process exit
	lastAnswerTime = 150 * time.Millisecond  // part of exitMargin in which requests that are ended get their answers
	answerMargin   = 100 * time.Millisecond  // from a request's deadline to its answer
)

// plannedStop is a planned stop of the process, in times of the gateway's clock.
type plannedStop struct {
	lateFrom time.Duration // requests are late from here on: callers have had the time to go elsewhere
	end      time.Duration // requests that are under way then are ended
}

// drain gives the balancer time to move callers to other entries, then closes the caller connections
// once their requests are complete. Requests that are not complete at the end of the grace period get
// an answer that promises nothing.
func (g *Gateway) drain(callers *callerServer) {
	grace := seconds(g.settings.GraceS) - exitMargin
	now := g.clock()
	g.stop.Store(&plannedStop{lateFrom: now + drainDelay, end: now + grace})
	g.draining.Store(true)
	log.Info().Str("event", "draining").Int64("in_flight", g.inFlight.Load()).Msg("reporting not ready")
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	wait.For(ctx, drainDelay)
	if err := callers.drain(ctx); err != nil {
		log.Warn().Str("event", "drain_cut").Int64("in_flight", g.inFlight.Load()).Err(err).Msg("ending unfinished requests at the end of the grace period")
		g.endRequests()
		last, cancelLast := context.WithTimeout(context.Background(), lastAnswerTime)
		defer cancelLast()
		_ = callers.drain(last) // what is left is closed next
	}
	_ = callers.Close() // the process exits next
}

// stopError returns the refusal of a request that may take longer than the process still runs, nil if
// there is none. One that has run, or may have, gets the time that is left.
func (q *request) stopError(now time.Duration) *apierr.Error {
	stop := q.g.stop.Load()
	if stop == nil || now < stop.lateFrom || q.deadline+answerMargin <= stop.end || !q.notRun() {
		return nil
	}
	return apierr.NewRetryable(apierr.Draining, apierr.NotRun, staleRetryAfter, "this entry stops, and the request may take longer than the time that is left", "send the request again on a new connection; it reaches another entry")
}
