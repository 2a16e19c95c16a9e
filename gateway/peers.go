package gateway

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/wait"
)

// The exchange of loads between entries.
const (
	gossipPause    = 100 * time.Millisecond // one report to each peer; loads change within a prompt's reading
	gossipSpacing  = 15 * time.Millisecond  // between two reports at least
	promptReport   = 1500                   // tokens to be read from which a placement is reported at once
	gossipPerPeer  = 10 * time.Millisecond  // longer pauses in large groups, to bound the datagrams
	peerExpiry     = time.Second            // a report counts so long
	reportsMissed  = 3                      // or until so many have not come
	maxDatagram    = 8192
	maxUses        = 64 // cached parts in one report; more only makes the estimate poorer
	gossipProtocol = "galenaweir-load-1"
)

// endpointHash names an endpoint in a report.
func endpointHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

type reportLoad struct {
	Endpoint uint32
	Active   int
	Waiting  int
	Prefill  int
	Memory   int
	Long     int
}

type reportUse struct {
	Endpoint uint32
	Part     uint64
	Tokens   int
}

// loadReport is what an entry tells its peers.
type loadReport struct {
	Protocol string
	Member   string
	Seq      int64
	Loads    list[reportLoad]
	Uses     list[reportUse] // parts that were sent to endpoints since the last report
	Loading  list[uint32]    // endpoints that are being changed by an order
	Emptying list[uint32]    // endpoints that get no long prompts
	Saves    list[reportUse] // parts that are being written; Endpoint is the store
	Loaded   list[reportVersion]
}

// list is a slice whose stated length is checked before room is made for it: the
// decoder would make room for four billion elements.
type list[T any] []T

var errLongList = errors.New("a list is longer than a datagram")

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *list[T]) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil || n > maxDatagram {
		return errors.Join(err, errLongList)
	}
	*l = nil
	for range n {
		var v T
		if err := d.Decode(&v); err != nil {
			return err
		}
		*l = append(*l, v)
	}
	return nil
}

// reportVersion tells of weights that an endpoint has.
type reportVersion struct {
	Endpoint uint32
	Model    string
	Version  int64
	Seq      int64 // orders that it has accepted
}

type peerReport struct {
	at    time.Duration
	seq   int64
	loads map[uint32]forward.EndpointLoad
}

// peerLoads holds the newest report of each peer. The state's mutex guards it.
type peerLoads struct {
	reports map[string]*peerReport
	sums    map[uint32]forward.EndpointLoad // of all reports
	uses    []reportUse                     // of this process, not yet reported
	saves   []reportUse
	loaded  map[uint32]loadedVersion
	members []string
}

// loadedVersion is reported for a while, as a report may be lost.
type loadedVersion struct {
	reportVersion
	until time.Duration
}

func newPeerLoads() peerLoads {
	return peerLoads{reports: map[string]*peerReport{}, sums: map[uint32]forward.EndpointLoad{}, loaded: map[uint32]loadedVersion{}}
}

// load is the load of all peers on an endpoint.
func (p *peerLoads) load(id string) forward.EndpointLoad { return p.sums[endpointHash(id)] }

// count is the number of peers that report.
func (p *peerLoads) count() int { return len(p.reports) }

// pause is the time between two regular reports.
func (p *peerLoads) pause() time.Duration {
	return max(gossipPause, time.Duration(len(p.members))*gossipPerPeer)
}

// put replaces a peer's report.
func (p *peerLoads) put(member string, r *peerReport) {
	p.drop(member)
	p.reports[member] = r
	for h, l := range r.loads {
		p.sums[h] = p.sums[h].Plus(l)
	}
}

func (p *peerLoads) drop(member string) {
	old := p.reports[member]
	if old == nil {
		return
	}
	delete(p.reports, member)
	for h, l := range old.loads {
		if p.sums[h] = p.sums[h].Minus(l); p.sums[h] == (forward.EndpointLoad{}) {
			delete(p.sums, h)
		}
	}
}

// expire drops the reports of peers that have gone silent.
func (p *peerLoads) expire(now time.Duration) {
	for m, r := range p.reports {
		if now-r.at >= max(peerExpiry, reportsMissed*p.pause()) {
			p.drop(m)
		}
	}
}

func (p *peerLoads) used(id string, part uint64, tokens int) {
	if len(p.uses) < maxUses {
		p.uses = append(p.uses, reportUse{Endpoint: endpointHash(id), Part: part, Tokens: tokens})
	}
}

func (p *peerLoads) saved(store string, part uint64, tokens int) {
	if len(p.saves) < maxUses {
		p.saves = append(p.saves, reportUse{Endpoint: endpointHash(store), Part: part, Tokens: tokens})
	}
}

func (p *peerLoads) loadedWeights(id, model string, version, seq int64, now time.Duration) {
	h := endpointHash(id)
	p.loaded[h] = loadedVersion{reportVersion{Endpoint: h, Model: model, Version: version, Seq: seq}, now + peerExpiry}
}

// gossip exchanges reports with the peers until ctx ends.
func (g *Gateway) gossip(ctx context.Context) {
	go g.receiveReports()
	seq := int64(g.clock())
	for g.nextReport(ctx) {
		seq++
		report, members := g.report(seq)
		data, err := encodeReport(&report)
		if err != nil {
			log.Error().Str("event", "report_failed").Err(err).Msg("encode the load report")
			continue
		}
		for _, m := range members {
			to, err := netip.ParseAddrPort(m)
			if err != nil {
				continue // a member of another kind
			}
			_, _ = g.peerConn.WriteToUDPAddrPort(data, to) // the next report replaces one that is lost
		}
	}
}

