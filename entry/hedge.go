package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/retry"
	"github.com/galenaweir/galenaweir/rpc"
)

// hedgePolicy decides when a short interactive answer gets a second, hedged attempt.
type hedgePolicy struct {
	mu        *sync.Mutex
	startTime time.Time
	hedger    *retry.Hedger
}

func newHedgePolicy() hedgePolicy {
	return hedgePolicy{mu: &sync.Mutex{}, startTime: time.Now(), hedger: retry.NewHedger()}
}

// interactivePriority is the priority class whose short answers are hedged.
const interactivePriority = "interactive"

// observeFirstToken records the time to first token of a prompt that may be hedged. The
// hedge delay is derived from these times.
func (h *hedgePolicy) observeFirstToken(p *promptRequest, firstToken time.Duration) {
	if p.priority != interactivePriority || p.maxTokens > retry.MaxHedgedTokens {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hedger.ObserveFirstToken(firstToken)
}

// delay returns how long to wait for the first token before starting a second
// attempt. It returns false if the prompt is not hedged. It must be called once per
// prompt, since it also counts the prompt for the hedge budget.
func (h *hedgePolicy) delay(p *promptRequest) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hedger.StartRequest(p.priority == interactivePriority, p.maxTokens, time.Since(h.startTime))
}

func (h *hedgePolicy) spendBudget() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hedger.TrySpend(time.Since(h.startTime))
}

// attemptResult is the result of one of two concurrent attempts.
type attemptResult struct {
	attempt *attempt
	end     *rpc.End
	err     error
}

// runWithHedge runs the first attempt and, if it has not started within the hedge
// delay, a second one on another endpoint. Only the frames of the attempt that starts
// first are forwarded. It returns after both have ended, so that neither outlives the
// relay.
func (r *relay) runWithHedge(ctx context.Context, first *attempt) (*rpc.End, string, error) {
	delay, ok := r.entry.hedgePolicy.delay(r.prompt)
	if !ok {
		end, err := first.runAsWinner(ctx)
		return end, first.req.Endpoint, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, 2)
	run := func(a *attempt) {
		end, err := a.runAndReport(ctx)
		results <- attemptResult{a, end, err}
	}
	r.winner.Store(nil)
	go run(first)
	running := 1
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var final attemptResult
	for running > 0 {
		select {
		case <-timer.C:
			if second := r.newHedgeAttempt(first); second != nil {
				go run(second)
				running++
			}
		case result := <-results:
			running--
			if result.err != nil && r.winner.Load() == nil {
				r.mergeRan(result.err)
			}
			if final.attempt == nil || result.attempt == r.winner.Load() || errors.Is(final.err, errLostRace) {
				final = result
			}
			if result.attempt == r.winner.Load() {
				cancel() // stop the losing attempt
			}
		}
	}
	return final.end, final.attempt.req.Endpoint, final.err
}

// newHedgeAttempt returns the second attempt, or nil if the first has started, the
// hedge budget is used up or no endpoint is available.
func (r *relay) newHedgeAttempt(first *attempt) *attempt {
	if r.winner.Load() != nil || !r.entry.hedgePolicy.spendBudget() {
		return nil
	}
	target, err := r.entry.route(r.prompt, map[string]bool{first.req.Endpoint: true}, "")
	if err != nil {
		return nil
	}
	r.entry.metrics.hedgedAttempts.Add(1)
	log.Info().Str("decision", "hedge").Str("request", r.prompt.id).Str("first", first.req.Endpoint).Str("endpoint", target.endpoint).Msg("hedged attempt started")
	return r.newAttempt(target, "")
}
