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

// attempt is one attempt of a prompt: the frames that the engine has sent so
// far, kept for followers that come back after a silent connection.
type attempt struct {
	id       string
	engineID string // the ID that the engine knows
	customer string
	endpoint string
	address  string // of the engine
	cancel   context.CancelCauseFunc

	mu        sync.Mutex
	frames    []*rpc.Frame
	err       error // set when the attempt has failed
	done      bool
	changed   chan struct{}
	followers int
	joined    int // followers so far

	handedOver bool
	delivered  chan struct{} // closes when no follower needs to be waited for
}

// newAttempt returns an attempt without frames. The engine's ID derives from the
// customer's key, so that no customer can name another's attempt to an engine,
// not even through an agent that has restarted.
func newAttempt(req *rpc.GenerateRequest, address string, key prefix.CustomerKey) *attempt {
	id := prefix.Derive(key, "attempt", req.AttemptId)
	return &attempt{
		id: req.AttemptId, engineID: hex.EncodeToString(id[:]), customer: req.Customer, endpoint: req.Endpoint,
		address: address, cancel: func(error) {}, changed: make(chan struct{}), delivered: make(chan struct{}),
	}
}

func (a *attempt) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// since returns the frames from seq on, and how the attempt stands.
func (a *attempt) since(seq uint64) (frames []*rpc.Frame, done bool, changed <-chan struct{}, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if seq < uint64(len(a.frames)) {
		frames = a.frames[seq:]
	}
	return frames, a.done, a.changed, a.err
}

// has reports whether all frames below seq exist.
func (a *attempt) has(seq uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return seq <= uint64(len(a.frames))
}

func (a *attempt) ended() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done
}

// weightVersion returns the version that the attempt runs on, once known.
func (a *attempt) weightVersion() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.frames) == 0 {
		return ""
	}
	return a.frames[0].GetStart().GetWeightVersion()
}

