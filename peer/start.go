package peer

import (
	"bytes"
	"context"
	"sync"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/wait"
)

// maxSyncPeers is the maximum number of peers that a process asks for their
// configuration while it is starting or stuck.
const maxSyncPeers = 3

// readinessLoop asks peers for their configuration until this process is ready. The
// process also becomes ready when configPollLoop reaches the log's end.
func (p *Peer) readinessLoop(ctx context.Context) {
	for !p.ready.Load() {
		peersAgree := p.syncConfigFromPeers()
		p.mu.Lock()
		// Without the log, or when trimmed records leave the newest version uncertain,
		// the agreement of all reachable peers is the best available evidence.
		logUnusable := p.logUnavailable || p.configStream.Stuck()
		if logUnusable && peersAgree && p.configStream.State() != nil {
			log.Warn().Int64("version", p.configStream.Version()).Msg("ready without the log; all reachable peers agree on the version")
			p.ready.Store(true)
		}
		p.mu.Unlock()
		if p.ready.Load() || !wait.For(ctx, p.opts.ExchangeInterval+p.jitter(p.opts.ExchangeInterval)) {
			break
		}
	}
}

// syncConfigFromPeers adopts the highest version held by up to three peers. It
// reports whether they agree with the version that this process then holds.
func (p *Peer) syncConfigFromPeers() bool {
	addresses := p.samplePeerAddresses(maxSyncPeers)
	answers := make([]*rpc.ConfigState, len(addresses))
	var wg sync.WaitGroup
	fetch := func(i int) {
		if st, err := p.fetchConfig(addresses[i]); err == nil {
			answers[i] = st
		}
	}
	for i := range addresses {
		if i == 0 {
			fetch(i) // fetched first, so that the other peers needn't send the document again
			continue
		}
		wg.Go(func() { fetch(i) })
	}
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.configStream.State()
	round := make([]config.PeerAnswer, len(addresses))
	for i, s := range answers {
		round[i] = config.PeerAnswer{Peer: addresses[i], Answered: s != nil, Same: s != nil && st != nil && s.Version == st.Version && bytes.Equal(s.Hash, st.Hash[:])}
	}
	return p.agreement.Agree(round)
}

// samplePeerAddresses returns up to n random addresses from the other members and the
// configured seed addresses.
func (p *Peer) samplePeerAddresses(n int) []string {
	var addresses []string
	for _, m := range p.All() {
		if m.ID != p.opts.ID {
			addresses = append(addresses, m.Address)
		}
	}
	for _, seedAddress := range p.opts.SeedAddresses {
		if seedAddress != p.opts.Address {
			addresses = append(addresses, seedAddress)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}
