package claimsvc

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/claims"
	"github.com/galenaweir/galenaweir/logsvc"
)

// partition runs the keeper of one claim stream. One goroutine owns the keeper;
// appends and reads run beside it and report back.
type partition struct {
	stream string
	writer string
	log    logsvc.Log
	now    func() time.Time
	inputs chan func(*claims.Keeper, time.Time) claims.Commands

	// owned by the goroutine of run
	next    claims.ReqID
	waiting map[claims.ReqID]chan<- claims.Reply
}

func newPartition(o Options, stream string) *partition {
	return &partition{
		stream: stream, writer: o.ID, log: o.Log, now: o.Now,
		inputs:  make(chan func(*claims.Keeper, time.Time) claims.Commands),
		waiting: map[claims.ReqID]chan<- claims.Reply{},
	}
}

// run drives the keeper until ctx ends.
func (p *partition) run(ctx context.Context, k *claims.Keeper, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	p.carryOut(ctx, k.Tick(p.now()))
	for {
		select {
		case f := <-p.inputs:
			p.carryOut(ctx, f(k, p.now()))
		case <-tick.C:
			p.carryOut(ctx, k.Tick(p.now()))
		case <-ctx.Done():
			return
		}
	}
}

// post hands an input to the keeper.
func (p *partition) post(ctx context.Context, f func(*claims.Keeper, time.Time) claims.Commands) error {
	select {
	case p.inputs <- f:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for the keeper of %s: %w", p.stream, ctx.Err())
	}
}

// ask passes a request to the keeper and waits for the reply.
func (p *partition) ask(ctx context.Context, request func(*claims.Keeper, time.Time, claims.ReqID) claims.Commands) (claims.Reply, error) {
	replies := make(chan claims.Reply, 1)
	err := p.post(ctx, func(k *claims.Keeper, now time.Time) claims.Commands {
		p.next++
		p.waiting[p.next] = replies
		return request(k, now, p.next)
	})
	if err != nil {
		return claims.Reply{}, err
	}
	select {
	case r := <-replies:
		return r, nil
	case <-ctx.Done():
		return claims.Reply{}, fmt.Errorf("wait for the log of %s: %w", p.stream, ctx.Err())
	}
}

func (p *partition) carryOut(ctx context.Context, c claims.Commands) {
	for _, r := range c.Replies {
		if ch, ok := p.waiting[r.RequestID]; ok {
			delete(p.waiting, r.RequestID)
			ch <- r // has room: one reply for each request
		}
	}
	if c.Append != nil {
		go p.append(ctx, c.Append)
	}
	if c.Read != nil {
		go p.read(ctx, c.Read)
	}
	for _, at := range c.OutcomeReads {
		go p.readOutcome(ctx, at)
	}
}

func (p *partition) append(ctx context.Context, a *claims.Append) {
	result, offset := claims.AppendRejected, int64(0)
	data, err := encodeGroup(a.Records, p.writer)
	if err == nil {
		var at logsvc.Appended
		at, err = p.log.Append(ctx, p.stream, data)
		offset = at.Offset
		switch {
		case err == nil:
			result = claims.AppendSucceeded
		case !errors.Is(err, logsvc.ErrRefused):
			result = claims.AppendUnknown
		}
	}
	if err != nil {
		log.Warn().Str("stream", p.stream).Int("records", len(a.Records)).Err(err).Msg("append of claims failed")
	}
	_ = p.post(ctx, func(k *claims.Keeper, now time.Time) claims.Commands { // fails only at the end
		return k.AppendDone(now, a.Seq, result, offset)
	})
}

func (p *partition) read(ctx context.Context, r *claims.Read) {
	page, err := p.log.Read(ctx, p.stream, r.From, 0)
	_ = p.post(ctx, func(k *claims.Keeper, now time.Time) claims.Commands { // fails only at the end
		if err != nil {
			return k.ReadFailed(now, r.Seq)
		}
		return k.ReadDone(now, r.Seq, pageOf(p.stream, page))
	})
}

// outcomeTimeout bounds the read of an outcome. It is shorter than keeperTimeout, so
// that the repeat still learns from the keeper that the request ran.
const outcomeTimeout = time.Second

// readOutcome reads an outcome's entry again for a repeat.
func (p *partition) readOutcome(ctx context.Context, at claims.Position) {
	one, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	page, err := p.log.Read(one, p.stream, at.Offset, 0)
	if err != nil {
		log.Warn().Str("stream", p.stream).Int64("offset", at.Offset).Err(err).Msg("read of an outcome failed")
	}
	if len(page.Records) > 1 {
		page.Records = page.Records[:1] // spares the decoding of what follows
	}
	_ = p.post(ctx, func(k *claims.Keeper, now time.Time) claims.Commands { // fails only at the end
		if err != nil {
			return k.OutcomeReadFailed(now, at)
		}
		return k.OutcomeReadDone(now, at, pageOf(p.stream, page))
	})
}
