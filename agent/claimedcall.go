package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
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

// Timeouts and delays of claimed calls.
const (
	claimTimeout   = 5 * time.Second       // maximum wait for a claim's result
	logRetryAfter  = time.Second           // retry delay advised to callers while the log is unavailable
	minAwaitDelay  = 20 * time.Millisecond // between lookups; doubles up to maxAwaitDelay
	maxAwaitDelay  = 500 * time.Millisecond
	minRecordDelay = 100 * time.Millisecond // between appends of a record; doubles up to maxRecordDelay
	maxRecordDelay = 5 * time.Second
)

// defaultMaxAnswerBytes is the default limit on the size of a recorded answer.
const defaultMaxAnswerBytes = 64 << 10

// claimedCall is one attempt of a call that may run at most once, such as a payment. The
// agent itself generates the ID that the attempt has in the log, so that a duplicate of
// the entry's message is a different attempt, to which the log does not grant the key.
type claimedCall struct {
	agent     *Agent
	endpoint  config.Endpoint
	doc       *config.Document
	rule      config.Rule
	req       *rpc.CallRequest
	id        string
	keyHash   claims.Hash
	bodyHash  claims.Hash
	keyTime   time.Time
	expires   time.Time
	partition uint32
	attempt   claims.Attempt // used only by the goroutine of run
}

func newClaimedCall(a *Agent, e config.Endpoint, doc *config.Document, rule config.Rule, req *rpc.CallRequest) (*claimedCall, error) {
	if a.opts.ClaimClient == nil {
		return nil, apierr.New(apierr.Internal, apierr.NotRun, "agent "+a.opts.ID+" was started without claims", "operators: restart it with the log's address")
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
	return &claimedCall{
		agent: a, endpoint: e, doc: doc, rule: rule, req: req, id: uuid.NewString(), keyHash: key,
		bodyHash: claims.BodyHash(req.Service, req.Method, req.Path, req.ContentType, req.Body),
		keyTime:  t, expires: t.Add(window), partition: claimsvc.PartitionOf(key, doc),
	}, nil
}

// run claims the key. If the claim is granted, it dispatches the call; otherwise it
// returns the answer of the attempt that holds the key.
func (c *claimedCall) run(ctx context.Context) (*rpc.CallReply, error) {
	c.agent.calls.markHeld(c.id)
	reply, err := c.claim(ctx)
	if err != nil {
		c.abort()
		return nil, c.abortedError(ctx, err)
	}
	switch reply.Result {
	case rpc.ClaimReply_RESULT_GRANTED:
		if c.attempt.Grant() && ctx.Err() == nil && c.attempt.Dispatch() {
			return c.dispatch(ctx)
		}
		c.abort()
		return nil, c.abortedError(ctx, ctx.Err())
	case rpc.ClaimReply_RESULT_UNAVAILABLE:
		if reply.State.GetOutcome() != nil {
			c.attempt.Close()
			c.agent.calls.clearHeld(c.id) // the recorded outcome keeps the key, so there is nothing to release
			return nil, c.unreadableOutcomeError(reply.State, reply.Error)
		}
		c.abort()
		if reply.State.GetAttemptId() != "" && reply.State.AttemptId != c.id {
			return nil, outcomeUnknownError("an earlier request with the key has no recorded outcome, and the log is unavailable")
		}
		return nil, c.abortedError(ctx, rpc.DecodeError(reply.Error))
	}
	c.attempt.Close()
	c.agent.calls.clearHeld(c.id) // the claim isn't valid, so there is nothing to release
	switch reply.Result {
	case rpc.ClaimReply_RESULT_SETTLED:
		return replay(reply.State.Outcome)
	case rpc.ClaimReply_RESULT_KEY_REUSED:
		return nil, keyReusedError(reply.State)
	case rpc.ClaimReply_RESULT_PENDING:
		return c.awaitOutcome(ctx, reply.State)
	}
	if reply.Error != nil {
		return nil, rpc.DecodeError(reply.Error)
	}
	return nil, apierr.NewRetryable(apierr.Overloaded, apierr.NotRun, serviceRetryAfter, "the claim was voided", "retry with the same key")
}

// claim requests a claim on the key from the claim service.
func (c *claimedCall) claim(ctx context.Context) (*rpc.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return c.agent.opts.ClaimClient.Claim(ctx, &rpc.ClaimRequest{
		Customer: c.req.Customer, KeyHash: c.keyHash[:], BodyHash: c.bodyHash[:], AttemptId: c.id, Executor: c.agent.opts.ID,
		ExecutorIncarnation: c.agent.calls.incarnation, KeyTimeMs: c.keyTime.UnixMilli(), Partition: c.partition, ExpiresMs: c.expires.UnixMilli(),
	})
}

// abort ends an attempt that has not been dispatched and releases its key.
func (c *claimedCall) abort() {
	if c.attempt.Close() {
		c.release()
	}
}

// recordInBackground calls appendRecord in the background until it succeeds or the key
// expires. The attempt stays held until then.
func (c *claimedCall) recordInBackground(recordKind string, appendRecord func(context.Context) error) {
	c.agent.inFlight.Add() // valid because the caller is still registered as work
	go func() {
		defer c.agent.endWork()
		defer c.agent.calls.clearHeld(c.id)
		ctx, cancel := context.WithDeadline(context.Background(), c.expires)
		defer cancel()
		delay := minRecordDelay
		for {
			err := appendRecord(ctx)
			if err == nil {
				return
			}
			log.Warn().Str("request", c.req.RequestId).Str("attempt", c.id).Str("record", recordKind).Err(err).Msg("could not append the record; retrying until the key expires")
			if !wait.For(ctx, delay) {
				return
			}
			delay = min(2*delay, maxRecordDelay)
		}
	}()
}

// dispatch sends the call to the service and records its outcome. It continues if the
// entry's call is cancelled, because repeats need the outcome.
func (c *claimedCall) dispatch(ctx context.Context) (*rpc.CallReply, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), serviceTimeout(c.rule))
	defer cancel()
	c.agent.calls.dispatched.Add(c.keyHash, struct{}{})
	resp, err := c.agent.calls.roundTrip(ctx, c.endpoint, c.req)
	c.attempt.Settle()
	switch {
	case errors.Is(err, errServiceUnreachable):
		c.agent.calls.dispatched.Remove(c.keyHash)
		c.release()
		return nil, serviceUnreachableError(c.req.Endpoint, err)
	case errors.Is(err, errAnswerTooLarge):
		c.settle(claims.Outcome{Status: uint32(apierr.AnswerNotKept.Status())})
		return nil, answerNotKeptError()
	case err != nil:
		log.Warn().Str("request", c.req.RequestId).Str("attempt", c.id).Str("endpoint", c.req.Endpoint).Err(err).Msg("service gave no answer after the dispatch")
		c.agent.calls.clearHeld(c.id)
		return nil, outcomeUnknownError("endpoint " + c.req.Endpoint + " received the request and gave no answer")
	}
	reply := resp.reply()
	if c.rule.Idempotent && c.rule.Lookup {
		if err := c.agent.checkVersionFloor(ctx, c.doc, c.req, reply); err != nil {
			c.agent.calls.dispatched.Remove(c.keyHash)
			c.release() // a stale answer must not be recorded and replayed to repeats
			return nil, err
		}
	}
	o := claims.Outcome{Status: uint32(resp.status), ContentType: resp.contentType, ResourceVersion: resp.resourceVersion}
	if len(resp.body) <= c.maxAnswerBytes() {
		o.Body, o.BodyKept = resp.body, true
	}
	c.settle(o)
	return reply, nil
}