// encodeReport writes structs as arrays, which keeps a report small.
func encodeReport(r *loadReport) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	err := e.Encode(r)
	return b.Bytes(), err
}

// nextReport waits until a report is due. A long prompt that was placed is reported
// at once, as peers would send theirs to the same endpoint.
func (g *Gateway) nextReport(ctx context.Context) bool {
	if !wait.For(ctx, gossipSpacing) {
		return false
	}
	due := time.NewTimer(g.gossipPause() - gossipSpacing)
	defer due.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-due.C:
	case <-g.reportNow:
	}
	return true
}

// reportSoon asks for a report before the next regular one.
func (g *Gateway) reportSoon() {
	select {
	case g.reportNow <- struct{}{}:
	default: // one is due already
	}
}

func (g *Gateway) gossipPause() time.Duration {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers.pause()
}

func (g *Gateway) report(seq int64) (loadReport, []string) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.expire(s.clock())
	r := loadReport{Protocol: gossipProtocol, Member: g.member, Seq: seq, Uses: s.peers.uses, Saves: s.peers.saves}
	s.peers.uses, s.peers.saves = nil, nil
	for h, l := range s.peers.loaded {
		if s.clock() >= l.until {
			delete(s.peers.loaded, h)
			continue
		}
		r.Loaded = append(r.Loaded, l.reportVersion)
	}
	for id, e := range s.endpoints {
		if l := e.load; l.Active > 0 {
			r.Loads = append(r.Loads, reportLoad{Endpoint: endpointHash(id), Active: l.Active, Waiting: l.Waiting, Prefill: l.PrefillTokens, Memory: l.MemoryTokens, Long: l.LongRunning})
		}
		all, long := s.rollout.Blocked(id, s.clock())
		if all {
			r.Loading = append(r.Loading, endpointHash(id))
		} else if long {
			r.Emptying = append(r.Emptying, endpointHash(id))
		}
	}
	members := slices.Clone(s.peers.members)
	for m := range s.peers.reports { // those that hold no partition are known by their reports
		if !slices.Contains(members, m) {
			members = append(members, m)
		}
	}
	return r, slices.DeleteFunc(members, func(m string) bool { return m == g.member })
}

// receiveReports reads reports until the socket is closed.
func (g *Gateway) receiveReports() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := g.peerConn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				continue
			}
			return
		}
		var r loadReport
		if msgpack.Unmarshal(buf[:n], &r) != nil || r.Protocol != gossipProtocol || r.Member == g.member {
			g.strayReports.Add(1)
			continue
		}
		g.takeReport(&r)
	}
}

func (g *Gateway) takeReport(r *loadReport) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	old := s.peers.reports[r.Member]
	if old != nil && r.Seq <= old.seq && now-old.at < peerExpiry {
		return // overtaken on the way
	}
	p := &peerReport{at: now, seq: r.Seq, loads: map[uint32]forward.EndpointLoad{}}
	for _, l := range r.Loads {
		p.loads[l.Endpoint] = forward.EndpointLoad{Active: l.Active, Waiting: l.Waiting, PrefillTokens: l.Prefill, MemoryTokens: l.Memory, LongRunning: l.Long}
	}
	s.peers.put(r.Member, p)
	for _, u := range r.Saves {
		for _, v := range s.stores {
			if endpointHash(v.Name) == u.Endpoint {
				v.RecordSave(u.Part, u.Tokens, now)
			}
		}
	}
	if len(r.Uses) == 0 && len(r.Loading) == 0 && len(r.Loaded) == 0 && len(r.Emptying) == 0 {
		return
	}
	byHash := map[uint32]string{}
	for id := range s.endpoints {
		byHash[endpointHash(id)] = id
	}
	for _, h := range r.Loading {
		if id, ok := byHash[h]; ok {
			s.endpoint(id).loading = now + peerExpiry/2
			s.endpoint(id).claimed = now
		}
	}
	for _, h := range r.Emptying {
		if id, ok := byHash[h]; ok {
			s.endpoint(id).emptying = now + peerExpiry/2
			s.endpoint(id).claimed = now
		}
	}
	for _, l := range r.Loaded {
		if id, ok := byHash[l.Endpoint]; ok {
			s.observeVersion(id, l.Model, l.Version)
			st := s.endpoint(id)
			st.loading, st.emptying, st.seq = 0, 0, max(st.seq, l.Seq)
		}
	}
	for _, u := range r.Uses {
		if id, ok := byHash[u.Endpoint]; ok {
			s.endpoint(id).cached.RecordUse(u.Part, u.Tokens, s.capacity(id, now), now+peerReadTime)
		}
	}
}

// capacity is the memory for cached parts of an endpoint, in tokens.
func (s *state) capacity(id string, now time.Duration) int {
	e, ok := s.list.Get(id, now)
	if !ok || s.table == nil {
		return 0
	}
	sv := s.table.Service(e.Service)
	if sv == nil || sv.Engine == nil {
		return 0
	}
	return int(residentShare * float64(sv.Engine.CapacityTokens))
}
