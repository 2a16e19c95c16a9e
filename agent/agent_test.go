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

const silenceLimit = 2 * time.Second

func newAgent(e *protocoltest.Engine) *Agent {
	doc := &config.Document{Endpoints: map[string]config.Endpoint{"e": {Agent: "a", Model: "m", Address: "192.0.2.1:1"}}}
	return New(Options{ID: "a", SilenceLimit: silenceLimit, Config: nodetest.NewConfig(doc), Engine: e})
}

func generateRequest(resume bool) *rpc.GenerateRequest {
	return &rpc.GenerateRequest{AttemptId: "at", Customer: "c", Endpoint: "e", Model: "m", Resume: resume, DeadlineMs: 60_000}
}

// streamOf returns a stream that sends the events and then ends with err. If err is nil,
// it stays open and sends keep-alives.
func streamOf(err error, events ...protocol.Event) protocoltest.Stream {
	return func(ctx context.Context, sink func(protocol.Event) error) error {
		for _, ev := range events {
			if err := sink(ev); err != nil {
				return err
			}
		}
		for err == nil && wait.For(ctx, silenceLimit/4) {
			_ = sink(protocol.Event{Kind: protocol.EventKeepAlive})
		}
		return err
	}
}

var (
	startedEvent = protocol.Event{Kind: protocol.EventStarted}
	textEvent    = protocol.Event{Kind: protocol.EventText, Seq: 1, Text: "levy"}
	endedEvent   = protocol.Event{Kind: protocol.EventEnded, Seq: 2, LengthBytes: 4}
)

// followerResult is what one follower received.
type followerResult struct {
	text string
	err  *apierr.Error
	end  bool
}

// followToEnd follows the request's attempt until the attempt or ctx ends, and returns
// what the follower received.
func (a *Agent) followToEnd(t *testing.T, ctx context.Context, req *rpc.GenerateRequest) (r followerResult) {
	at, err := a.findOrStartAttempt(req)
	if err != nil {
		return followerResult{err: apierr.From(err)}
	}
	_ = a.sendFrames(ctx, at, req.ResumeSeq, func(f *rpc.Frame) error {
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

// Guards against reporting not_run for an attempt that may have run, against giving up
// an attempt that the engine still has, and against retrying one forever.
func TestAttemptOutcomes(t *testing.T) {
	streams := func(s ...protocoltest.Stream) []protocoltest.Stream { return s }
	cut, unreachable, unknown := streamOf(protocol.ErrStreamTruncated), streamOf(protocol.ErrUnreachable), streamOf(protocol.ErrNotFound)
	whole := streamOf(nil, startedEvent, textEvent, endedEvent)
	foreign := protocol.Event{Kind: protocol.EventText, AttemptID: "another", Seq: 1, Text: "debt"}
	for _, c := range []struct {
		name      string
		resume    bool
		generated []protocoltest.Stream
		resumed   []protocoltest.Stream
		ran       apierr.Ran // empty if the answer is complete
		kind      apierr.Kind
	}{
		{"whole", false, streams(whole), nil, "", ""},
		{"not reached", false, streams(unreachable), nil, apierr.NotRun, apierr.EndpointFailed},
		{"refused", false, streams(streamOf(protocol.ErrRejected)), nil, apierr.NotRun, apierr.EndpointFailed},
		{"other weights", false, streams(streamOf(protocol.ErrWeightVersionMismatch)), nil, apierr.NotRun, apierr.EndpointFailed},
		{"cut, then unreachable", false, streams(cut), slices.Repeat(streams(unreachable), maxEngineResumes), apierr.RanUnknown, apierr.EndpointFailed},
		{"text, then unknown to the engine", false, streams(streamOf(protocol.ErrStreamTruncated, startedEvent, textEvent)), streams(unknown), apierr.DidRun, apierr.EndpointFailed},
		{"text, then resumed", false, streams(streamOf(protocol.ErrStreamTruncated, startedEvent, textEvent)), streams(streamOf(nil, endedEvent)), "", ""},
		{"request lost on a silent connection", false, streams(cut, whole), streams(unknown), "", ""},
		{"resumed after a restart", true, nil, streams(whole), "", ""},
		{"resumed, never received", true, streams(whole), streams(unknown), "", ""},
		{"silent forever", false, nil, nil, apierr.RanUnknown, apierr.EndpointFailed},
		{"foreign frames, then silent", false, streams(streamOf(nil, startedEvent, foreign)), nil, apierr.DidRun, apierr.DeadlineExceeded},
		{"foreign frames only", false, streams(func(ctx context.Context, sink func(protocol.Event) error) error {
			for wait.For(ctx, silenceLimit/2) {
				_ = sink(foreign)
			}
			return ctx.Err()
		}), streams(whole), "", ""},
		{"wrong length", false, streams(streamOf(protocol.ErrStreamTruncated, startedEvent, textEvent, protocol.Event{Kind: protocol.EventEnded, Seq: 2, LengthBytes: 5})), streams(unknown), apierr.DidRun, apierr.EndpointFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &protocoltest.Engine{GenerateStreams: c.generated, ResumeStreams: c.resumed}
				a := newAgent(e)
				start := time.Now()
				r := a.followToEnd(t, t.Context(), generateRequest(c.resume))
				if c.name == "whole" {
					require.Zero(t, time.Since(start), "the end frame ends the attempt, although the engine keeps the stream open")
				}
				if c.ran == "" {
					require.Equal(t, followerResult{text: "levy", end: true}, r)
				} else {
					require.False(t, r.end)
					require.Equal(t, c.kind, r.err.Kind)
					require.Equal(t, c.ran, r.err.Ran)
				}
				require.NoError(t, a.Drain(t.Context()))
				require.Equal(t, c.ran == apierr.DidRun || c.ran == apierr.RanUnknown, slices.Contains(e.Calls(), "cancel"), "calls: %v", e.Calls())
				time.Sleep(endedRetention)
				synctest.Wait()
			})
		})
	}
}

