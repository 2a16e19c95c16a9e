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
func (p *Peer) Current() *node.ConfigState { return p.currentConfig.Load() }

// Changed implements node.Config.
func (p *Peer) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.configChanged
}

// updateConfig applies f to the configuration stream. If the version changes, the
// new one becomes current and is announced to the neighbours immediately.
func (p *Peer) updateConfig(f func(s *config.Stream)) {
	p.updateMembership(func(now time.Duration) []membership.Command {
		before := p.configStream.Version()
		f(p.configStream)
		st := p.configStream.State()
		if st == nil || st.Version == before {
			return nil
		}
		p.currentConfig.Store(&node.ConfigState{Version: st.Version, Hash: st.Hash[:], Offset: st.AppliedOffset, Doc: st.Doc})
		close(p.configChanged)
		p.configChanged = make(chan struct{})
		p.machine.SetConfig(st.Version, st.Hash.Short())
		log.Info().Int64("version", st.Version).Str("hash", st.Hash.String()).Int64("offset", st.AppliedOffset).Msg("configuration in force")
		return p.machine.NotifyNeighbours(now)
	})
}

// configPollLoop reads the tail of the configuration stream. A check is a read of the
// log or a fetch of a neighbour's newer configuration. With the default exchange
// interval, a process selected by membership.PollsConfigLog starts a long poll one
// second after its last check; any other process reads the log 3 s after its last check.
func (p *Peer) configPollLoop(ctx context.Context) {
	// Asking peers costs less than searching the log for a snapshot. The first attempt
	// to read the host list, if it succeeds, makes the peers known.
	select {
	case <-p.hostListAttempted:
	case <-ctx.Done():
	}
	p.syncConfigFromPeers()
	if p.Current() == nil {
		p.adoptNewestSnapshot(ctx)
	}
	p.readConfigLog(ctx, 0)
	for {
		p.mu.Lock()
		now := p.now()
		self, _ := p.machine.Get(now, p.opts.ID)
		pollsLog := membership.PollsConfigStream(self, p.machine.Members(now))
		lastCheck := p.lastConfigCheck
		nextPoll := lastCheck + membership.ConfigPollDelay(pollsLog, p.opts.ExchangeInterval, p.rand.Int64N)
		p.mu.Unlock()
		if !wait.For(ctx, nextPoll-now) {
			return
		}
		p.mu.Lock()
		stillDue := p.lastConfigCheck == lastCheck
		p.mu.Unlock()
		if stillDue {
			maxWait := time.Duration(0)
			if pollsLog {
				maxWait = membership.LongPollIntervals * p.opts.ExchangeInterval
			}
			p.readConfigLog(ctx, maxWait)
		}
	}
}

// adoptNewestSnapshot adopts the newest snapshot in the log.
func (p *Peer) adoptNewestSnapshot(ctx context.Context) {
	st, err := newestSnapshot(ctx, p.opts.Log)
	if err != nil {
		p.recordLogRead(err)
		return
	}
	if st != nil {
		p.updateConfig(func(s *config.Stream) { err = s.Adopt(st) })
	}
	if err != nil && !errors.Is(err, config.ErrNotNewer) {
		log.Error().Err(err).Msg("cannot adopt the configuration snapshot from the log")
	}
}

// readConfigLog reads the log to its end. The first read waits up to maxWait for a
// record.
func (p *Peer) readConfigLog(ctx context.Context, maxWait time.Duration) {
	for ctx.Err() == nil {
		p.mu.Lock()
		from := p.configStream.NextOffset()
		p.mu.Unlock()
		page, entries, err := readPage(ctx, p.opts.Log, from, maxWait)
		maxWait = 0
		if err != nil {
			p.recordLogRead(err)
			return
		}
		morePages := false
		p.updateConfig(func(s *config.Stream) {
			if s.NextOffset() == from { // a neighbour's state may have advanced the stream meanwhile
				for _, o := range s.ApplyPage(page.FirstOffset, page.NextOffset, entries) {
					logRejectedRecord(o)
				}
			}
			morePages = !s.AtEnd() && !s.Stuck()
		})
		if !morePages {
			p.recordLogRead(nil)
			p.writeSnapshotIfDue(ctx)
			break
		}
	}
	p.mu.Lock()
	stuck := p.configStream.Stuck()
	p.mu.Unlock()
	if stuck { // a peer may have a version from beyond the gap
		p.syncConfigFromPeers()
	}
}

func logRejectedRecord(o config.RecordResult) {
	if o.Err != nil && !errors.Is(o.Err, config.ErrGap) {
		log.Warn().Err(o.Err).Int64("offset", o.Entry.Offset).Int64("in_force", o.CurrentVersion).Msg("configuration record rejected")
	}
}

// recordLogRead updates the read state after a read that reached the log's end or
// failed. The process becomes ready once it has a configuration at the log's end.
func (p *Peer) recordLogRead(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil && !p.logUnavailable && p.ctx.Err() == nil {
		log.Warn().Err(err).Msg("log unavailable; keeping the current configuration")
	}
	p.logUnavailable = err != nil
	p.lastConfigCheck = p.now()
	switch {
	case err != nil || !p.configStream.Stuck():
		p.stuckSince = 0
	case p.stuckSince == 0:
		p.stuckSince = p.now()
		log.Warn().Int64("version", p.configStream.Version()).Msg("configuration records were trimmed from the log before they were read; waiting for a snapshot or a peer's version")
	}
	if err == nil && p.configStream.AtEnd() && p.configStream.State() != nil {
		p.ready.Store(true)
	}
}

// Delays of the snapshot writer, in exchange intervals.
const (
	snapshotRetryIntervals = 30 // between attempts, because the answer to a successful append may be lost
	stuckSnapshotIntervals = 30 // until the current version is assumed to be the last one before a gap
)

