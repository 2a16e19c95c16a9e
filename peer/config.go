package peer

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/membership"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/wait"
)

// Current implements node.Config.
func (p *Peer) Current() *node.ConfigState { return p.current.Load() }

// Changed implements node.Config.
func (p *Peer) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// advance changes the stream; a new version is put in force and announced to the
// neighbours at once.
func (p *Peer) advance(f func(s *config.Stream)) {
	p.update(func(now time.Duration) []membership.Command {
		before := p.stream.Version()
		f(p.stream)
		st := p.stream.State()
		if st == nil || st.Version == before {
			return nil
		}
		p.current.Store(&node.ConfigState{Version: st.Version, Hash: st.Hash[:], Offset: st.AppliedOffset, Doc: st.Doc})
		close(p.changed)
		p.changed = make(chan struct{})
		p.machine.SetConfig(st.Version, st.Hash.Short())
		log.Info().Int64("version", st.Version).Str("hash", st.Hash.String()).Int64("offset", st.AppliedOffset).Msg("configuration in force")
		return p.machine.NotifyNeighbours(now)
	})
}

// pollLoop reads the tail of the stream: as one of the pollers with a read that
// waits for news, a second after the last one; otherwise 3 s after the last read
// or news of a neighbour.
func (p *Peer) pollLoop(ctx context.Context) {
	// Peers know the version at the least cost; the log's snapshots come next.
	select {
	case <-p.listRead:
	case <-ctx.Done():
	}
	p.askPeers()
	if p.Current() == nil {
		p.seek(ctx)
	}
	p.poll(ctx, 0)
	for {
		p.mu.Lock()
		now := p.now()
		self, _ := p.machine.Get(now, p.o.ID)
		polls := membership.PollsConfigLog(self, p.machine.Members(now))
		from := p.pollFrom
		at := from + membership.ConfigPollDelay(polls, p.o.Interval, p.rand.Int64N)
		p.mu.Unlock()
		if !wait.For(ctx, at-now) {
			return
		}
		p.mu.Lock()
		quiet := p.pollFrom == from
		p.mu.Unlock()
		if quiet {
			wait := time.Duration(0)
			if polls {
				wait = membership.LongPollIntervals * p.o.Interval
			}
			p.poll(ctx, wait)
		}
	}
}

// seek adopts the newest snapshot of the log.
func (p *Peer) seek(ctx context.Context) {
	st, err := seek(ctx, p.o.Log)
	if err != nil {
		p.logState(err)
		return
	}
	if st != nil {
		p.advance(func(s *config.Stream) { err = s.Adopt(st) })
	}
	if err != nil && !errors.Is(err, config.ErrNotNewer) {
		log.Error().Err(err).Msg("snapshot of the configuration can't be used")
	}
}

// poll reads the log to its end. The first read waits for a record.
func (p *Peer) poll(ctx context.Context, wait time.Duration) {
	for ctx.Err() == nil {
		p.mu.Lock()
		from := p.stream.NextOffset()
		p.mu.Unlock()
		page, entries, err := readPage(ctx, p.o.Log, from, wait)
		wait = 0
		if err != nil {
			p.logState(err)
			return
		}
		more := false
		p.advance(func(s *config.Stream) {
			if s.NextOffset() == from { // a neighbour's state may have moved it
				for _, o := range s.ApplyPage(page.First, page.Next, entries) {
					report(o)
				}
			}
			more = !s.AtEnd() && !s.Stuck()
		})
		if !more {
			p.logState(nil)
			p.snapshot(ctx)
			break
		}
	}
	p.mu.Lock()
	stuck := p.stream.Stuck()
	p.mu.Unlock()
	if stuck {
		p.askPeers()
	}
}

func report(o config.RecordResult) {
	if o.Err != nil && !errors.Is(o.Err, config.ErrGap) {
		log.Warn().Err(o.Err).Int64("offset", o.Entry.Offset).Int64("in_force", o.CurrentVersion).Msg("configuration record is not accepted")
	}
}

// logState notes the result of a read to the log's end.
func (p *Peer) logState(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil && !p.logDown && p.ctx.Err() == nil {
		log.Warn().Err(err).Msg("log is unavailable; the configuration stays in force")
	}
	p.logDown = err != nil
	p.pollFrom = p.now()
	switch {
	case err != nil || !p.stream.Stuck():
		p.stuckAt = 0
	case p.stuckAt == 0:
		p.stuckAt = p.now()
		log.Warn().Int64("version", p.stream.Version()).Msg("records of the configuration stream were trimmed before they were read; waiting for a snapshot or a peer")
	}
	if err == nil && p.stream.AtEnd() && p.stream.State() != nil {
		p.ready.Store(true)
	}
}

// Waits of the snapshot writer, in intervals.
const (
	snapshotRetryIntervals = 30 // between attempts, since the answer to an append may be lost
	stuckIntervals         = 30 // before a version is declared to be the last one before a gap
)

