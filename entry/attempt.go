package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/stream"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/wait"
)

// Limits on resuming an attempt's stream and on canceling the attempt at its agent.
// Each silent connection costs a whole silence limit, so fewer of those are allowed
// without progress before the next endpoint is tried.
const (
	maxResumesWithoutProgress  = 6
	maxSilencesWithoutProgress = 2
	cancelTimeout              = 3 * time.Second // long enough to reconnect to an agent that has just restarted
	maxCancelAttempts          = 4
	initialCancelBackoff       = 100 * time.Millisecond // doubles with each attempt
	initialResumeBackoff       = 20 * time.Millisecond  // doubles with each consecutive failure
)

var errStreamSilent = errors.New("agent sent no frame within the silence limit")

// errNotSent wraps the error of a stream that could not be opened, in which case the
// agent has not received the request.
var errNotSent = errors.New("request was not sent")

// attempt runs a request on one endpoint and resumes its stream on new connections.
type attempt struct {
	entry    *Entry
	relay    *relay
	address  string
	req      *rpc.GenerateRequest
	checker  *stream.Checker
	endFrame *rpc.End
	sent     bool // whether the agent may have received the request
}

// run receives the answer, resuming the stream after failures, and returns the end
// frame once the answer is complete.
func (a *attempt) run(ctx context.Context) (*rpc.End, error) {
	failures, silences := 0, 0
	for {
		before := a.checker.Next()
		err := a.streamOnce(ctx)
		if a.checker.Complete() {
			return a.endFrame, nil
		}
		var ae *apierr.Error
		if errors.As(err, &ae) {
			return nil, err
		}
		if ctx.Err() != nil {
			return nil, a.abandonedError(ctx.Err())
		}
		if a.checker.Next() > before {
			failures, silences = 0, 0
		}
		failures++
		if errors.Is(err, errStreamSilent) {
			silences++
		}
		if !a.sent || failures > maxResumesWithoutProgress || silences > maxSilencesWithoutProgress {
			return nil, a.abandonedError(err)
		}
		a.entry.metrics.resumes.Add(1)
		log.Warn().Str("request", a.relay.prompt.id).Str("attempt", a.req.AttemptId).Str("endpoint", a.req.Endpoint).
			Uint64("seq", a.checker.Next()).Err(err).Msg("stream resumed on a new connection")
		a.req.Resume, a.req.ResumeSeq = true, a.checker.Next()
		if !wait.For(ctx, initialResumeBackoff<<(failures-1)) {
			return nil, a.abandonedError(ctx.Err())
		}
	}
}

// abandonedError returns the error for an attempt that was given up without an end
// frame or an error from the agent.
func (a *attempt) abandonedError(cause error) error {
	ran := apierr.NotRun
	if a.checker.Next() > 0 {
		ran = apierr.DidRun
	} else if a.sent {
		ran = apierr.RanUnknown
	}
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		return apierr.New(apierr.DeadlineExceeded, ran, "the deadline passed", "allow more time with Galenaweir-Deadline-Ms").WithCause(cause)
	case errors.Is(cause, context.Canceled):
		return apierr.New(apierr.Cancelled, ran, "the caller went away", "send the request again if its answer is still wanted").WithCause(cause)
	}
	return apierr.NewRetryable(apierr.EndpointFailed, ran, time.Second, "the agent before endpoint "+a.req.Endpoint+" can't be reached", "retry").WithCause(cause)
}

// streamOnce receives the attempt's frames over one connection until the stream ends
// or no frame arrives within the silence limit.
func (a *attempt) streamOnce(ctx context.Context) error {
	client, conn, err := a.entry.agentClient(a.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(a.entry.opts.SilenceLimit, func() { cancel(errStreamSilent) })
	defer watchdog.Stop()
	// Zero would mean no deadline.
	a.req.DeadlineMs = max(1, time.Until(a.relay.prompt.deadline).Milliseconds())
	s, err := client.Generate(ctx, a.req)
	if err == nil {
		a.sent = true
		err = a.receiveFrames(s, watchdog)
	} else {
		// gRPC runs the handler of a server stream only after receiving the request
		// message, which is not sent if the stream could not be opened.
		err = fmt.Errorf("%w: %w", errNotSent, err)
	}
	if errors.Is(context.Cause(ctx), errStreamSilent) {
		a.renewConnection(conn)
		return errStreamSilent
	}
	return err
}

func (a *attempt) renewConnection(silent *grpc.ClientConn) {
	if _, err := a.entry.opts.Pool.Replace(a.address, silent); err != nil {
		log.Error().Err(err).Str("address", a.address).Msg("failed to replace silent connection to agent")
	}
}

// receiveFrames handles the frames of the stream. The watchdog measures only the
// agent's silence: it is stopped while a frame is being forwarded to the caller, and
// frames of other attempts don't reset it.
func (a *attempt) receiveFrames(s grpc.ServerStreamingClient[rpc.Frame], watchdog *time.Timer) error {
	for {
		fr, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return errors.New("stream ended without its end frame")
		}
		if err != nil {
			return err
		}
		if fr.AttemptId != a.req.AttemptId || fr.Customer != a.relay.prompt.customer {
			a.entry.metrics.foreignFrames.Add(1)
			continue
		}
		watchdog.Stop()
		if err := a.handleFrame(fr); err != nil || a.checker.Complete() {
			return err
		}
		watchdog.Reset(a.entry.opts.SilenceLimit)
	}
}