// release records that the key is free again.
func (c *claimedCall) release() {
	c.recordInBackground("release", func(ctx context.Context) error { return c.agent.opts.ClaimClient.Release(ctx, c.partition, c.id) })
}

// settle records the outcome.
func (c *claimedCall) settle(o claims.Outcome) {
	c.recordInBackground("outcome", func(ctx context.Context) error { return c.agent.opts.ClaimClient.Settle(ctx, c.partition, c.id, o) })
}

func (c *claimedCall) maxAnswerBytes() int {
	if n := c.doc.Claims.MaxAnswerBytes; n > 0 {
		return n
	}
	return defaultMaxAnswerBytes
}

// awaitOutcome waits for the outcome of the attempt that holds the key and returns its
// answer. If the holder can no longer record an outcome, the outcome is looked up once
// more, because the holder may have recorded it since the last lookup.
func (c *claimedCall) awaitOutcome(ctx context.Context, holder *rpc.ClaimState) (*rpc.CallReply, error) {
	delay, holderLost := minAwaitDelay, false
	for {
		reply, err := c.agent.opts.ClaimClient.LookupOutcome(ctx, c.partition, c.keyHash)
		if err == nil && reply.Error != nil && reply.State.GetOutcome() != nil {
			return nil, c.unreadableOutcomeError(reply.State, reply.Error)
		}
		if err == nil && reply.Error == nil {
			switch {
			case !reply.Found || reply.State.AttemptId != holder.AttemptId && reply.State.Outcome == nil:
				return nil, apierr.NewRetryable(apierr.Overloaded, apierr.NotRun, serviceRetryAfter, "the earlier request with the key was given up before it ran", "retry with the same key")
			case reply.State.Outcome != nil:
				if hashDiffers(reply.State.BodyHash, c.bodyHash) {
					return nil, keyReusedError(reply.State)
				}
				return replay(reply.State.Outcome)
			case holderLost:
				return nil, outcomeUnknownError(fmt.Sprintf("executor %s ended before it recorded the outcome of an earlier request with the key", holder.Executor))
			}
		}
		holderLost = !c.holderMayRecord(ctx, holder)
		if !wait.For(ctx, delay) {
			return nil, apierr.NewRetryable(apierr.DeadlineExceeded, apierr.RanUnknown, logRetryAfter, "an earlier request with the key is still running", "repeat with the same key to get its answer")
		}
		delay = min(2*delay, maxAwaitDelay)
	}
}

