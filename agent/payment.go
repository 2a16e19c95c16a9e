package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/claimsvc"
	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/claims"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/wait"
)

// Times of claimed calls.
const (
	claimLimit       = 5 * time.Second // for the wait for a grant
	logRetryAfter    = time.Second     // told to callers while the log is unavailable
	firstAwaitPause  = 20 * time.Millisecond
	maxAwaitPause    = 500 * time.Millisecond
	firstRecordPause = 100 * time.Millisecond
	maxRecordPause   = 5 * time.Second
)

// defaultMaxAnswerBytes bounds the answers that are recorded.
const defaultMaxAnswerBytes = 64 << 10

// payment is one attempt of a call that may run at most once. Its ID in the log
// is made here and never leaves with a request, so that a second copy of the
// entry's message is another attempt, which the log refuses.
type payment struct {
	a         *Agent
	e         config.Endpoint
	doc       *config.Document
	rule      config.Rule
	req       *rpc.CallRequest
	id        string
	key       claims.Hash
	body      claims.Hash
	keyTime   time.Time
	expires   time.Time
	partition uint32
	attempt   claims.Attempt // used by the goroutine of run only
}

func newPayment(a *Agent, e config.Endpoint, doc *config.Document, rule config.Rule, req *rpc.CallRequest) (*payment, error) {
	if a.o.ClaimClient == nil {
		return nil, apierr.New(apierr.Internal, apierr.NotRun, "agent "+a.o.ID+" was started without claims", "operators: restart it with the log's address")
	}
	t, err := claims.KeyTime(req.IdempotencyKey)
	if err != nil {
		return nil, err
	}
	window := claimsvc.KeyWindow(doc)
	if err := claims.CheckKeyWindow(t, time.Now(), window); err != nil {
		return nil, err
	}
	key := claims.KeyHash(req.Customer, req.IdempotencyKey)
	return &payment{
		a: a, e: e, doc: doc, rule: rule, req: req, id: uuid.NewString(), key: key,
		body:    claims.BodyHash(req.Service, req.Method, req.Path, req.ContentType, req.Body),
		keyTime: t, expires: t.Add(window), partition: claimsvc.PartitionOf(key, doc),
	}, nil
}

// run claims the key, and dispatches the call or finds the answer of the attempt
// that did.
func (p *payment) run(ctx context.Context) (*rpc.CallReply, error) {
	p.a.calls.hold(p.id)
	reply, err := p.claim(ctx)
	if err != nil {
		p.close()
		return nil, p.refused(ctx, err)
	}
	switch reply.Result {
	case rpc.ClaimReply_RESULT_GRANTED:
		if p.attempt.Grant() && ctx.Err() == nil && p.attempt.Dispatch() {
			return p.dispatch(ctx)
		}
		p.close()
		return nil, p.refused(ctx, ctx.Err())
	case rpc.ClaimReply_RESULT_UNAVAILABLE:
		if reply.State.GetOutcome() != nil {
			p.attempt.Close()
			p.a.calls.drop(p.id) // an outcome keeps the key for good: nothing to release
			return nil, p.unreadable(reply.State, reply.Error)
		}
		p.close()
		if reply.State.GetAttemptId() != "" && reply.State.AttemptId != p.id {
			return nil, unknownOutcome("an earlier request with the key has no recorded outcome, and the log is unavailable")
		}
		return nil, p.refused(ctx, rpc.DecodeError(reply.Error))
	}
	p.attempt.Close()
	p.a.calls.drop(p.id) // the claim can't be valid: nothing to release
	switch reply.Result {
	case rpc.ClaimReply_RESULT_SETTLED:
		return replay(reply.State.Outcome)
	case rpc.ClaimReply_RESULT_KEY_REUSED:
		return nil, keyReused(reply.State)
	case rpc.ClaimReply_RESULT_PENDING:
		return p.await(ctx, reply.State)
	}
	if reply.Error != nil {
		return nil, rpc.DecodeError(reply.Error)
	}
	return nil, apierr.NewRetryable(apierr.Overloaded, apierr.NotRun, retryPause, "the claim was voided", "retry with the same key")
}

