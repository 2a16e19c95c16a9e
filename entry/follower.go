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

// Limits of the reconnections of one attempt without progress. A silent one
// costs the silence limit, so fewer are made before another endpoint is tried.
const (
	maxStreamResumes = 6
	maxSilentInRow   = 2
	cancelTimeout    = 3 * time.Second // enough to reconnect to an agent that has just restarted
	cancelTries      = 4
	cancelPause      = 100 * time.Millisecond // doubles with each try
	resumePause      = 20 * time.Millisecond  // doubles with each failure in a row
)

var errSilent = errors.New("the agent's stream went silent")

// errNotSent wraps the error of a stream that was not opened, so that the agent
// can't have seen the request.
var errNotSent = errors.New("the request was not sent")

// follower follows one attempt over as many connections as it takes.
type follower struct {
	e       *Entry
	r       *relay
	address string
	req     *rpc.GenerateRequest
	check   *stream.Checker
	end     *rpc.End
	sent    bool // the agent may have seen the request
}

// run returns the end frame when the answer is whole.
func (f *follower) run(ctx context.Context) (*rpc.End, error) {
	failures, silent := 0, 0
	for {
		before := f.check.Next()
		err := f.once(ctx)
		if f.check.Complete() {
			return f.end, nil
		}
		var ae *apierr.Error
		if errors.As(err, &ae) {
			return nil, err
		}
		if ctx.Err() != nil {
			return nil, f.gaveUp(ctx.Err())
		}
		if f.check.Next() > before {
			failures, silent = 0, 0
		}
		failures++
		if errors.Is(err, errSilent) {
			silent++
		}
		if !f.sent || failures > maxStreamResumes || silent > maxSilentInRow {
			return nil, f.gaveUp(err)
		}
		f.e.m.resumes.Add(1)
		log.Warn().Str("request", f.r.p.id).Str("attempt", f.req.AttemptId).Str("endpoint", f.req.Endpoint).
			Uint64("seq", f.check.Next()).Err(err).Msg("stream resumed on a new connection")
		f.req.Resume, f.req.ResumeSeq = true, f.check.Next()
		if !wait.For(ctx, resumePause<<(failures-1)) {
			return nil, f.gaveUp(ctx.Err())
		}
	}
}

// gaveUp describes an attempt whose end is not known.
func (f *follower) gaveUp(cause error) error {
	ran := apierr.NotRun
	if f.check.Next() > 0 {
		ran = apierr.DidRun
	} else if f.sent {
		ran = apierr.RanUnknown
	}
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		return apierr.New(apierr.DeadlineExceeded, ran, "the deadline passed", "allow more time with Galenaweir-Deadline-Ms").WithCause(cause)
	case errors.Is(cause, context.Canceled):
		return apierr.New(apierr.Cancelled, ran, "the caller went away", "send the request again if its answer is still wanted").WithCause(cause)
	}
	return apierr.NewRetryable(apierr.EndpointFailed, ran, time.Second, "the agent before endpoint "+f.req.Endpoint+" can't be reached", "retry").WithCause(cause)
}

// once follows the attempt over one connection until it ends or goes silent.
func (f *follower) once(ctx context.Context) error {
	client, conn, err := f.e.agentClient(f.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(f.e.o.SilenceLimit, func() { cancel(errSilent) })
	defer watchdog.Stop()
	// Zero would mean that there is no deadline.
	f.req.DeadlineMs = max(1, time.Until(f.r.p.deadline).Milliseconds())
	s, err := client.Generate(ctx, f.req)
	if err == nil {
		f.sent = true
		err = f.receive(s, watchdog)
	} else {
		// The handler of a server stream runs only after the request message,
		// which is not sent when the stream could not be opened.
		err = fmt.Errorf("%w: %w", errNotSent, err)
	}
	if errors.Is(context.Cause(ctx), errSilent) {
		f.renew(conn)
		return errSilent
	}
	return err
}

func (f *follower) renew(silent *grpc.ClientConn) {
	if _, err := f.e.o.Pool.Replace(f.address, silent); err != nil {
		log.Error().Err(err).Str("address", f.address).Msg("new connection failed")
	}
}

// receive passes frames on. The watchdog measures the agent's silence only: it
// stops while the caller takes its text, and goes on through foreign frames.
func (f *follower) receive(s grpc.ServerStreamingClient[rpc.Frame], watchdog *time.Timer) error {
	for {
		fr, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return errors.New("the stream ended without its end frame")
		}
		if err != nil {
			return err
		}
		if fr.AttemptId != f.req.AttemptId || fr.Customer != f.r.p.customer {
			f.e.m.foreign.Add(1)
			continue
		}
		watchdog.Stop()
		if err := f.accept(fr); err != nil || f.check.Complete() {
			return err
		}
		watchdog.Reset(f.e.o.SilenceLimit)
	}
}

