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

// hedges decides when a second attempt is started for a short interactive answer.
type hedges struct {
	mu     *sync.Mutex
	start  time.Time
	hedger *retry.Hedger
}

func newHedges() hedges {
	return hedges{mu: &sync.Mutex{}, start: time.Now(), hedger: retry.NewHedger()}
}

// interactive is the priority class whose short answers are hedged.
const interactive = "interactive"

func (h *hedges) observe(p *prompt, firstToken time.Duration) {
	if p.priority != interactive || p.maxTokens > retry.MaxHedgedTokens {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hedger.ObserveFirstToken(firstToken)
}

// delay returns the time after which a second attempt may be started; false when
// the prompt is never hedged.
func (h *hedges) delay(p *prompt) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hedger.StartRequest(p.priority == interactive, p.maxTokens, time.Since(h.start))
}

func (h *hedges) spend() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hedger.TrySpend(time.Since(h.start))
}

// outcome is the end of one of two attempts.
type outcome struct {
	f   *follower
	end *rpc.End
	err error
}

// hedged follows the first attempt and, when it has not started in time, a second
// one on another endpoint. Only the frames of the attempt that starts first are
// passed on. It returns when both have ended, so that neither outlives the relay.
func (r *relay) hedged(ctx context.Context, f *follower) (*rpc.End, string, error) {
	delay, ok := r.e.hedges.delay(r.p)
	if !ok {
		end, err := f.attempt(ctx)
		return end, f.req.Endpoint, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan outcome, 2)
	run := func(f *follower) {
		end, err := f.race(ctx)
		ends <- outcome{f, end, err}
	}
	r.winner.Store(nil)
	go run(f)
	running := 1
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var last outcome
	for running > 0 {
		select {
		case <-timer.C:
			if second := r.second(f); second != nil {
				go run(second)
				running++
			}
		case o := <-ends:
			running--
			if o.err != nil && r.winner.Load() == nil {
				r.note(o.err)
			}
			if last.f == nil || o.f == r.winner.Load() || errors.Is(last.err, errLost) {
				last = o
			}
			if o.f == r.winner.Load() {
				cancel() // the other one has lost, whatever it does
			}
		}
	}
	return last.end, last.f.req.Endpoint, last.err
}

// second prepares the second attempt, nil when there is no need or no budget.
func (r *relay) second(f *follower) *follower {
	if r.winner.Load() != nil || !r.e.hedges.spend() {
		return nil
	}
	to, err := r.e.route(r.p, map[string]bool{f.req.Endpoint: true}, "")
	if err != nil {
		return nil
	}
	r.e.m.hedged.Add(1)
	log.Info().Str("decision", "hedge").Str("request", r.p.id).Str("first", f.req.Endpoint).Str("endpoint", to.endpoint).Msg("second attempt started")
	return r.follower(to, "")
}