// handleFrame validates a frame and forwards its content.
func (a *attempt) handleFrame(fr *rpc.Frame) error {
	a.entry.view.recordLoad(fr.Load)
	if fr.GetKeepAlive() != nil {
		return nil
	}
	var v stream.Verdict
	switch b := fr.Body.(type) {
	case *rpc.Frame_Error:
		return rpc.DecodeError(b.Error)
	case *rpc.Frame_End:
		v = a.checker.End(fr.AttemptId, fr.Customer, fr.Seq, b.End.LengthBytes)
	default:
		v = a.checker.Frame(fr.AttemptId, fr.Customer, fr.Seq, len(fr.GetToken().GetText()))
	}
	switch v {
	case stream.Accept:
		return a.forward(fr)
	case stream.Gap:
		return fmt.Errorf("received frame %d, want frame %d", fr.Seq, a.checker.Next())
	}
	return nil
}

// runAsWinner runs an attempt that has no competitor: its frames are always forwarded.
func (a *attempt) runAsWinner(ctx context.Context) (*rpc.End, error) {
	a.relay.winner.Store(a)
	return a.runAndReport(ctx)
}

// runAndReport runs the attempt, cancels it at the agent if it failed, to free the
// engine, and reports the result to the endpoint's circuit breaker. Of two concurrent
// attempts, only the frames of the first to start are forwarded; the result of the
// other one is not reported.
func (a *attempt) runAndReport(ctx context.Context) (*rpc.End, error) {
	end, err := a.run(ctx)
	if err != nil && a.sent {
		a.cancelAtAgent()
	}
	if !errors.Is(err, errLostRace) {
		a.recordBreakerResult(err)
	}
	return end, err
}

// errLostRace is the cause of the error of an attempt whose competitor started first.
var errLostRace = errors.New("the other attempt started first")

// forward passes a frame on to the relay, or returns an error with the cause
// errLostRace if another attempt has started first.
func (a *attempt) forward(fr *rpc.Frame) error {
	if !a.relay.winner.CompareAndSwap(nil, a) && a.relay.winner.Load() != a {
		return apierr.New(apierr.Cancelled, apierr.DidRun, "another attempt of the request started first", "").WithCause(errLostRace)
	}
	var err error
	switch b := fr.Body.(type) {
	case *rpc.Frame_Start:
		err = a.relay.forwardStart(b.Start)
	case *rpc.Frame_Token:
		err = a.relay.forwardToken(b.Token)
	case *rpc.Frame_End:
		a.endFrame = b.End
	}
	if err != nil {
		return apierr.New(apierr.Cancelled, apierr.DidRun, "the caller went away", "send the request again if its answer is still wanted").WithCause(err)
	}
	return nil
}

// cancelAtAgent frees the engine after the attempt was abandoned. It runs in the
// background so as not to delay the caller's answer, but draining waits for it.
func (a *attempt) cancelAtAgent() {
	a.entry.inFlight.Add()
	go func() {
		defer a.entry.inFlight.Done()
		for n := range maxCancelAttempts {
			err := a.cancelOnce()
			if err == nil {
				return
			}
			log.Warn().Err(err).Str("attempt", a.req.AttemptId).Int("try", n+1).Msg("failed to cancel attempt at agent")
			wait.For(context.Background(), initialCancelBackoff<<n)
		}
	}()
}

func (a *attempt) cancelOnce() error {
	client, _, err := a.entry.agentClient(a.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_, err = client.Cancel(ctx, &rpc.CancelRequest{AttemptId: a.req.AttemptId, Customer: a.relay.prompt.customer}, grpc.WaitForReady(true))
	return err
}

// recordBreakerResult reports the attempt's result to the endpoint's circuit breaker.
// Cancellation by the caller and a passed deadline count only if a frame was
// received, since otherwise they say nothing about the endpoint.
func (a *attempt) recordBreakerResult(err error) {
	ae := apierr.From(err)
	switch {
	case err == nil || a.checker.Next() > 0 && ae.Kind != apierr.EndpointFailed:
		a.entry.view.recordResult(a.req.Endpoint, true)
	case ae.Kind == apierr.EndpointFailed:
		a.entry.view.recordResult(a.req.Endpoint, false)
	case ae.Kind != apierr.Cancelled && ae.Kind != apierr.DeadlineExceeded:
		a.entry.view.recordResult(a.req.Endpoint, true) // a refusal shows that the endpoint responds
	}
}
