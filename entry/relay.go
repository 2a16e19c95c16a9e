package entry

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/core/stream"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/wait"
)

// prompt is one request of a caller for generated text.
type prompt struct {
	id           string
	customer     string
	conversation string
	model        string
	text         string
	maxTokens    int
	sampling     []byte // JSON object, nil for the engine's defaults
	priority     string
	begun        time.Time
	deadline     time.Time
	state        *node.ConfigState
	charged      int  // tokens taken from the customer's limit
	asked        bool // the directory was asked for hints
	context      prefix.Hash
	hints        []*rpc.ContextLocation
}

// sink receives the answer of a prompt.
type sink interface {
	start(s *rpc.Start) error
	text(t string) error
}

// Limits of the attempts for one prompt.
const (
	maxEndpointsTried = 4
	avoidTime         = 2 * time.Second // an endpoint that refused or failed
)

// relay is the run of one prompt over as many attempts as it takes.
type relay struct {
	e    *Entry
	p    *prompt
	out  sink
	skip map[string]bool

	first    *rpc.Start      // of the first attempt that started
	answer   strings.Builder // text passed to the sink
	tokens   uint32          // and its tokens
	previous uint32          // tokens of the attempts before the current one
	lastText time.Time
	ran      apierr.Ran // what all attempts so far may have done

	// winner is the attempt whose frames are passed on: the first to start.
	winner atomic.Pointer[follower]
}

// relay runs the prompt and returns its end frame, with the usage of all
// attempts. Text that was passed to the sink is never repeated.
func (e *Entry) relay(ctx context.Context, p *prompt, out sink) (*rpc.End, error) {
	ctx, cancel := context.WithDeadline(ctx, p.deadline)
	defer cancel()
	r := &relay{e: e, p: p, out: out, skip: map[string]bool{}, ran: apierr.NotRun}
	e.o.Budget.Request()
	var last error
	for n := range maxEndpointsTried {
		end, endpoint, err := r.attempt(ctx)
		if err == nil {
			end = r.total(end)
			e.settle(p, end, nil)
			e.remember(p, r.first)
			return end, nil
		}
		r.note(err)
		if endpoint == "" && last != nil {
			break // the failure before says more than that no endpoint is left
		}
		last = err
		if endpoint == "" || !r.again(ctx, err, n) {
			break
		}
		r.skip[endpoint] = true
		e.view.avoidFor(endpoint, avoidTime)
	}
	err := r.failure(ctx, last)
	e.settle(p, nil, err)
	return nil, err
}

// note keeps the strongest of the attempts' outcomes.
func (r *relay) note(err error) {
	ran := apierr.From(err).Ran
	if ran == apierr.DidRun || r.answer.Len() > 0 {
		r.ran = apierr.DidRun
	} else if ran == apierr.RanUnknown && r.ran == apierr.NotRun {
		r.ran = apierr.RanUnknown
	}
}

// again reports whether another endpoint is to be tried, after the backoff. A
// prompt has no effect but its answer, so an attempt whose outcome is unknown
// may be repeated too. The budget is spared where the earlier attempt cost its
// endpoint nothing because the agent is leaving, and where an answer that has
// begun would be lost.
func (r *relay) again(ctx context.Context, err error, n int) bool {
	ae := apierr.From(err)
	if !ae.Retryable || ctx.Err() != nil {
		return false
	}
	if ae.Kind == apierr.Draining || r.answer.Len() > 0 {
		return true
	}
	if !r.e.o.Budget.Allow() {
		log.Warn().Str("request", r.p.id).Err(err).Msg("not repeated: the retry budget is used up")
		return false
	}
	r.e.m.retries.Add(1)
	pause, ok := r.e.o.Budget.Backoff(n, time.Until(r.p.deadline))
	return ok && wait.For(ctx, pause)
}

// failure describes the end of a prompt that no attempt completed.
func (r *relay) failure(ctx context.Context, last error) error {
	ae := apierr.From(last)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && ae.Kind != apierr.DeadlineExceeded {
		ae = apierr.New(apierr.DeadlineExceeded, r.ran, "the deadline passed", "allow more time with Galenaweir-Deadline-Ms").WithCause(last)
	}
	c := *ae
	c.Ran, c.RequestID = r.ran, r.p.id
	return &c
}

// total adds the tokens of earlier attempts to the usage of the last one. The
// prompt is counted once, as the first attempt saw it.
func (r *relay) total(end *rpc.End) *rpc.End {
	cached := min(r.first.GetCachedTokens(), r.first.GetPromptTokens())
	r.e.m.promptTokens.Add("cached", int64(cached))
	r.e.m.promptTokens.Add("recomputed", int64(r.first.GetPromptTokens()-cached))
	return &rpc.End{
		FinishReason: end.FinishReason, LengthBytes: uint64(r.answer.Len()), PromptTokens: r.first.GetPromptTokens(),
		CachedTokens: cached, CompletionTokens: r.previous + end.CompletionTokens,
	}
}

// attempt routes the prompt once and follows the attempt to its end. When text
// has been passed on, the attempt continues it on the same weight version.
func (r *relay) attempt(ctx context.Context) (*rpc.End, string, error) {
	version := ""
	if r.answer.Len() > 0 {
		version = r.first.GetWeightVersion()
		r.e.m.continued.Add(1)
	}
	r.e.lookup(ctx, r.p)
	to, err := r.e.route(r.p, r.skip, version)
	if err != nil {
		return nil, "", err
	}
	r.previous = r.tokens
	f := r.follower(to, version)
	if r.answer.Len() > 0 || len(r.skip) > 0 {
		end, err := f.attempt(ctx)
		return end, to.endpoint, err
	}
	return r.hedged(ctx, f)
}

// follower prepares an attempt on the endpoint.
func (r *relay) follower(to routed, version string) *follower {
	f := &follower{e: r.e, r: r, address: to.address}
	f.req = &rpc.GenerateRequest{
		RequestId: r.p.id, AttemptId: uuid.NewString(), Customer: r.p.customer, Endpoint: to.endpoint, Model: r.p.model,
		Conversation: r.p.conversation, Prompt: r.p.text, MaxTokens: uint32(r.p.maxTokens), Priority: r.p.priority,
		ConfigVersion: r.p.state.Version, PrefixOutput: r.answer.String(), WeightVersion: version,
		Hint: to.hint, OverShare: to.overShare, PrefillTokens: uint32(to.prefill), Sampling: r.p.sampling,
	}
	f.check = stream.NewChecker(f.req.AttemptId, r.p.customer)
	return f
}

// start passes the start of the first attempt on.
func (r *relay) start(s *rpc.Start) error {
	if r.first != nil && r.answer.Len() > 0 {
		return nil
	}
	r.first = s
	return r.out.start(s)
}

// text passes text on and measures the time since the text before.
func (r *relay) text(t *rpc.Token) error {
	now := time.Now()
	if r.lastText.IsZero() {
		r.e.m.firstToken.Observe(r.p.priority, now.Sub(r.p.begun))
		r.e.hedges.observe(r.p, now.Sub(r.p.begun))
	} else {
		r.e.m.betweenTokens.Observe(r.p.priority, now.Sub(r.lastText))
	}
	r.lastText = now
	r.answer.WriteString(t.Text)
	r.tokens += t.Tokens
	return r.out.text(t.Text)
}
