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

// promptRequest is a validated request for generated text.
type promptRequest struct {
	id             string
	customer       string
	conversation   string
	model          string
	text           string
	maxTokens      int
	sampling       []byte // JSON object; nil means the engine's defaults
	priority       string
	receivedAt     time.Time
	deadline       time.Time
	config         *node.ConfigState
	chargedTokens  int  // tokens deducted from the customer's limit
	hintsRequested bool // whether the directory was queried for hints
	contextKey     prefix.Hash
	hints          []*rpc.ContextLocation
}

// sink receives the answer to a prompt.
type sink interface {
	writeStart(s *rpc.Start) error
	writeText(t string) error
}

// Limits on the attempts for one prompt.
const (
	maxEndpointAttempts = 4
	avoidDuration       = 2 * time.Second // how long an endpoint is avoided after it refused or failed
)

// relay runs one prompt over one or more attempts.
type relay struct {
	entry  *Entry
	prompt *promptRequest
	out    sink
	tried  map[string]bool

	firstStart    *rpc.Start      // start frame of the attempt that began the answer
	answer        strings.Builder // text written to out
	answerTokens  uint32          // tokens written to out
	earlierTokens uint32          // tokens written to out before the current attempt
	lastTokenAt   time.Time
	ran           apierr.Ran // whether any attempt so far ran or may have run

	// winner is the attempt whose frames are forwarded: the first to start.
	winner atomic.Pointer[attempt]
}

// relay runs the prompt and returns its end frame, with the usage summed over all
// attempts. Text that was written to out is never repeated.
func (e *Entry) relay(ctx context.Context, p *promptRequest, out sink) (*rpc.End, error) {
	ctx, cancel := context.WithDeadline(ctx, p.deadline)
	defer cancel()
	r := &relay{entry: e, prompt: p, out: out, tried: map[string]bool{}, ran: apierr.NotRun}
	e.opts.RetryBudget.RecordRequest()
	var lastErr error
	for n := range maxEndpointAttempts {
		end, endpoint, err := r.runAttempt(ctx)
		if err == nil {
			end = r.totalUsage(end)
			e.refundUnused(p, end, nil)
			e.recordContext(p, r.firstStart)
			return end, nil
		}
		r.mergeRan(err)
		if endpoint == "" && lastErr != nil {
			break // keep the earlier error, which is more specific than "no endpoint"
		}
		lastErr = err
		if endpoint == "" || !r.awaitRetry(ctx, err, n) {
			break
		}
		r.tried[endpoint] = true
		e.view.avoidFor(endpoint, avoidDuration)
	}
	err := r.finalError(ctx, lastErr)
	e.refundUnused(p, nil, err)
	return nil, err
}

// mergeRan updates r.ran with an attempt's error: DidRun outranks RanUnknown,
// which outranks NotRun.
func (r *relay) mergeRan(err error) {
	ran := apierr.From(err).Ran
	if ran == apierr.DidRun || r.answer.Len() > 0 {
		r.ran = apierr.DidRun
	} else if ran == apierr.RanUnknown && r.ran == apierr.NotRun {
		r.ran = apierr.RanUnknown
	}
}

// awaitRetry reports whether to try another endpoint, after waiting for the backoff.
// Generating text has no side effects, so an attempt with an unknown outcome may be
// retried too. A retry is immediate and not charged to the retry budget if the agent
// was draining, since the attempt cost its endpoint nothing, or if a partial answer
// would otherwise be lost.
func (r *relay) awaitRetry(ctx context.Context, err error, n int) bool {
	ae := apierr.From(err)
	if !ae.Retryable || ctx.Err() != nil {
		return false
	}
	if ae.Kind == apierr.Draining || r.answer.Len() > 0 {
		return true
	}
	if !r.entry.opts.RetryBudget.AllowRetry() {
		log.Warn().Str("request", r.prompt.id).Err(err).Msg("not retried: retry budget exhausted")
		return false
	}
	r.entry.metrics.retries.Add(1)
	pause, ok := r.entry.opts.RetryBudget.Backoff(n, time.Until(r.prompt.deadline))
	return ok && wait.For(ctx, pause)
}

