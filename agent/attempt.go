package agent

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/core/stream"
	"github.com/galenaweir/galenaweir/protocol"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/wait"
)

// attempt is one run of a prompt on an engine. It keeps all frames that the engine
// has sent, so that followers can reconnect and read on after a broken connection.
type attempt struct {
	id       string
	engineID string // the attempt's ID on the engine
	customer string
	endpoint string
	address  string // the engine's address
	cancel   context.CancelCauseFunc

	mu         sync.Mutex
	frames     []*rpc.Frame
	err        error // set if the attempt has failed
	done       bool
	changed    chan struct{} // closed and replaced whenever frames or done change
	followers  int
	totalJoins int // followers ever added

	isDelivered bool
	delivered   chan struct{} // closed when the drain need not wait for a follower any more
}

// newAttempt returns an attempt without frames. The engine's ID is derived from the
// customer's key, so that no customer can address another customer's attempt on an
// engine, even after the agent has restarted and lost its attempts.
func newAttempt(req *rpc.GenerateRequest, address string, key prefix.CustomerKey) *attempt {
	id := prefix.Derive(key, "attempt", req.AttemptId)
	return &attempt{
		id: req.AttemptId, engineID: hex.EncodeToString(id[:]), customer: req.Customer, endpoint: req.Endpoint,
		address: address, cancel: func(error) {}, changed: make(chan struct{}), delivered: make(chan struct{}),
	}
}

// notifyChanged wakes all followers that wait on the current changed channel.
func (a *attempt) notifyChanged() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// framesFrom returns the frames from seq on and the attempt's state: whether it is
// done, a channel that is closed at the next change, and its error.
func (a *attempt) framesFrom(seq uint64) (frames []*rpc.Frame, done bool, changed <-chan struct{}, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if seq < uint64(len(a.frames)) {
		frames = a.frames[seq:]
	}
	return frames, a.done, a.changed, a.err
}

// hasFramesBefore reports whether all frames before seq exist.
func (a *attempt) hasFramesBefore(seq uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return seq <= uint64(len(a.frames))
}

// ended reports whether the attempt is done.
func (a *attempt) ended() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done
}

// weightVersion returns the weight version that the attempt runs on, or the empty
// string if the engine has not sent its first frame.
func (a *attempt) weightVersion() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.frames) == 0 {
		return ""
	}
	return a.frames[0].GetStart().GetWeightVersion()
}

// tokenCount returns the number of prompt and output tokens so far.
func (a *attempt) tokenCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.frames) == 0 {
		return 0
	}
	n := int(a.frames[0].GetStart().GetPromptTokens()) + len(a.frames) - 1
	if a.frames[len(a.frames)-1].GetEnd() != nil {
		n--
	}
	return n
}

// appendFrame adds a frame and wakes the followers.
func (a *attempt) appendFrame(f *rpc.Frame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.frames = append(a.frames, f)
	a.notifyChanged()
}

// finish marks the attempt as done. A cancelled attempt counts as delivered at once,
// because no follower is expected to reconnect to it.
func (a *attempt) finish(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done, a.err = true, err
	if apierr.Is(err, apierr.Cancelled) {
		a.markDeliveredLocked()
	}
	a.notifyChanged()
}

// errStreamSilent is the cancellation cause of a stream that sent nothing within the
// silence limit.
var errStreamSilent = errors.New("the engine's stream sent nothing within the silence limit")

// errEndFrame stops reading a stream after its end frame, so that an engine that keeps
// the stream open doesn't delay the attempt's end.
var errEndFrame = errors.New("the end frame was received")

// errOrphaned is the cancellation cause of an attempt without followers.
var errOrphaned = errors.New("no entry is following the attempt")

// errCancelled is the cancellation cause of an attempt that its caller cancelled.
var errCancelled = errors.New("the caller cancelled the attempt")

// Limits on consecutive resumes of one attempt without progress. A silent connection
// takes the whole silence limit to detect, so fewer of those are allowed.
const (
	maxEngineResumes = 5
	maxSilentResumes = 2
)

// resumeDelay is the delay before a stream is resumed after an error.
const resumeDelay = 50 * time.Millisecond

// streamRunner copies an engine's stream into an attempt. It resumes a broken stream
// until the end frame has been received.
type streamRunner struct {
	engine         protocol.Engine
	silenceLimit   time.Duration
	onForeignFrame func() // called for each frame of another attempt
	onResume       func() // called for each resume
	onFirstFrame   func() // called at the first frame, when the prompt is prefilled
	// allowRestart allows sending the request again under the same ID if the engine
	// doesn't know the attempt and no frame of it has been received.
	allowRestart bool
	ran          apierr.Ran // whether the attempt has run, or may have run, on the engine
}

// run copies the stream into the attempt and returns nil when the answer is complete.
func (r *streamRunner) run(ctx context.Context, a *attempt, req *protocol.Request, resume bool) error {
	checker := stream.NewChecker(req.AttemptID, a.customer)
	r.ran = apierr.NotRun
	failures, silentFailures := 0, 0
	for {
		nextBefore := checker.Next()
		err := r.runConnection(ctx, a, req, checker, resume)
		r.updateRan(err, checker, resume)
		switch {
		case checker.Complete():
			return nil
		case ctx.Err() != nil:
			return context.Cause(ctx)
		case errors.Is(err, protocol.ErrWeightVersionMismatch), errors.Is(err, protocol.ErrRejected),
			errors.Is(err, protocol.ErrUnreachable) && r.ran == apierr.NotRun:
			return err
		case errors.Is(err, protocol.ErrNotFound) && (!resume || !r.allowRestart || checker.Next() > 0):
			return err
		}
		if checker.Next() > nextBefore {
			failures, silentFailures = 0, 0
		}
		failures++
		if errors.Is(err, errStreamSilent) {
			silentFailures++
		}
		if failures > maxEngineResumes || silentFailures > maxSilentResumes {
			return fmt.Errorf("gave up after %d resumes without progress: %w", failures-1, err)
		}
		r.onResume()
		log.Warn().Str("attempt", a.id).Str("endpoint", a.endpoint).Uint64("seq", checker.Next()).Err(err).Msg("resuming the engine's stream")
		resume = !errors.Is(err, protocol.ErrNotFound)
		if !wait.For(ctx, resumeDelay) {
			return context.Cause(ctx)
		}
	}
}