// accept checks a frame and passes its text on.
func (f *follower) accept(fr *rpc.Frame) error {
	f.e.view.report(fr.Load)
	if fr.GetKeepAlive() != nil {
		return nil
	}
	var v stream.Verdict
	switch b := fr.Body.(type) {
	case *rpc.Frame_Error:
		return rpc.DecodeError(b.Error)
	case *rpc.Frame_End:
		v = f.check.End(fr.AttemptId, fr.Customer, fr.Seq, b.End.LengthBytes)
	default:
		v = f.check.Frame(fr.AttemptId, fr.Customer, fr.Seq, len(fr.GetToken().GetText()))
	}
	switch v {
	case stream.Accept:
		return f.pass(fr)
	case stream.Gap:
		return fmt.Errorf("frame %d came, %d was expected", fr.Seq, f.check.Next())
	}
	return nil
}

// attempt follows the attempt to its end, frees the engine when it was given up,
// and tells the endpoint's breaker.
func (f *follower) attempt(ctx context.Context) (*rpc.End, error) {
	f.r.winner.Store(f)
	return f.race(ctx)
}

// race is attempt for one of two attempts, of which the first to start wins.
func (f *follower) race(ctx context.Context) (*rpc.End, error) {
	end, err := f.run(ctx)
	if err != nil && f.sent {
		f.cancelRemote()
	}
	if !errors.Is(err, errLost) {
		f.judge(err)
	}
	return end, err
}

// errLost is the end of an attempt whose competitor started first.
var errLost = errors.New("another attempt started first")

func (f *follower) pass(fr *rpc.Frame) error {
	if !f.r.winner.CompareAndSwap(nil, f) && f.r.winner.Load() != f {
		return apierr.New(apierr.Cancelled, apierr.DidRun, "another attempt of the request started first", "").WithCause(errLost)
	}
	var err error
	switch b := fr.Body.(type) {
	case *rpc.Frame_Start:
		err = f.r.start(b.Start)
	case *rpc.Frame_Token:
		err = f.r.text(b.Token)
	case *rpc.Frame_End:
		f.end = b.End
	}
	if err != nil {
		return apierr.New(apierr.Cancelled, apierr.DidRun, "the caller went away", "send the request again if its answer is still wanted").WithCause(err)
	}
	return nil
}

// cancelRemote frees the engine after the attempt has been given up. It doesn't
// hold up the caller's answer, but is waited for when the entry drains.
func (f *follower) cancelRemote() {
	f.e.work.Add()
	go func() {
		defer f.e.work.Done()
		for n := range cancelTries {
			err := f.cancelOnce()
			if err == nil {
				return
			}
			log.Warn().Err(err).Str("attempt", f.req.AttemptId).Int("try", n+1).Msg("cancel at the agent failed")
			wait.For(context.Background(), cancelPause<<n)
		}
	}()
}

func (f *follower) cancelOnce() error {
	client, _, err := f.e.agentClient(f.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_, err = client.Cancel(ctx, &rpc.CancelRequest{AttemptId: f.req.AttemptId, Customer: f.r.p.customer}, grpc.WaitForReady(true))
	return err
}

// judge tells the endpoint's breaker how the attempt ended. A caller that went
// away or a deadline says nothing of the endpoint unless a frame had come.
func (f *follower) judge(err error) {
	kind := apierr.From(err)
	switch {
	case err == nil || f.check.Next() > 0 && kind.Kind != apierr.EndpointFailed:
		f.e.view.done(f.req.Endpoint, true)
	case kind.Kind == apierr.EndpointFailed:
		f.e.view.done(f.req.Endpoint, false)
	case kind.Kind != apierr.Cancelled && kind.Kind != apierr.DeadlineExceeded:
		f.e.view.done(f.req.Endpoint, true) // a refusal is an answer
	}
}
