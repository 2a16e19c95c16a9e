package agent

import (
	"context"
	"time"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/rpc"
)

// sendFrames sends the attempt's frames from seq on until the attempt or ctx ends.
func (a *Agent) sendFrames(ctx context.Context, at *attempt, seq uint64, send func(*rpc.Frame) error) error {
	at.addFollower()
	defer at.removeFollower(orphanTimeout)
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		frames, done, changed, err := at.framesFrom(seq)
		for _, f := range frames {
			if err := send(a.withLoadReport(at, f)); err != nil {
				return err
			}
			seq++
		}
		if done {
			return at.endFollower(err, seq, func(f *rpc.Frame) error { return send(a.withLoadReport(at, f)) })
		}
		select {
		case <-changed:
		case <-keepAlive.C:
			if err := send(&rpc.Frame{AttemptId: at.id, Customer: at.customer, Body: &rpc.Frame_KeepAlive{KeepAlive: &rpc.KeepAlive{}}, Load: a.loadReport(at.endpoint, at.weightVersion())}); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// withLoadReport returns the first and the last frame of an attempt with a load
// report, and other frames unchanged. It copies the frame, which all followers share.
func (a *Agent) withLoadReport(at *attempt, f *rpc.Frame) *rpc.Frame {
	if f.GetStart() == nil && f.GetEnd() == nil && f.GetError() == nil {
		return f
	}
	return &rpc.Frame{AttemptId: f.AttemptId, Customer: f.Customer, Seq: f.Seq, Body: f.Body, Load: a.loadReport(at.endpoint, at.weightVersion())}
}

// endFollower sends the error of a failed attempt and marks the attempt as delivered. A
// follower that requests frames beyond the end gets an error, so that it doesn't
// retry forever.
func (a *attempt) endFollower(err error, seq uint64, send func(*rpc.Frame) error) error {
	if err == nil && !a.hasFramesBefore(seq) {
		err = apierr.NewRetryable(apierr.EndpointFailed, apierr.DidRun, 0, "the attempt ended before the frame asked for", "retry")
	}
	if err != nil {
		f := &rpc.Frame{AttemptId: a.id, Customer: a.customer, Seq: seq, Body: &rpc.Frame_Error{Error: rpc.EncodeError(err)}}
		if err := send(f); err != nil {
			return err
		}
	}
	a.markDelivered()
	return nil
}

// addFollower adds a follower.
func (a *attempt) addFollower() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.followers++
	a.totalJoins++
}

// removeFollower removes a follower. If it was the last one and none joins within the
// grace period, a running attempt is cancelled, and an ended one is marked as
// delivered.
func (a *attempt) removeFollower(grace time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.followers--
	if a.followers > 0 {
		return
	}
	joins := a.totalJoins
	time.AfterFunc(grace, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		switch {
		case a.totalJoins != joins: // a follower has joined since
		case a.done:
			a.markDeliveredLocked()
		default:
			a.cancel(errOrphaned)
		}
	})
}

// markDelivered marks the attempt as delivered: a follower has received its last
// frame, or none is expected to.
func (a *attempt) markDelivered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.markDeliveredLocked()
}

func (a *attempt) markDeliveredLocked() {
	if !a.isDelivered {
		a.isDelivered = true
		close(a.delivered)
	}
}
