package agent

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/node/nodetest"
	"github.com/galenaweir/galenaweir/protocol"
	"github.com/galenaweir/galenaweir/protocol/protocoltest"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/wait"
)

const silence = 2 * time.Second

func newAgent(e *protocoltest.Engine) *Agent {
	doc := &config.Document{Endpoints: map[string]config.Endpoint{"e": {Agent: "a", Model: "m", Address: "192.0.2.1:1"}}}
	return New(Options{ID: "a", SilenceLimit: silence, Config: nodetest.NewConfig(doc), Engine: e})
}

func prompt(resume bool) *rpc.GenerateRequest {
	return &rpc.GenerateRequest{AttemptId: "at", Customer: "c", Endpoint: "e", Model: "m", Resume: resume, DeadlineMs: 60_000}
}

// sends returns a stream that sends the events and then returns err, or stays
// open with keep-alives when err is nil.
func sends(err error, events ...protocol.Event) protocoltest.Stream {
	return func(ctx context.Context, sink func(protocol.Event) error) error {
		for _, ev := range events {
			if err := sink(ev); err != nil {
				return err
			}
		}
		for err == nil && wait.For(ctx, silence/4) {
			_ = sink(protocol.Event{Kind: protocol.EventKeepAlive})
		}
		return err
	}
}

var (
	started = protocol.Event{Kind: protocol.EventStarted}
	text    = protocol.Event{Kind: protocol.EventText, Seq: 1, Text: "levy"}
	ended   = protocol.Event{Kind: protocol.EventEnded, Seq: 2, LengthBytes: 4}
)

// received is what one follower was sent.
type received struct {
	text string
	err  *apierr.Error
	end  bool
}

// follow follows the request's attempt until it ends or ctx does.
func (a *Agent) followed(t *testing.T, ctx context.Context, req *rpc.GenerateRequest) (r received) {
	at, err := a.attempt(req)
	if err != nil {
		return received{err: apierr.From(err)}
	}
	_ = a.follow(ctx, at, req.ResumeSeq, func(f *rpc.Frame) error {
		require.Equal(t, "at", f.AttemptId)
		r.text += f.GetToken().GetText()
		r.end = r.end || f.GetEnd() != nil
		if f.GetError() != nil {
			r.err = apierr.From(rpc.DecodeError(f.GetError()))
		}
		return ctx.Err()
	})
	return r
}

// Guards against a false not_run, against an attempt that is given up although
// the engine has it, and against one that is retried for ever.
func TestOutcomes(t *testing.T) {
	streams := func(s ...protocoltest.Stream) []protocoltest.Stream { return s }
	cut, gone, unknown := sends(protocol.ErrStreamTruncated), sends(protocol.ErrUnreachable), sends(protocol.ErrNotFound)
	whole := sends(nil, started, text, ended)
	foreign := protocol.Event{Kind: protocol.EventText, AttemptID: "another", Seq: 1, Text: "debt"}
	for _, c := range []struct {
		name      string
		resume    bool
		generated []protocoltest.Stream
		resumed   []protocoltest.Stream
		ran       apierr.Ran // empty when the answer is whole
		kind      apierr.Kind
	}{
		{"whole", false, streams(whole), nil, "", ""},
		{"not reached", false, streams(gone), nil, apierr.NotRun, apierr.EndpointFailed},
		{"refused", false, streams(sends(protocol.ErrRejected)), nil, apierr.NotRun, apierr.EndpointFailed},
		{"other weights", false, streams(sends(protocol.ErrWeightVersionMismatch)), nil, apierr.NotRun, apierr.EndpointFailed},
		{"cut, then gone", false, streams(cut), slices.Repeat(streams(gone), maxEngineResumes), apierr.RanUnknown, apierr.EndpointFailed},
		{"text, then forgotten", false, streams(sends(protocol.ErrStreamTruncated, started, text)), streams(unknown), apierr.DidRun, apierr.EndpointFailed},
		{"text, then resumed", false, streams(sends(protocol.ErrStreamTruncated, started, text)), streams(sends(nil, ended)), "", ""},
		{"request lost on a silent connection", false, streams(cut, whole), streams(unknown), "", ""},
		{"resumed after a restart", true, nil, streams(whole), "", ""},
		{"resumed, never received", true, streams(whole), streams(unknown), "", ""},
		{"silent for ever", false, nil, nil, apierr.RanUnknown, apierr.EndpointFailed},
		{"foreign frames, then silent", false, streams(sends(nil, started, foreign)), nil, apierr.DidRun, apierr.DeadlineExceeded},
		{"foreign frames only", false, streams(func(ctx context.Context, sink func(protocol.Event) error) error {
			for wait.For(ctx, silence/2) {
				_ = sink(foreign)
			}
			return ctx.Err()
		}), streams(whole), "", ""},
		{"wrong length", false, streams(sends(protocol.ErrStreamTruncated, started, text, protocol.Event{Kind: protocol.EventEnded, Seq: 2, LengthBytes: 5})), streams(unknown), apierr.DidRun, apierr.EndpointFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &protocoltest.Engine{GenerateStreams: c.generated, ResumeStreams: c.resumed}
				a := newAgent(e)
				begun := time.Now()
				r := a.followed(t, t.Context(), prompt(c.resume))
				if c.name == "whole" {
					require.Zero(t, time.Since(begun), "the end frame ends the attempt, though the engine keeps the stream open")
				}
				if c.ran == "" {
					require.Equal(t, received{text: "levy", end: true}, r)
				} else {
					require.False(t, r.end)
					require.Equal(t, c.kind, r.err.Kind)
					require.Equal(t, c.ran, r.err.Ran)
				}
				require.NoError(t, a.Drain(t.Context()))
				require.Equal(t, c.ran == apierr.DidRun || c.ran == apierr.RanUnknown, slices.Contains(e.Calls(), "cancel"), "calls: %v", e.Calls())
				time.Sleep(keepEnded)
				synctest.Wait()
			})
		})
	}
}