// updateRan updates r.ran after a connection has ended with err.
func (r *streamRunner) updateRan(err error, checker *stream.Checker, resumed bool) {
	notSent := errors.Is(err, protocol.ErrUnreachable) || errors.Is(err, protocol.ErrRejected) || errors.Is(err, protocol.ErrWeightVersionMismatch)
	switch {
	case checker.Next() > 0:
		r.ran = apierr.DidRun
	case resumed || !notSent:
		r.ran = apierr.RanUnknown
	}
}

// idleCloser is implemented by engine protocols that pool idle connections.
type idleCloser interface{ CloseIdle() }

// runConnection starts or resumes the stream on one connection and reads it until it
// ends or exceeds the silence limit.
func (r *streamRunner) runConnection(ctx context.Context, a *attempt, req *protocol.Request, checker *stream.Checker, resume bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(r.silenceLimit, func() { cancel(errStreamSilent) })
	defer watchdog.Stop()
	sink := func(e protocol.Event) error {
		alive, err := r.acceptEvent(a, checker, e)
		if alive {
			watchdog.Reset(r.silenceLimit)
		}
		return err
	}
	var err error
	if resume {
		err = r.engine.Resume(ctx, a.address, req.AttemptID, checker.Next(), sink)
	} else {
		err = r.engine.Generate(ctx, a.address, req, sink)
	}
	if cause := context.Cause(ctx); errors.Is(cause, errStreamSilent) {
		if c, ok := r.engine.(idleCloser); ok {
			c.CloseIdle() // pooled connections may be dead as well
		}
		return cause
	}
	if err == nil {
		return protocol.ErrStreamTruncated // run asks the checker whether the answer is complete
	}
	return err
}

// acceptEvent checks one event and appends it to the attempt as a frame. alive reports
// whether the event resets the silence limit, which a frame of another attempt doesn't.
func (r *streamRunner) acceptEvent(a *attempt, checker *stream.Checker, e protocol.Event) (alive bool, err error) {
	if e.Kind == protocol.EventKeepAlive {
		return true, nil
	}
	var verdict stream.Verdict
	if e.Kind == protocol.EventEnded {
		verdict = checker.End(e.AttemptID, a.customer, e.Seq, e.LengthBytes)
	} else {
		verdict = checker.Frame(e.AttemptID, a.customer, e.Seq, len(e.Text))
	}
	switch verdict {
	case stream.Accept:
		if e.Kind == protocol.EventStarted {
			r.onFirstFrame()
		}
		a.appendFrame(frameFromEvent(a, e))
		if checker.Complete() {
			return true, errEndFrame
		}
	case stream.Foreign:
		r.onForeignFrame()
	case stream.Gap:
		return false, fmt.Errorf("%w: received frame %d, expected frame %d", protocol.ErrStreamTruncated, e.Seq, checker.Next())
	}
	return verdict == stream.Accept, nil
}

// frameFromEvent converts an engine's event to a frame of the attempt.
func frameFromEvent(a *attempt, e protocol.Event) *rpc.Frame {
	f := &rpc.Frame{AttemptId: a.id, Customer: a.customer, Seq: e.Seq}
	switch e.Kind {
	case protocol.EventStarted:
		f.Body = &rpc.Frame_Start{Start: &rpc.Start{
			Endpoint: a.endpoint, WeightVersion: e.WeightVersion,
			PromptTokens: uint32(e.PromptTokens), CachedTokens: uint32(e.CachedTokens),
		}}
	case protocol.EventText:
		f.Body = &rpc.Frame_Token{Token: &rpc.Token{Text: e.Text, Tokens: 1}}
	case protocol.EventEnded:
		f.Body = &rpc.Frame_End{End: &rpc.End{
			FinishReason: e.FinishReason, LengthBytes: e.LengthBytes, PromptTokens: uint32(e.PromptTokens),
			CachedTokens: uint32(e.CachedTokens), CompletionTokens: uint32(e.OutputTokens),
		}}
	}
	return f
}

// toAPIError converts an attempt's error to an apierr.Error.
func toAPIError(err error, endpoint string, ran apierr.Ran) error {
	const retryAfter = 200 * time.Millisecond
	var typed *apierr.Error
	if errors.As(err, &typed) {
		return err
	}
	switch {
	case errors.Is(err, errCancelled), errors.Is(err, errOrphaned):
		return apierr.New(apierr.Cancelled, ran, "the attempt was cancelled", "send the request again if its answer is still wanted").WithCause(err)
	case errors.Is(err, context.DeadlineExceeded):
		return apierr.New(apierr.DeadlineExceeded, ran, "the deadline passed", "allow more time with Galenaweir-Deadline-Ms").WithCause(err)
	case errors.Is(err, protocol.ErrWeightVersionMismatch):
		return apierr.NewRetryable(apierr.EndpointFailed, ran, retryAfter, "endpoint "+endpoint+" has another weight version loaded", "retry; another endpoint is tried").WithCause(err)
	}
	return apierr.NewRetryable(apierr.EndpointFailed, ran, retryAfter, "endpoint "+endpoint+" failed", "retry; if it persists, look at the endpoint's host").WithCause(err)
}
