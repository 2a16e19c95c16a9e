package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/admission"
	"github.com/galenaweir/galenaweir/core/admission/fair"
	_ "github.com/galenaweir/galenaweir/core/admission/fifo" // plug-in
	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/rpc"
)

const (
	maxWaiting = 1000 // requests before one endpoint
	// maxEnginePrefill is the number of prompt tokens that an engine may have
	// before it when another request is granted. What waits here can be ordered
	// fairly; what waits in the engine can't. Less than this leaves the engine
	// idle between two prompts.
	maxEnginePrefill = 4096
)

// Gate admits prompts to the engines in the order of the admission policy. A nil
// Gate admits everything at once.
type Gate struct {
	now func() time.Time

	mu    sync.Mutex
	lines map[string]*line
}

// line is the queue before one endpoint.
type line struct {
	id      string // of the policy
	policy  admission.Policy
	grants  map[*admission.Request]*grant
	config  *config.Document // as configured last
	running map[*admission.Request]*grant
	prefill int // tokens of granted requests whose first frame has not come
}

// grant is a request's turn.
type grant struct {
	attempt string
	prefill int           // tokens, zero once the first frame has come
	granted chan struct{} // closes when the request may start
}

// NewGate returns a gate; now is the clock of its policies.
func NewGate(now func() time.Time) *Gate {
	return &Gate{now: now, lines: map[string]*line{}}
}

// line returns the queue before the endpoint as the document configures it. The
// policy of a queue that is in use is changed only when it is empty.
func (g *Gate) line(doc *config.Document, endpoint string) *line {
	l := g.lines[endpoint]
	if l == nil || l.id != doc.Policies.Admission && len(l.grants)+len(l.running) == 0 {
		p, err := kernel.New[admission.Policy](kernel.ID(doc.Policies.Admission))
		if err != nil {
			p = fair.New()
		}
		l = &line{id: doc.Policies.Admission, policy: p, grants: map[*admission.Request]*grant{}, running: map[*admission.Request]*grant{}}
		g.lines[endpoint] = l
	}
	if l.config != doc {
		l.config = doc
		e := doc.Endpoints[endpoint]
		m := doc.Models[e.Model]
		o := admission.Options{Slots: max(1, e.Slots), MaxWaiting: maxWaiting, Classes: map[string]admission.Class{}}
		// The higher of both rates is too high for any mix of prompt and output, so
		// that nothing is refused on a wrong estimate before the rate is measured.
		o.TokensPerSecond = m.PrefillTokensPerSecond / float64(o.Slots)
		if m.DecodeMsPerToken > 0 {
			o.TokensPerSecond = max(o.TokensPerSecond, 1000/m.DecodeMsPerToken)
		}
		for id, c := range doc.Priorities {
			o.Classes[id] = admission.Class{Rank: c.Rank, MinShare: c.MinShare, ReservedSlots: c.ReservedSlots}
		}
		l.policy.Configure(o)
	}
	return l
}

// Acquire waits for the request's turn. The caller must call release with the
// tokens that the request took. An error means that nothing has run. A request
// that already runs in the engine is admitted at once.
func (g *Gate) Acquire(ctx context.Context, doc *config.Document, req *rpc.GenerateRequest) (release func(tokens int), err error) {
	if g == nil {
		return func(int) {}, nil
	}
	r := &admission.Request{
		Customer: req.Customer, Weight: max(doc.Customers[req.Customer].Weight, 0), Class: req.Priority,
		Tokens: prefix.EstimateTokens(req.Prompt) + int(req.MaxTokens),
	}
	if d, ok := ctx.Deadline(); ok {
		r.Deadline = g.now().Add(time.Until(d))
	}
	granted, l, err := g.enter(doc, req, r)
	if err != nil {
		return nil, err
	}
	release = func(tokens int) { g.done(l, r, tokens) }
	select {
	case <-granted:
		return release, nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	delete(l.grants, r)
	waiting := l.policy.Cancel(r)
	g.mu.Unlock()
	if !waiting {
		release(0)
	}
	return nil, context.Cause(ctx)
}

// enter offers the request to the policy and returns the channel that closes when
// it may start.
func (g *Gate) enter(doc *config.Document, req *rpc.GenerateRequest, r *admission.Request) (<-chan struct{}, *line, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.line(doc, req.Endpoint)
	turn := &grant{attempt: req.AttemptId, prefill: int(req.PrefillTokens), granted: make(chan struct{})}
	if req.Resume {
		l.policy.ForceStart(r, g.now())
		turn.prefill = 0
		l.running[r] = turn
		close(turn.granted)
		return turn.granted, l, nil
	}
	o := l.policy.Enqueue(r, g.now())
	if o.Outcome != admission.Accepted {
		load := l.policy.Load()
		log.Info().Str("decision", "refuse").Str("request", req.RequestId).Str("customer", r.Customer).Str("endpoint", req.Endpoint).
			Str("class", r.Class).Int("tokens", r.Tokens).Int("running", load.Running).Int("waiting", load.Waiting).
			Int("queued_tokens", load.QueuedTokens).Dur("start", o.EstimatedWait).Dur("retry_after", o.RetryAfter).Msg("admission")
		return nil, nil, refusal(o, req.Endpoint, load)
	}
	l.grants[r] = turn
	l.start(g.now())
	return turn.granted, l, nil
}

func refusal(o admission.Decision, endpoint string, load admission.Load) error {
	if o.Outcome == admission.RejectedLate {
		return apierr.NewRetryable(apierr.DeadlineUnmet, apierr.NotRun, o.RetryAfter, fmt.Sprintf("endpoint %s would start the request in %s, after its deadline", endpoint, o.EstimatedWait.Round(time.Millisecond)), "retry later, or allow more time with Galenaweir-Deadline-Ms")
	}
	return apierr.NewRetryable(apierr.Overloaded, apierr.NotRun, o.RetryAfter, fmt.Sprintf("%d requests are waiting for endpoint %s", load.Waiting, endpoint), "retry later; another endpoint is tried")
}

// start grants all requests that may start now.
func (l *line) start(now time.Time) {
	for l.prefill < maxEnginePrefill {
		r := l.policy.Next(now)
		if r == nil {
			return
		}
		turn, ok := l.grants[r]
		if !ok {
			turn = &grant{}
		}
		l.running[r] = turn
		l.prefill += turn.prefill
		if ok {
			delete(l.grants, r)
			close(turn.granted)
		}
	}
}

// Began notes that the engine has sent the attempt's first frame.
func (g *Gate) Began(endpoint, attempt string) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lines[endpoint]
	if l == nil {
		return
	}
	for _, turn := range l.running {
		if turn.attempt == attempt {
			l.prefill -= turn.prefill
			turn.prefill = 0
		}
	}
	l.start(g.now())
}

func (g *Gate) done(l *line, r *admission.Request, tokens int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	turn, ok := l.running[r]
	if !ok {
		return
	}
	delete(l.running, r)
	l.prefill -= turn.prefill
	l.policy.Done(r, tokens, g.now())
	l.start(g.now())
}

// Load returns the endpoint's load; false when the gate does not know it.
func (g *Gate) Load(endpoint string) (admission.Load, bool) {
	if g == nil {
		return admission.Load{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lines[endpoint]
	if l == nil {
		return admission.Load{}, false
	}
	return l.policy.Load(), true
}