// Guards against an orphan timer that cancels an attempt which is followed again
// or has ended, and against an engine that works for nobody.
func TestOrphan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &protocoltest.Engine{GenerateStreams: []protocoltest.Stream{sends(nil, started, text)}}
		a := newAgent(e)
		visit := func(d time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), d)
			defer cancel()
			require.False(t, a.followed(t, ctx, prompt(true)).end)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		a.followed(t, ctx, prompt(false))
		cancel()
		time.Sleep(orphanGrace - time.Second)
		visit(time.Millisecond) // parts again while the first timer still runs
		time.Sleep(orphanGrace - time.Millisecond)
		synctest.Wait()
		require.NotContains(t, e.Calls(), "cancel", "the grace begins anew with each follower")
		time.Sleep(time.Millisecond)
		synctest.Wait()
		require.Contains(t, e.Calls(), "cancel")
		require.NoError(t, a.Drain(t.Context()))
		time.Sleep(keepEnded)
	})
	synctest.Test(t, func(t *testing.T) {
		e := &protocoltest.Engine{GenerateStreams: []protocoltest.Stream{func(_ context.Context, sink func(protocol.Event) error) error {
			time.Sleep(time.Second)
			return sends(protocol.ErrStreamTruncated, started, text, ended)(t.Context(), sink)
		}}}
		a := newAgent(e)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		a.followed(t, ctx, prompt(false))
		cancel()
		begun := time.Now()
		require.NoError(t, a.Drain(t.Context()), "nobody comes back for the ended attempt")
		require.LessOrEqual(t, time.Since(begun), orphanGrace)
		time.Sleep(orphanGrace)
		require.Equal(t, received{text: "levy", end: true}, a.followed(t, t.Context(), prompt(true)))
		require.NotContains(t, e.Calls(), "cancel")
		time.Sleep(keepEnded)
	})
}

// Guards against an engine that works to the end for a caller who has gone,
// because one cancel was lost.
func TestLostCancelIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &protocoltest.Engine{GenerateStreams: []protocoltest.Stream{sends(nil, started)}, CancelErrors: []error{protocol.ErrStreamTruncated, protocol.ErrUnreachable}}
		a := newAgent(e)
		go func() {
			time.Sleep(time.Second)
			_, _ = a.Cancel(t.Context(), &rpc.CancelRequest{AttemptId: "at", Customer: "c"})
		}()
		require.Equal(t, apierr.Cancelled, a.followed(t, t.Context(), prompt(false)).err.Kind)
		require.NoError(t, a.Drain(t.Context()))
		require.Equal(t, []string{"generate", "cancel", "cancel", "cancel"}, e.Calls())
		time.Sleep(keepEnded)
	})
}