// unreadableOutcomeError returns the error for a repeat while the answer of an earlier
// run can't be read from the log.
func (c *claimedCall) unreadableOutcomeError(s *rpc.ClaimState, cause *rpc.Error) error {
	if hashDiffers(s.BodyHash, c.bodyHash) {
		return keyReusedError(s)
	}
	return rpc.DecodeError(cause)
}

func hashDiffers(b []byte, h claims.Hash) bool { return string(b) != string(h[:]) }

// holderMayRecord reports whether the executor may still record the attempt's outcome. An
// executor that doesn't answer but is still a member may.
func (c *claimedCall) holderMayRecord(ctx context.Context, holder *rpc.ClaimState) bool {
	state := c.agent.calls.attemptState(holder.AttemptId)
	if holder.Executor != c.agent.opts.ID {
		m, ok := c.agent.opts.Members.Get(holder.Executor)
		if !ok || m.State == node.Gone {
			return false
		}
		conn, err := c.agent.opts.Pool.Get(m.Address)
		if err != nil {
			return true
		}
		ctx, cancel := context.WithTimeout(ctx, maxAwaitDelay)
		defer cancel()
		if state, err = rpc.NewAgentClient(conn).AttemptState(ctx, &rpc.AttemptStateRequest{AttemptId: holder.AttemptId}); err != nil {
			return true
		}
	}
	return state.Held && state.Incarnation == holder.ExecutorIncarnation
}

// replay returns the recorded answer of an earlier run. Earlier builds also recorded broken answers,
// whose status doesn't exist.
func replay(o *rpc.Outcome) (*rpc.CallReply, error) {
	if !o.GetBodyKept() || o.Status < http.StatusOK {
		return nil, answerNotKeptError()
	}
	return &rpc.CallReply{Status: o.Status, Body: o.Body, ContentType: o.ContentType, ResourceVersion: o.ResourceVersion, Replayed: true}, nil
}

func answerNotKeptError() error {
	return apierr.New(apierr.AnswerNotKept, apierr.DidRun, "the request ran, but its answer was too large to keep, or broken", "read the result from the service")
}

func keyReusedError(s *rpc.ClaimState) error {
	ran := apierr.RanUnknown
	if s.GetOutcome() != nil {
		ran = apierr.DidRun
	}
	return apierr.New(apierr.KeyReused, ran, "the key was used with another body; ran tells about the request that used it first", "use a new key for another request")
}

func outcomeUnknownError(message string) error {
	return apierr.New(apierr.OutcomeUnknown, apierr.RanUnknown, message, "check with the service whether it took effect; don't send it again with a new key before")
}

// abortedError returns the error for an attempt that was closed before its dispatch. The
// outcome is unknown if this agent has dispatched an earlier attempt with the key.
func (c *claimedCall) abortedError(ctx context.Context, cause error) error {
	if c.agent.calls.dispatched.Contains(c.keyHash) {
		return outcomeUnknownError("an earlier request with the key was dispatched, and its outcome can't be read now")
	}
	return notRunError(ctx, cause)
}

// notRunError returns the error for an attempt that was closed before its dispatch
// and whose key this agent has not dispatched before.
func notRunError(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		return apierr.NewRetryable(apierr.DeadlineExceeded, apierr.NotRun, logRetryAfter, "the deadline passed before the request was dispatched", "retry with the same key and allow more time").WithCause(cause)
	}
	return apierr.NewRetryable(apierr.LogUnavailable, apierr.NotRun, logRetryAfter, "the platform's log did not take the claim; this request was not dispatched", "retry with the same key and no other: whether an earlier request with it ran is known when the log is back").WithCause(cause)
}