// Guards against an orphan timer that cancels an attempt that has a follower again or
// has ended, and against an attempt that runs on without any follower.
func TestOrphanedAttemptIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &protocoltest.Engine{GenerateStreams: []protocoltest.Stream{streamOf(nil, startedEvent, textEvent)}}
		a := newAgent(e)
		followBriefly := func(d time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), d)
			defer cancel()
			require.False(t, a.followToEnd(t, ctx, generateRequest(true)).end)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		a.followToEnd(t, ctx, generateRequest(false))
		cancel()
		time.Sleep(orphanTimeout - time.Second)
		followBriefly(time.Millisecond) // joins and leaves while the first timer is running
		time.Sleep(orphanTimeout - time.Millisecond)
		synctest.Wait()
		require.NotContains(t, e.Calls(), "cancel", "the grace period restarts when the last follower leaves")
		time.Sleep(time.Millisecond)
		synctest.Wait()
		require.Contains(t, e.Calls(), "cancel")
		require.NoError(t, a.Drain(t.Context()))
		time.Sleep(endedRetention)
	})
	synctest.Test(t, func(t *testing.T) {
		e := &protocoltest.Engine{GenerateStreams: []protocoltest.Stream{func(_ context.Context, sink func(protocol.Event) error) error {
			time.Sleep(time.Second)
			return streamOf(protocol.ErrStreamTruncated, startedEvent, textEvent, endedEvent)(t.Context(), sink)
		}}}
		a := newAgent(e)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		a.followToEnd(t, ctx, generateRequest(false))
		cancel()
		start := time.Now()
		require.NoError(t, a.Drain(t.Context()), "no follower reconnects to the ended attempt")
		require.LessOrEqual(t, time.Since(start), orphanTimeout)
		time.Sleep(orphanTimeout)
		require.Equal(t, followerResult{text: "levy", end: true}, a.followToEnd(t, t.Context(), generateRequest(true)))
		require.NotContains(t, e.Calls(), "cancel")
		time.Sleep(endedRetention)
	})
}

// Guards against an engine that runs an attempt to its end after the caller has
// cancelled it, because one cancel call failed.
func TestLostCancelIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &protocoltest.Engine{GenerateStreams: []protocoltest.Stream{streamOf(nil, startedEvent)}, CancelErrors: []error{protocol.ErrStreamTruncated, protocol.ErrUnreachable}}
		a := newAgent(e)
		go func() {
			time.Sleep(time.Second)
			_, _ = a.Cancel(t.Context(), &rpc.CancelRequest{AttemptId: "at", Customer: "c"})
		}()
		require.Equal(t, apierr.Cancelled, a.followToEnd(t, t.Context(), generateRequest(false)).err.Kind)
		require.NoError(t, a.Drain(t.Context()))
		require.Equal(t, []string{"generate", "cancel", "cancel", "cancel"}, e.Calls())
		time.Sleep(endedRetention)
	})
}