// finalError returns the error for a prompt that no attempt completed.
func (r *relay) finalError(ctx context.Context, last error) error {
	ae := apierr.From(last)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && ae.Kind != apierr.DeadlineExceeded {
		ae = apierr.New(apierr.DeadlineExceeded, r.ran, "the deadline passed", "allow more time with Galenaweir-Deadline-Ms").WithCause(last)
	}
	c := *ae
	c.Ran, c.RequestID = r.ran, r.prompt.id
	return &c
}

// totalUsage adds the completion tokens of earlier attempts to those of the last one.
// Prompt tokens are counted once, as reported by the attempt that began the answer.
func (r *relay) totalUsage(end *rpc.End) *rpc.End {
	cached := min(r.firstStart.GetCachedTokens(), r.firstStart.GetPromptTokens())
	r.entry.metrics.promptTokens.Add("cached", int64(cached))
	r.entry.metrics.promptTokens.Add("recomputed", int64(r.firstStart.GetPromptTokens()-cached))
	return &rpc.End{
		FinishReason: end.FinishReason, LengthBytes: uint64(r.answer.Len()), PromptTokens: r.firstStart.GetPromptTokens(),
		CachedTokens: cached, CompletionTokens: r.earlierTokens + end.CompletionTokens,
	}
}

// runAttempt routes the prompt, runs one attempt and returns its endpoint, which is
// empty if none was available. If text has already been forwarded, the attempt
// continues it on the same weight version. Only the first attempt of a prompt is hedged.
func (r *relay) runAttempt(ctx context.Context) (*rpc.End, string, error) {
	version := ""
	if r.answer.Len() > 0 {
		version = r.firstStart.GetWeightVersion()
		r.entry.metrics.continuations.Add(1)
	}
	r.entry.lookupHints(ctx, r.prompt)
	target, err := r.entry.route(r.prompt, r.tried, version)
	if err != nil {
		return nil, "", err
	}
	r.earlierTokens = r.answerTokens
	a := r.newAttempt(target, version)
	if r.answer.Len() > 0 || len(r.tried) > 0 {
		end, err := a.runAsWinner(ctx)
		return end, target.endpoint, err
	}
	return r.runWithHedge(ctx, a)
}

// newAttempt returns an attempt on the target endpoint.
func (r *relay) newAttempt(target routeDecision, version string) *attempt {
	a := &attempt{entry: r.entry, relay: r, address: target.address}
	a.req = &rpc.GenerateRequest{
		RequestId: r.prompt.id, AttemptId: uuid.NewString(), Customer: r.prompt.customer, Endpoint: target.endpoint, Model: r.prompt.model,
		Conversation: r.prompt.conversation, Prompt: r.prompt.text, MaxTokens: uint32(r.prompt.maxTokens), Priority: r.prompt.priority,
		ConfigVersion: r.prompt.config.Version, PrefixOutput: r.answer.String(), WeightVersion: version,
		Hint: target.fetchHint, OverShare: target.overShare, PrefillTokens: uint32(target.prefillTokens), Sampling: r.prompt.sampling,
	}
	a.checker = stream.NewChecker(a.req.AttemptId, r.prompt.customer)
	return a
}

// forwardStart forwards the start frame unless part of the answer has been forwarded.
func (r *relay) forwardStart(s *rpc.Start) error {
	if r.firstStart != nil && r.answer.Len() > 0 {
		return nil
	}
	r.firstStart = s
	return r.out.writeStart(s)
}

// forwardToken forwards text and records the time to the first token or since the
// previous one.
func (r *relay) forwardToken(t *rpc.Token) error {
	now := time.Now()
	if r.lastTokenAt.IsZero() {
		r.entry.metrics.firstToken.Observe(r.prompt.priority, now.Sub(r.prompt.receivedAt))
		r.entry.hedgePolicy.observeFirstToken(r.prompt, now.Sub(r.prompt.receivedAt))
	} else {
		r.entry.metrics.betweenTokens.Observe(r.prompt.priority, now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = now
	r.answer.WriteString(t.Text)
	r.answerTokens += t.Tokens
	return r.out.writeText(t.Text)
}