// writeSnapshotIfDue writes a snapshot if one is due and this process is the one
// responsible for writing it.
func (p *Peer) writeSnapshotIfDue(ctx context.Context) {
	p.mu.Lock()
	now := p.now()
	self, _ := p.machine.Get(now, p.opts.ID)
	due := p.configStream.SnapshotDue(time.Now(), p.opts.LogRetention)
	// When no known member has a newer version, only a snapshot can take the stuck
	// processes across the gap.
	if p.stuckSince > 0 && now-p.stuckSince >= stuckSnapshotIntervals*p.opts.ExchangeInterval && p.configStream.Version() >= p.machine.MaxConfigVersion() {
		due = true
	}
	due = due && membership.WritesConfigSnapshots(self, p.machine.Members(now)) &&
		(p.lastSnapshotAttempt == 0 || now-p.lastSnapshotAttempt >= snapshotRetryIntervals*p.opts.ExchangeInterval)
	var r *config.Record
	if due {
		p.lastSnapshotAttempt = now
		r = p.configStream.SnapshotRecord(p.opts.ID, uuid.NewString())
	}
	p.mu.Unlock()
	if r == nil {
		return
	}
	offset, err := AppendConfigRecord(ctx, p.opts.Log, r)
	if err != nil {
		log.Warn().Err(err).Int64("version", r.NewVersion).Msg("configuration snapshot may not have been written")
		return
	}
	log.Info().Int64("version", r.NewVersion).Int64("as_of", r.AsOfOffset).Int64("offset", offset).Msg("configuration snapshot written")
}

// handlePeerVersion fetches the configuration of a peer that has a newer version.
// Only one fetch runs at a time. It also logs, once for each version, that the peer's
// document differs from this process's document of the same version. hash is the short
// form of the document's hash.
func (p *Peer) handlePeerVersion(address string, version int64, hash []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.configStream.State()
	if st != nil && version == st.Version && version != p.conflictVersion && len(hash) > 0 && !bytes.Equal(hash, st.Hash.Short()) {
		p.conflictVersion = version
		log.Error().Int64("version", version).Str("peer", address).Msg("peer holds a different document for the current version; publish a new version to resolve the conflict")
	}
	if version <= p.configStream.Version() || p.fetchingConfig || address == "" {
		return
	}
	p.fetchingConfig = true
	go func() {
		_, err := p.fetchConfig(address)
		p.mu.Lock()
		p.fetchingConfig = false
		p.lastConfigCheck = p.now()
		p.mu.Unlock()
		if err != nil {
			log.Warn().Err(err).Str("peer", address).Int64("version", version).Msg("failed to fetch the configuration from a peer")
		}
	}()
}

// fetchConfig fetches and adopts the configuration of the process at the address. It
// returns the version and hash reported by that process.
func (p *Peer) fetchConfig(address string) (*rpc.ConfigState, error) {
	p.mu.Lock()
	req := &rpc.FetchConfigRequest{}
	if st := p.configStream.State(); st != nil {
		req.HaveVersion, req.HaveHash = st.Version, st.Hash.Short()
	}
	p.mu.Unlock()
	reply, err := p.requestConfig(address, req)
	if err == nil {
		err = p.adoptConfig(reply)
	}
	if err != nil && req.HaveVersion > 0 && len(reply.GetPatches()) > 0 {
		// The patches don't apply to the current document; request the full document.
		if reply, err = p.requestConfig(address, &rpc.FetchConfigRequest{}); err == nil {
			err = p.adoptConfig(reply)
		}
	}
	return reply.GetState(), err
}

func (p *Peer) requestConfig(address string, req *rpc.FetchConfigRequest) (*rpc.FetchConfigReply, error) {
	var reply *rpc.FetchConfigReply
	err := p.call(address, 2*p.callTimeout(), func(ctx context.Context, c rpc.PeerClient) (err error) {
		reply, err = c.FetchConfig(ctx, req)
		return err
	})
	return reply, err
}

// adoptConfig adopts the configuration in a peer's reply.
func (p *Peer) adoptConfig(r *rpc.FetchConfigReply) error {
	state := r.GetState()
	if state.GetVersion() == 0 {
		return nil
	}
	var st *config.State
	var err error
	if len(state.Document) > 0 {
		if st, err = config.NewState(state.Version, state.Hash, state.Offset, state.Document); err != nil {
			return err
		}
	}
	var records []*config.Record
	for _, c := range r.GetPatches() {
		records = append(records, decodeConfigRecord(c))
	}
	p.updateConfig(func(s *config.Stream) {
		switch cur := s.State(); {
		case st != nil:
			err = s.Adopt(st)
		case len(records) > 0:
			err = s.AdoptPatches(records, state.Offset)
		case cur != nil && cur.Version == state.Version && bytes.Equal(cur.Hash[:], state.Hash):
			same := *cur // the document is the same; only the applied offset advances
			same.AppliedOffset = state.Offset
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
	st := p.configStream.State()
	if st == nil {
		return &rpc.FetchConfigReply{State: &rpc.ConfigState{Offset: -1}}, nil
	}
	reply := &rpc.FetchConfigReply{State: &rpc.ConfigState{Version: st.Version, Hash: st.Hash[:], Offset: st.AppliedOffset}}
	if r.GetHaveVersion() >= st.Version {
		return reply, nil
	}
	if rs, ok := p.configStream.PatchesSince(r.GetHaveVersion(), r.GetHaveHash()); ok {
		for _, x := range rs {
			reply.Patches = append(reply.Patches, EncodeConfigRecord(x))
		}
		return reply, nil
	}
	reply.State.Document = st.Text
	return reply, nil
}