// tokens returns how many tokens the attempt took so far, prompt and output.
func (a *attempt) tokens() int {
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

func (a *attempt) add(f *rpc.Frame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.frames = append(a.frames, f)
	a.wake()
}

// finish ends the attempt. Nobody is expected to come back for one that was
// cancelled.
func (a *attempt) finish(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done, a.err = true, err
	if apierr.Is(err, apierr.Cancelled) {
		a.deliverLocked()
	}
	a.wake()
}

// errSilent is the cause of cancelling a stream that sent nothing for the limit.
var errSilent = errors.New("the engine's stream went silent")

// errEnded ends the reading of a stream after its end frame, so that an engine
// that keeps it open doesn't hold up the attempt's end.
var errEnded = errors.New("the end frame has come")

// errOrphaned is the cause of cancelling an attempt that nobody follows.
var errOrphaned = errors.New("no entry follows the attempt")

// errCancelled is the cause of an attempt that its caller gave up.
var errCancelled = errors.New("the caller cancelled the attempt")

// Limits of the reconnections of one attempt without progress. A silent one
// costs the silence limit, so fewer are made.
const (
	maxEngineResumes = 5
	maxSilentInRow   = 2
)

// resumePause is the time before a stream is resumed after an error.
const resumePause = 50 * time.Millisecond

// runner copies an engine's stream into an attempt; it resumes the stream until
// its end frame has come.
type runner struct {
	engine  protocol.Engine
	silence time.Duration
	dropped func() // counts a frame that didn't fit
	resumed func() // counts a reconnection
	began   func() // the prompt is prefilled
	// mayRestart allows to send the request again, under the same ID, when the
	// engine doesn't know the attempt and no frame of it was passed on.
	mayRestart bool
	ran        apierr.Ran // what a failed attempt may have done
}

// run returns nil when the answer is whole.
func (r *runner) run(ctx context.Context, a *attempt, req *protocol.Request, resume bool) error {
	check := stream.NewChecker(req.AttemptID, a.customer)
	r.ran = apierr.NotRun
	failures, silent := 0, 0
	for {
		before := check.Next()
		err := r.once(ctx, a, req, check, resume)
		r.note(err, check, resume)
		switch {
		case check.Complete():
			return nil
		case ctx.Err() != nil:
			return context.Cause(ctx)
		case errors.Is(err, protocol.ErrWeightVersionMismatch), errors.Is(err, protocol.ErrRejected),
			errors.Is(err, protocol.ErrUnreachable) && r.ran == apierr.NotRun:
			return err
		case errors.Is(err, protocol.ErrNotFound) && (!resume || !r.mayRestart || check.Next() > 0):
			return err
		}
		if check.Next() > before {
			failures, silent = 0, 0
		}
		failures++
		if errors.Is(err, errSilent) {
			silent++
		}
		if failures > maxEngineResumes || silent > maxSilentInRow {
			return fmt.Errorf("gave up after %d resumes without progress: %w", failures-1, err)
		}
		r.resumed()
		log.Warn().Str("attempt", a.id).Str("endpoint", a.endpoint).Uint64("seq", check.Next()).Err(err).Msg("engine stream resumed")
		resume = !errors.Is(err, protocol.ErrNotFound)
		if !wait.For(ctx, resumePause) {
			return context.Cause(ctx)
		}
	}
}

// note updates what the attempt may have done, after one connection.
func (r *runner) note(err error, check *stream.Checker, resumed bool) {
	notSent := errors.Is(err, protocol.ErrUnreachable) || errors.Is(err, protocol.ErrRejected) || errors.Is(err, protocol.ErrWeightVersionMismatch)
	switch {
	case check.Next() > 0:
		r.ran = apierr.DidRun
	case resumed || !notSent:
		r.ran = apierr.RanUnknown
	}
}

// renewer is implemented by protocols that keep idle connections.
type renewer interface{ CloseIdle() }

// once follows one connection to the engine until it ends or goes silent.
func (r *runner) once(ctx context.Context, a *attempt, req *protocol.Request, check *stream.Checker, resume bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(r.silence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	sink := func(e protocol.Event) error {
		alive, err := r.accept(a, check, e)
		if alive {
			watchdog.Reset(r.silence)
		}
		return err
	}
	var err error
	if resume {
		err = r.engine.Resume(ctx, a.address, req.AttemptID, check.Next(), sink)
	} else {
		err = r.engine.Generate(ctx, a.address, req, sink)
	}
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		if c, ok := r.engine.(renewer); ok {
			c.CloseIdle() // they may have gone silent as well
		}
		return cause
	}
	if err == nil {
		return protocol.ErrStreamTruncated // whether the answer is whole is for the checker to say
	}
	return err
}

// accept checks one event and keeps it as a frame. A frame of another attempt is
// no sign that this one is alive.
func (r *runner) accept(a *attempt, check *stream.Checker, e protocol.Event) (alive bool, err error) {
	if e.Kind == protocol.EventKeepAlive {
		return true, nil
	}
	var v stream.Verdict
	if e.Kind == protocol.EventEnded {
		v = check.End(e.AttemptID, a.customer, e.Seq, e.LengthBytes)
	} else {
		v = check.Frame(e.AttemptID, a.customer, e.Seq, len(e.Text))
	}
	switch v {
	case stream.Accept:
		if e.Kind == protocol.EventStarted {
			r.began()
		}
		a.add(frameOf(a, e))
		if check.Complete() {
			return true, errEnded
		}
	case stream.Foreign:
		r.dropped()
	case stream.Gap:
		return false, fmt.Errorf("%w: frame %d came, %d was expected", protocol.ErrStreamTruncated, e.Seq, check.Next())
	}
	return v == stream.Accept, nil
}

func frameOf(a *attempt, e protocol.Event) *rpc.Frame {
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

// translate turns an error of an attempt into its typed kind.
func translate(err error, endpoint string, ran apierr.Ran) error {
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
