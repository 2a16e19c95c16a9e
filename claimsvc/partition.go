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

// partition runs the keeper of one claim stream. A single goroutine owns the
// keeper; appends and reads run concurrently and submit their results to it.
type partition struct {
	stream string
	writer string
	log    logsvc.Log
	now    func() time.Time
	inputs chan func(*claims.Keeper, time.Time) claims.Commands

	// Accessed only by the goroutine of run.
	lastRequestID  claims.ReqID
	pendingReplies map[claims.ReqID]chan<- claims.Reply
}

func newPartition(o Options, stream string) *partition {
	return &partition{
		stream: stream, writer: o.ID, log: o.Log, now: o.Now,
		inputs:         make(chan func(*claims.Keeper, time.Time) claims.Commands),
		pendingReplies: map[claims.ReqID]chan<- claims.Reply{},
	}
}

// run drives the keeper until ctx ends.
func (p *partition) run(ctx context.Context, k *claims.Keeper, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	p.execute(ctx, k.Tick(p.now()))
	for {
		select {
		case f := <-p.inputs:
			p.execute(ctx, f(k, p.now()))
		case <-tick.C:
			p.execute(ctx, k.Tick(p.now()))
		case <-ctx.Done():
			return
		}
	}
}

// submit passes an input to the goroutine that owns the keeper.
func (p *partition) submit(ctx context.Context, f func(*claims.Keeper, time.Time) claims.Commands) error {
	select {
	case p.inputs <- f:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for the keeper of %s: %w", p.stream, ctx.Err())
	}
}

// submitAndWait passes a request to the keeper and waits for the reply.
func (p *partition) submitAndWait(ctx context.Context, request func(*claims.Keeper, time.Time, claims.ReqID) claims.Commands) (claims.Reply, error) {
	reply := make(chan claims.Reply, 1)
	err := p.submit(ctx, func(k *claims.Keeper, now time.Time) claims.Commands {
		p.lastRequestID++
		p.pendingReplies[p.lastRequestID] = reply
		return request(k, now, p.lastRequestID)
	})
	if err != nil {
		return claims.Reply{}, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return claims.Reply{}, fmt.Errorf("wait for the keeper's reply for %s: %w", p.stream, ctx.Err())
	}
}

func (p *partition) execute(ctx context.Context, c claims.Commands) {
	for _, r := range c.Replies {
		if ch, ok := p.pendingReplies[r.RequestID]; ok {
			delete(p.pendingReplies, r.RequestID)
			ch <- r // never blocks: the channel is buffered and gets one reply
		}
	}
	if c.Append != nil {
		go p.append(ctx, c.Append)
	}
	if c.Read != nil {
		go p.read(ctx, c.Read)
	}
	for _, position := range c.OutcomeReads {
		go p.readOutcome(ctx, position)
	}
}

// append appends a group of records to the log and submits the result to the keeper.
// Unless the log certainly rejected it, a failed append may still have taken effect.
func (p *partition) append(ctx context.Context, a *claims.Append) {
	result, offset := claims.AppendRejected, int64(0)
	data, err := encodeGroup(a.Records, p.writer)
	if err == nil {
		var appended logsvc.AppendResult
		appended, err = p.log.Append(ctx, p.stream, data)
		offset = appended.Offset
		switch {
		case err == nil:
			result = claims.AppendSucceeded
		case !errors.Is(err, logsvc.ErrRejected):
			result = claims.AppendUnknown
		}
	}
	if err != nil {
		log.Warn().Str("stream", p.stream).Int("records", len(a.Records)).Err(err).Msg("failed to append claim records to the log")
	}
	_ = p.submit(ctx, func(k *claims.Keeper, now time.Time) claims.Commands { // fails only on shutdown
		return k.AppendDone(now, a.Seq, result, offset)
	})
}

func (p *partition) read(ctx context.Context, r *claims.Read) {
	page, err := p.log.Read(ctx, p.stream, r.From, 0)
	_ = p.submit(ctx, func(k *claims.Keeper, now time.Time) claims.Commands { // fails only on shutdown
		if err != nil {
			return k.ReadFailed(now, r.Seq)
		}
		return k.ReadDone(now, r.Seq, decodePage(p.stream, page))
	})
}

// outcomeReadTimeout bounds the read of an outcome. It is shorter than keeperTimeout,
// so that a repeat is still told that the request ran when the read fails.
const outcomeReadTimeout = time.Second

// readOutcome reads the log entry of an outcome again, to answer a repeated request.
func (p *partition) readOutcome(ctx context.Context, position claims.Position) {
	readCtx, cancel := context.WithTimeout(ctx, outcomeReadTimeout)
	defer cancel()
	page, err := p.log.Read(readCtx, p.stream, position.Offset, 0)
	if err != nil {
		log.Warn().Str("stream", p.stream).Int64("offset", position.Offset).Err(err).Msg("failed to read an outcome from the log")
	}
	if len(page.Records) > 1 {
		page.Records = page.Records[:1] // avoids decoding the records that follow
	}
	_ = p.submit(ctx, func(k *claims.Keeper, now time.Time) claims.Commands { // fails only on shutdown
		if err != nil {
			return k.OutcomeReadFailed(now, position)
		}
		return k.OutcomeReadDone(now, position, decodePage(p.stream, page))
	})
}