func (p *payment) claim(ctx context.Context) (*rpc.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	return p.a.o.ClaimClient.Claim(ctx, &rpc.ClaimRequest{
		Customer: p.req.Customer, KeyHash: p.key[:], BodyHash: p.body[:], AttemptId: p.id, Executor: p.a.o.ID,
		ExecutorIncarnation: p.a.calls.incarnation, KeyTimeMs: p.keyTime.UnixMilli(), Partition: p.partition, ExpiresMs: p.expires.UnixMilli(),
	})
}

// close gives the attempt up before its dispatch and frees the key.
func (p *payment) close() {
	if p.attempt.Close() {
		p.release()
	}
}

// record repeats the append in the background until the log has taken it or the
// key has expired. The attempt counts as held until then.
func (p *payment) record(what string, f func(context.Context) error) {
	p.a.work.Add() // the caller's own count is still held
	go func() {
		defer p.a.leave()
		defer p.a.calls.drop(p.id)
		ctx, cancel := context.WithDeadline(context.Background(), p.expires)
		defer cancel()
		pause := firstRecordPause
		for {
			err := f(ctx)
			if err == nil {
				return
			}
			log.Warn().Str("request", p.req.RequestId).Str("attempt", p.id).Str("record", what).Err(err).Msg("record was not taken; it is sent again")
			if !wait.For(ctx, pause) {
				return
			}
			pause = min(2*pause, maxRecordPause)
		}
	}()
}

// dispatch sends the call to the service. It goes on when the entry has gone,
// because the outcome is wanted for the repeats.
func (p *payment) dispatch(ctx context.Context) (*rpc.CallReply, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), serviceTimeout(p.rule))
	defer cancel()
	p.a.calls.dispatched.Add(p.key, struct{}{})
	s, err := p.a.calls.exchange(ctx, p.e, p.req)
	p.attempt.Settle()
	switch {
	case errors.Is(err, errNotReached):
		p.a.calls.dispatched.Remove(p.key)
		p.release()
		return nil, notReached(p.req.Endpoint, err)
	case errors.Is(err, errAnswerTooLarge):
		p.settle(claims.Outcome{Status: uint32(apierr.AnswerNotKept.Status())})
		return nil, answerNotKept()
	case err != nil:
		log.Warn().Str("request", p.req.RequestId).Str("attempt", p.id).Str("endpoint", p.req.Endpoint).Err(err).Msg("service gave no answer after the dispatch")
		p.a.calls.drop(p.id)
		return nil, unknownOutcome("endpoint " + p.req.Endpoint + " received the request and gave no answer")
	}
	reply := s.reply()
	if p.rule.Idempotent && p.rule.Lookup {
		if err := p.a.observe(ctx, p.doc, p.req, reply); err != nil {
			p.a.calls.dispatched.Remove(p.key)
			p.release() // a stale answer must not become the answer of all repeats
			return nil, err
		}
	}
	o := claims.Outcome{Status: uint32(s.status), ContentType: s.contentType, ResourceVersion: s.version}
	if len(s.body) <= p.maxAnswerBytes() {
		o.Body, o.BodyKept = s.body, true
	}
	p.settle(o)
	return reply, nil
}

func (p *payment) release() {
	p.record("release", func(ctx context.Context) error { return p.a.o.ClaimClient.RecordRelease(ctx, p.partition, p.id) })
}

func (p *payment) settle(o claims.Outcome) {
	p.record("outcome", func(ctx context.Context) error { return p.a.o.ClaimClient.RecordOutcome(ctx, p.partition, p.id, o) })
}

func (p *payment) maxAnswerBytes() int {
	if n := p.doc.Claims.MaxAnswerBytes; n > 0 {
		return n
	}
	return defaultMaxAnswerBytes
}

