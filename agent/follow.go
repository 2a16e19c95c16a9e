package agent

import (
	"context"
	"time"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/rpc"
)

// follow sends the attempt's frames from seq on until it ends or ctx does.
func (a *Agent) follow(ctx context.Context, at *attempt, seq uint64, send func(*rpc.Frame) error) error {
	at.join()
	defer at.part(orphanGrace)
	keepAlive := time.NewTicker(frameKeepAlive)
	defer keepAlive.Stop()
	for {
		frames, done, changed, err := at.since(seq)
		for _, f := range frames {
			if err := send(a.withLoad(at, f)); err != nil {
				return err
			}
			seq++
		}
		if done {
			return at.conclude(err, seq, func(f *rpc.Frame) error { return send(a.withLoad(at, f)) })
		}
		select {
		case <-changed:
		case <-keepAlive.C:
			if err := send(&rpc.Frame{AttemptId: at.id, Customer: at.customer, Body: &rpc.Frame_KeepAlive{KeepAlive: &rpc.KeepAlive{}}, Load: a.load(at.endpoint, at.weightVersion())}); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// withLoad adds a load report to the first and the last frame of an attempt. The
// frame itself is shared by all followers and stays as it is.
func (a *Agent) withLoad(at *attempt, f *rpc.Frame) *rpc.Frame {
	if f.GetStart() == nil && f.GetEnd() == nil && f.GetError() == nil {
		return f
	}
	return &rpc.Frame{AttemptId: f.AttemptId, Customer: f.Customer, Seq: f.Seq, Body: f.Body, Load: a.load(at.endpoint, at.weightVersion())}
}

// conclude sends the error of a failed attempt and notes that a follower has
// had everything. A follower that wants frames beyond the end gets an error, so
// that it doesn't ask for ever.
func (a *attempt) conclude(err error, seq uint64, send func(*rpc.Frame) error) error {
	if err == nil && !a.has(seq) {
		err = apierr.NewRetryable(apierr.EndpointFailed, apierr.DidRun, 0, "the attempt ended before the frame asked for", "retry")
	}
	if err != nil {
		f := &rpc.Frame{AttemptId: a.id, Customer: a.customer, Seq: seq, Body: &rpc.Frame_Error{Error: rpc.EncodeError(err)}}
		if err := send(f); err != nil {
			return err
		}
	}
	a.deliver()
	return nil
}

// join counts a follower.
func (a *attempt) join() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.followers++
	a.joined++
}

// part counts a follower out. When nobody comes back within the grace, a running
// attempt is cancelled, and an ended one counts as delivered.
func (a *attempt) part(grace time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.followers--
	if a.followers > 0 {
		return
	}
	joined := a.joined
	time.AfterFunc(grace, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		switch {
		case a.joined != joined: // somebody came back
		case a.done:
			a.deliverLocked()
		default:
			a.cancel(errOrphaned)
		}
	})
}

// deliver notes that a follower has had the attempt's last frame, or that none
// will come for it.
func (a *attempt) deliver() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliverLocked()
}

func (a *attempt) deliverLocked() {
	if !a.handedOver {
		a.handedOver = true
		close(a.delivered)
	}
}