// Guards against a drain that ends before the last frames of an answer are sent, or
// while a disconnected follower may still reconnect; and against new work on a
// draining agent.
func TestDrainWaitsForFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgent(&protocoltest.Engine{GenerateStreams: []protocoltest.Stream{streamOf(nil, startedEvent, textEvent, endedEvent)}})
		ctx, cancel := context.WithCancel(t.Context())
		at, err := a.findOrStartAttempt(generateRequest(false))
		require.NoError(t, err)
		go func() { _ = a.sendFrames(ctx, at, 0, func(*rpc.Frame) error { <-ctx.Done(); return ctx.Err() }) }()
		drained := make(chan error, 1)
		go func() { drained <- a.Drain(t.Context()) }()
		synctest.Wait()
		require.Empty(t, drained, "the last frame has not been sent")
		newWork := generateRequest(false)
		newWork.AttemptId = "fresh"
		_, err = a.findOrStartAttempt(newWork)
		require.True(t, apierr.Is(err, apierr.Draining))
		require.Equal(t, apierr.NotRun, apierr.From(err).Ran)
		cancel() // the connection breaks; the follower reconnects below
		synctest.Wait()
		require.Empty(t, drained)
		require.Equal(t, followerResult{text: "levy", end: true}, a.followToEnd(t, t.Context(), generateRequest(true)))
		require.NoError(t, <-drained)
		time.Sleep(endedRetention)
	})
	synctest.Test(t, func(t *testing.T) {
		e := &protocoltest.Engine{ResumeStreams: []protocoltest.Stream{streamOf(nil, startedEvent, textEvent, endedEvent), streamOf(protocol.ErrNotFound)}}
		a := newAgent(e)
		a.BeginDrain()
		require.Equal(t, followerResult{text: "levy", end: true}, a.followToEnd(t, t.Context(), generateRequest(true)), "a draining agent accepts the resume of a running attempt")
		unknown := generateRequest(true)
		unknown.AttemptId = "lost"
		at, err := a.findOrStartAttempt(unknown)
		require.NoError(t, err)
		synctest.Wait()
		require.True(t, at.ended())
		require.Equal(t, []string{"resume", "resume", "cancel"}, e.Calls(), "a draining agent does not start an attempt that never reached the engine")
		at.markDelivered()
		time.Sleep(endedRetention)
	})
	synctest.Test(t, func(t *testing.T) {
		a := newAgent(&protocoltest.Engine{})
		at, err := a.findOrStartAttempt(generateRequest(false))
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		require.ErrorContains(t, a.Drain(ctx), "cut at")
		at.cancel(errCancelled)
		synctest.Wait()
		time.Sleep(endedRetention)
	})
}

// Guards against work after the deadline or after a cancel, even if the cancel arrives
// before the request, and against waiting forever for frames beyond the end.
func TestAttemptEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &protocoltest.Engine{GenerateStreams: []protocoltest.Stream{streamOf(nil, startedEvent), streamOf(nil, startedEvent, textEvent, endedEvent)}}
		a := newAgent(e)
		first, again := generateRequest(false), generateRequest(true)
		first.DeadlineMs, again.DeadlineMs = 3000, 90_000
		start := time.Now()
		_, err := a.findOrStartAttempt(first)
		require.NoError(t, err)
		require.Equal(t, apierr.DeadlineExceeded, a.followToEnd(t, t.Context(), again).err.Kind)
		require.Equal(t, 3*time.Second, time.Since(start), "a resumed stream keeps the attempt's original deadline")
		late := generateRequest(false)
		late.AttemptId, late.DeadlineMs = "late", -1
		require.Equal(t, apierr.NotRun, a.followToEnd(t, t.Context(), late).err.Ran)

		cancelled := generateRequest(false)
		cancelled.AttemptId = "cancelled"
		_, err = a.Cancel(t.Context(), &rpc.CancelRequest{AttemptId: "cancelled", Customer: "c"})
		require.NoError(t, err)
		at, err := a.findOrStartAttempt(cancelled)
		require.NoError(t, err)
		require.True(t, at.ended())
		time.Sleep(endedRetention)
		synctest.Wait()

		require.True(t, a.followToEnd(t, t.Context(), generateRequest(false)).end)
		beyond := generateRequest(true)
		beyond.ResumeSeq = 9
		require.Equal(t, apierr.EndpointFailed, a.followToEnd(t, t.Context(), beyond).err.Kind)
		time.Sleep(endedRetention)
	})
}
