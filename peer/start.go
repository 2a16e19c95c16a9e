package peer

import (
	"bytes"
	"context"
	"sync"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/wait"
)

// startPeers is the number of processes that a starting one asks for their
// version.
const startPeers = 3

// startLoop asks three processes for their versions until this one is ready.
// The log's end makes it ready too; pollLoop reads it.
func (p *Peer) startLoop(ctx context.Context) {
	for !p.ready.Load() {
		agree := p.askPeers()
		p.mu.Lock()
		// Without the log, or when it can't tell the version any more, the
		// agreement of all peers that could be reached is the best knowledge.
		blind := p.logDown || p.stream.Stuck()
		if blind && agree && p.stream.State() != nil {
			log.Warn().Int64("version", p.stream.Version()).Msg("ready by the agreement of peers, without the log")
			p.ready.Store(true)
		}
		p.mu.Unlock()
		if p.ready.Load() || !wait.For(ctx, p.o.Interval+p.jitter(p.o.Interval)) {
			break
		}
	}
}

// askPeers takes the highest version of up to three processes. It returns true
// when at least one answered and all that answered hold this version.
func (p *Peer) askPeers() bool {
	addresses := p.sample(startPeers)
	states := make([]*rpc.ConfigState, len(addresses))
	var wg sync.WaitGroup
	ask := func(i int) {
		if st, err := p.fetchConfig(addresses[i]); err == nil {
			states[i] = st
		}
	}
	for i := range addresses {
		if i == 0 {
			ask(i) // the others then needn't send the document again
			continue
		}
		wg.Go(func() { ask(i) })
	}
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	st, reached := p.stream.State(), 0
	for _, s := range states {
		if s == nil {
			continue
		}
		if st == nil || s.Version != st.Version || !bytes.Equal(s.Hash, st.Hash[:]) {
			return false
		}
		reached++
	}
	return reached > 0
}

// sample returns the addresses of random other processes.
func (p *Peer) sample(n int) []string {
	var as []string
	for _, m := range p.All() {
		if m.ID != p.o.ID {
			as = append(as, m.Address)
		}
	}
	for _, c := range p.o.Contacts {
		if c != p.o.Address {
			as = append(as, c)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rand.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] })
	return as[:min(n, len(as))]
}