// await waits for the outcome of the attempt that holds the key.
func (p *payment) await(ctx context.Context, holder *rpc.ClaimState) (*rpc.CallReply, error) {
	pause, lost := firstAwaitPause, false
	for {
		reply, err := p.a.o.ClaimClient.LookupOutcome(ctx, p.partition, p.key)
		if err == nil && reply.Error != nil && reply.State.GetOutcome() != nil {
			return nil, p.unreadable(reply.State, reply.Error)
		}
		if err == nil && reply.Error == nil {
			switch {
			case !reply.Found || reply.State.AttemptId != holder.AttemptId && reply.State.Outcome == nil:
				return nil, apierr.NewRetryable(apierr.Overloaded, apierr.NotRun, retryPause, "the earlier request with the key was given up before it ran", "retry with the same key")
			case reply.State.Outcome != nil:
				if hashDiffers(reply.State.BodyHash, p.body) {
					return nil, keyReused(reply.State)
				}
				return replay(reply.State.Outcome)
			case lost:
				return nil, unknownOutcome(fmt.Sprintf("executor %s ended before it recorded the outcome of an earlier request with the key", holder.Executor))
			}
		}
		lost = !p.holderRuns(ctx, holder)
		if !wait.For(ctx, pause) {
			return nil, apierr.NewRetryable(apierr.DeadlineExceeded, apierr.RanUnknown, logRetryAfter, "an earlier request with the key is still running", "repeat with the same key to get its answer")
		}
		pause = min(2*pause, maxAwaitPause)
	}
}

// unreadable is the refusal while the answer of an earlier run can't be read from
// the log.
func (p *payment) unreadable(s *rpc.ClaimState, cause *rpc.Error) error {
	if hashDiffers(s.BodyHash, p.body) {
		return keyReused(s)
	}
	return rpc.DecodeError(cause)
}

func hashDiffers(b []byte, h claims.Hash) bool { return string(b) != string(h[:]) }

// holderRuns reports whether the executor may still record the attempt's
// outcome. One that can't be asked but is still a member may.
func (p *payment) holderRuns(ctx context.Context, holder *rpc.ClaimState) bool {
	state := p.a.calls.state(holder.AttemptId)
	if holder.Executor != p.a.o.ID {
		m, ok := p.a.o.Members.Get(holder.Executor)
		if !ok || m.State == node.Gone {
			return false
		}
		conn, err := p.a.o.Pool.Get(m.Address)
		if err != nil {
			return true
		}
		ctx, cancel := context.WithTimeout(ctx, maxAwaitPause)
		defer cancel()
		if state, err = rpc.NewAgentClient(conn).AttemptState(ctx, &rpc.AttemptStateRequest{AttemptId: holder.AttemptId}); err != nil {
			return true
		}
	}
	return state.Held && state.Incarnation == holder.ExecutorIncarnation
}

// replay returns the stored answer of an earlier run.
func replay(o *rpc.Outcome) (*rpc.CallReply, error) {
	if !o.GetBodyKept() {
		return nil, answerNotKept()
	}
	return &rpc.CallReply{Status: o.Status, Body: o.Body, ContentType: o.ContentType, ResourceVersion: o.ResourceVersion, Replayed: true}, nil
}

func answerNotKept() error {
	return apierr.New(apierr.AnswerNotKept, apierr.DidRun, "the request ran, but its answer was too large to keep", "read the result from the service")
}

func keyReused(s *rpc.ClaimState) error {
	ran := apierr.RanUnknown
	if s.GetOutcome() != nil {
		ran = apierr.DidRun
	}
	return apierr.New(apierr.KeyReused, ran, "the key was used with another body; ran tells about the request that used it first", "use a new key for another request")
}

func unknownOutcome(message string) error {
	return apierr.New(apierr.OutcomeUnknown, apierr.RanUnknown, message, "check with the service whether it took effect; don't send it again with a new key before")
}

// refused is the refusal of an attempt that was closed undispatched. An earlier
// attempt of the key that this agent has dispatched makes the outcome unknown.
func (p *payment) refused(ctx context.Context, cause error) error {
	if p.a.calls.dispatched.Contains(p.key) {
		return unknownOutcome("an earlier request with the key was dispatched, and its outcome can't be read now")
	}
	return refusedNotRun(ctx, cause)
}

// refusedNotRun is the refusal of an attempt that was closed undispatched.
func refusedNotRun(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		return apierr.NewRetryable(apierr.DeadlineExceeded, apierr.NotRun, logRetryAfter, "the deadline passed before the request was dispatched", "retry with the same key and allow more time").WithCause(cause)
	}
	return apierr.NewRetryable(apierr.LogUnavailable, apierr.NotRun, logRetryAfter, "the platform's log did not take the claim; this request was not dispatched", "retry with the same key and no other: whether an earlier request with it ran is known when the log is back").WithCause(cause)
}