// Guards against a stop that cuts an answer whose last frames aren't sent yet, or
// whose follower is about to come back; and against new work on a leaving agent.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgent(&protocoltest.Engine{GenerateStreams: []protocoltest.Stream{sends(nil, started, text, ended)}})
		ctx, cancel := context.WithCancel(t.Context())
		at, err := a.attempt(prompt(false))
		require.NoError(t, err)
		go func() { _ = a.follow(ctx, at, 0, func(*rpc.Frame) error { <-ctx.Done(); return ctx.Err() }) }()
		drained := make(chan error, 1)
		go func() { drained <- a.Drain(t.Context()) }()
		synctest.Wait()
		require.Empty(t, drained, "the last frame is not sent")
		fresh := prompt(false)
		fresh.AttemptId = "fresh"
		_, err = a.attempt(fresh)
		require.True(t, apierr.Is(err, apierr.Draining))
		require.Equal(t, apierr.NotRun, apierr.From(err).Ran)
		cancel() // the connection breaks; the follower comes back
		synctest.Wait()
		require.Empty(t, drained)
		require.Equal(t, received{text: "levy", end: true}, a.followed(t, t.Context(), prompt(true)))
		require.NoError(t, <-drained)
		time.Sleep(keepEnded)
	})
	synctest.Test(t, func(t *testing.T) {
		e := &protocoltest.Engine{ResumeStreams: []protocoltest.Stream{sends(nil, started, text, ended), sends(protocol.ErrNotFound)}}
		a := newAgent(e)
		a.BeginDrain()
		require.Equal(t, received{text: "levy", end: true}, a.followed(t, t.Context(), prompt(true)), "running work that a restarted agent resumes")
		lost := prompt(true)
		lost.AttemptId = "lost"
		at, err := a.attempt(lost)
		require.NoError(t, err)
		synctest.Wait()
		require.True(t, at.ended())
		require.Equal(t, []string{"resume", "resume", "cancel"}, e.Calls(), "an attempt that never reached the engine is new work")
		at.deliver()
		time.Sleep(keepEnded)
	})
	synctest.Test(t, func(t *testing.T) {
		a := newAgent(&protocoltest.Engine{})
		at, err := a.attempt(prompt(false))
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		require.ErrorContains(t, a.Drain(ctx), "cut at")
		at.cancel(errCancelled)
		synctest.Wait()
		time.Sleep(keepEnded)
	})
}

// Guards against work beyond the deadline, or beyond the caller's cancel even if
// that arrives first, and against an endless wait for frames beyond the end.
func TestEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &protocoltest.Engine{GenerateStreams: []protocoltest.Stream{sends(nil, started), sends(nil, started, text, ended)}}
		a := newAgent(e)
		first, again := prompt(false), prompt(true)
		first.DeadlineMs, again.DeadlineMs = 3000, 90_000
		begun := time.Now()
		_, err := a.attempt(first)
		require.NoError(t, err)
		require.Equal(t, apierr.DeadlineExceeded, a.followed(t, t.Context(), again).err.Kind)
		require.Equal(t, 3*time.Second, time.Since(begun), "a resumed stream keeps the attempt's deadline")
		late := prompt(false)
		late.AttemptId, late.DeadlineMs = "late", -1
		require.Equal(t, apierr.NotRun, a.followed(t, t.Context(), late).err.Ran)

		cancelled := prompt(false)
		cancelled.AttemptId = "cancelled"
		_, err = a.Cancel(t.Context(), &rpc.CancelRequest{AttemptId: "cancelled", Customer: "c"})
		require.NoError(t, err)
		at, err := a.attempt(cancelled)
		require.NoError(t, err)
		require.True(t, at.ended())
		time.Sleep(keepEnded)
		synctest.Wait()

		require.True(t, a.followed(t, t.Context(), prompt(false)).end)
		beyond := prompt(true)
		beyond.ResumeSeq = 9
		require.Equal(t, apierr.EndpointFailed, a.followed(t, t.Context(), beyond).err.Kind)
		time.Sleep(keepEnded)
	})
}