// snapshot writes a snapshot when it is due and this process is the one to do it.
func (p *Peer) snapshot(ctx context.Context) {
	p.mu.Lock()
	now := p.now()
	self, _ := p.machine.Get(now, p.o.ID)
	due := p.stream.SnapshotDue(time.Now(), p.o.Retention)
	if p.stuckAt > 0 && now-p.stuckAt >= stuckIntervals*p.o.Interval && p.stream.Version() >= p.machine.MaxConfigVersion() {
		due = true
	}
	due = due && membership.WritesConfigSnapshots(self, p.machine.Members(now)) &&
		(p.snapshotAt == 0 || now-p.snapshotAt >= snapshotRetryIntervals*p.o.Interval)
	var r *config.Record
	if due {
		p.snapshotAt = now
		r = p.stream.SnapshotRecord(p.o.ID, uuid.NewString())
	}
	p.mu.Unlock()
	if r == nil {
		return
	}
	offset, err := AppendRecord(ctx, p.o.Log, r)
	if err != nil {
		log.Warn().Err(err).Int64("version", r.NewVersion).Msg("snapshot of the configuration may not be written")
		return
	}
	log.Info().Int64("version", r.NewVersion).Int64("as_of", r.AsOfOffset).Int64("offset", offset).Msg("snapshot of the configuration written")
}

// news fetches the version of a process that has a newer one, one at a time.
func (p *Peer) news(address string, version int64, hash []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.stream.State()
	if st != nil && version == st.Version && version != p.conflict && len(hash) > 0 && !bytes.Equal(hash, st.Hash.Short()) {
		p.conflict = version
		log.Error().Int64("version", version).Str("peer", address).Msg("a peer holds another document of the version in force; publish a new version")
	}
	if version <= p.stream.Version() || p.fetching || address == "" {
		return
	}
	p.fetching = true
	go func() {
		_, err := p.fetchConfig(address)
		p.mu.Lock()
		p.fetching = false
		p.pollFrom = p.now()
		p.mu.Unlock()
		if err != nil {
			log.Warn().Err(err).Str("peer", address).Int64("version", version).Msg("configuration can't be fetched from a peer")
		}
	}()
}

// fetchConfig takes the version of the process at the address and returns its
// version and hash.
func (p *Peer) fetchConfig(address string) (*rpc.ConfigState, error) {
	p.mu.Lock()
	req := &rpc.FetchConfigRequest{}
	if st := p.stream.State(); st != nil {
		req.HaveVersion, req.HaveHash = st.Version, st.Hash.Short()
	}
	p.mu.Unlock()
	reply, err := p.askConfig(address, req)
	if err == nil {
		err = p.take(reply)
	}
	if err != nil && req.HaveVersion > 0 && len(reply.GetPatches()) > 0 {
		// The patches don't fit; ask for the whole document.
		if reply, err = p.askConfig(address, &rpc.FetchConfigRequest{}); err == nil {
			err = p.take(reply)
		}
	}
	return reply.GetState(), err
}

func (p *Peer) askConfig(address string, req *rpc.FetchConfigRequest) (*rpc.FetchConfigReply, error) {
	var reply *rpc.FetchConfigReply
	err := p.call(address, 2*p.timeout(), func(ctx context.Context, c rpc.PeerClient) (err error) {
		reply, err = c.FetchConfig(ctx, req)
		return err
	})
	return reply, err
}

// take adopts what a peer handed over.
func (p *Peer) take(r *rpc.FetchConfigReply) error {
	w := r.GetState()
	if w.GetVersion() == 0 {
		return nil
	}
	var st *config.State
	var err error
	if len(w.Document) > 0 {
		if st, err = config.NewState(w.Version, w.Hash, w.Offset, w.Document); err != nil {
			return err
		}
	}
	var records []*config.Record
	for _, c := range r.GetPatches() {
		records = append(records, decodeRecord(c))
	}
	p.advance(func(s *config.Stream) {
		switch cur := s.State(); {
		case st != nil:
			err = s.Adopt(st)
		case len(records) > 0:
			err = s.AdoptPatches(records, w.Offset)
		case cur != nil && cur.Version == w.Version && bytes.Equal(cur.Hash[:], w.Hash):
			same := *cur
			same.AppliedOffset = w.Offset
			err = s.Adopt(&same)
		}
	})
	if errors.Is(err, config.ErrNotNewer) {
		return nil
	}
	return err
}

// FetchConfig implements rpc.PeerServer.
func (p *Peer) FetchConfig(_ context.Context, r *rpc.FetchConfigRequest) (*rpc.FetchConfigReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.stream.State()
	if st == nil {
		return &rpc.FetchConfigReply{State: &rpc.ConfigState{Offset: -1}}, nil
	}
	reply := &rpc.FetchConfigReply{State: &rpc.ConfigState{Version: st.Version, Hash: st.Hash[:], Offset: st.AppliedOffset}}
	if r.GetHaveVersion() >= st.Version {
		return reply, nil
	}
	if rs, ok := p.stream.PatchesSince(r.GetHaveVersion(), r.GetHaveHash()); ok {
		for _, x := range rs {
			reply.Patches = append(reply.Patches, EncodeRecord(x))
		}
		return reply, nil
	}
	reply.State.Document = st.Text
	return reply, nil
}
