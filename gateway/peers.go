package gateway

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/wait"
)

// Load reports between entries.
const (
	reportInterval        = 100 * time.Millisecond // sent to each peer; loads change within the prefill time of a prompt
	minReportSpacing      = 15 * time.Millisecond  // minimum time between two reports
	urgentPrefillTokens   = 1500                   // prefill tokens from which a placement is reported immediately
	urgentTokensPerPeer   = 40                     // raises that in large groups, in which a report costs as much processor time as it has receivers
	reportIntervalPerPeer = 10 * time.Millisecond  // lengthens the interval in large groups, to bound the datagram rate
	loadReportDelay       = 25 * time.Millisecond  // from a placement until the peers know of it, if it is urgent
	reportTTL             = time.Second            // a report is valid for this long
	updateTTL             = reportTTL / 2          // a report that an endpoint is loading weights or being emptied is valid for this long
	updateReportInterval  = updateTTL / 2          // longest interval while this process updates endpoints: peers that miscount them update too many at once, or too few
	maxMissedReports      = 3                      // a report stays valid at least until this many later ones are missed
	maxDatagram           = 8192
	maxReportedParts      = 64 // in one report; dropping further ones only makes the peers' cache estimates less exact
	reportProtocol        = "galenaweir-load-1"
)

// endpointHash returns the hash that identifies an endpoint or store in a report.
func endpointHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// reportLoad is the load that the sender has placed on an endpoint.
type reportLoad struct {
	Endpoint uint32 // hash of the endpoint's ID
	Active   int
	Waiting  int
	Prefill  int // tokens
	Memory   int // tokens
	Long     int // long-running requests
}

// reportUse is a prompt part that was sent to an endpoint or is being saved in a store.
type reportUse struct {
	Endpoint uint32
	Part     uint64
	Tokens   int
}

// loadReport is the state that an entry sends to its peers.
type loadReport struct {
	Protocol string
	Member   string
	Seq      int64
	Loads    boundedList[reportLoad]
	Uses     boundedList[reportUse] // prompt parts sent to endpoints since the last report
	Loading  boundedList[uint32]    // endpoints that are loading weights by an order
	Emptying boundedList[uint32]    // endpoints that get no long prompts before loading weights
	Saves    boundedList[reportUse] // prompt parts that are being saved; Endpoint is the hash of the store's name
	Loaded   boundedList[reportVersion]
	Limits   boundedList[reportLimit]
	Parts    boundedList[reportPart]

	Extension reportExtension `msgpack:"-"` // follows the report; another number of fields can't be read by other releases
}

// boundedList is a slice whose encoded length is checked before memory is allocated: the decoder
// would allocate up to four billion elements.
type boundedList[T any] []T

var errListTooLong = errors.New("list length exceeds the size of a datagram")

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *boundedList[T]) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil || n > maxDatagram {
		return errors.Join(err, errListTooLong)
	}
	*l = nil
	if n > 0 {
		*l = make(boundedList[T], 0, min(n, maxReportedParts))
	}
	for i := range n {
		var zero T
		*l = append(*l, zero)
		if err := decodeElement(d, &(*l)[i]); err != nil {
			return err
		}
	}
	return nil
}

// reportVersion is a weight version that an endpoint has loaded.
type reportVersion struct {
	Endpoint uint32
	Model    string
	Version  int64
	Seq      int64 // number of orders that the endpoint has accepted
}

type peerReport struct {
	receivedAt time.Duration
	seq        int64
	loads      map[uint32]forward.EndpointLoad
}

// peerLoads holds the newest report of each peer and this process's unreported changes.
// It is guarded by state.mu.
type peerLoads struct {
	reports      map[string]*peerReport
	totals       map[uint32]forward.EndpointLoad // sum over all reports, by endpoint hash
	pendingUses  []reportUse                     // by this process, not yet reported
	pendingSaves []reportUse
	loaded       map[uint32]loadedVersion
	members      []string
}

// loadedVersion is a version that is included in reports until it expires, because a
// single report may be lost.
type loadedVersion struct {
	reportVersion
	expiresAt time.Duration
}

func newPeerLoads() peerLoads {
	return peerLoads{reports: map[string]*peerReport{}, totals: map[uint32]forward.EndpointLoad{}, loaded: map[uint32]loadedVersion{}}
}

// load returns the total load of all peers on an endpoint.
func (p *peerLoads) load(id string) forward.EndpointLoad { return p.totals[endpointHash(id)] }

// isUrgent reports whether a placement with so many prefill tokens is reported immediately.
func (p *peerLoads) isUrgent(prefillTokens int) bool {
	return prefillTokens >= max(urgentPrefillTokens, urgentTokensPerPeer*len(p.members))
}

// interval returns the interval between regular reports.
func (p *peerLoads) interval() time.Duration {
	return max(reportInterval, time.Duration(len(p.members))*reportIntervalPerPeer)
}

// set replaces the report of a peer.
func (p *peerLoads) set(member string, r *peerReport) {
	p.remove(member)
	p.reports[member] = r
	for h, l := range r.loads {
		p.totals[h] = p.totals[h].Plus(l)
	}
}

func (p *peerLoads) remove(member string) {
	old := p.reports[member]
	if old == nil {
		return
	}
	delete(p.reports, member)
	for h, l := range old.loads {
		if p.totals[h] = p.totals[h].Minus(l); p.totals[h] == (forward.EndpointLoad{}) {
			delete(p.totals, h)
		}
	}
}

// expire removes the reports of peers that have stopped reporting.
func (p *peerLoads) expire(now time.Duration) {
	for m, r := range p.reports {
		if now-r.receivedAt >= max(reportTTL, maxMissedReports*p.interval()) {
			p.remove(m)
		}
	}
}

func (p *peerLoads) recordUse(id string, part uint64, tokens int) {
	if len(p.pendingUses) < maxReportedParts {
		p.pendingUses = append(p.pendingUses, reportUse{Endpoint: endpointHash(id), Part: part, Tokens: tokens})
	}
}

func (p *peerLoads) recordSave(store string, part uint64, tokens int) {
	if len(p.pendingSaves) < maxReportedParts {
		p.pendingSaves = append(p.pendingSaves, reportUse{Endpoint: endpointHash(store), Part: part, Tokens: tokens})
	}
}

func (p *peerLoads) recordLoaded(id, model string, version, seq int64, now time.Duration) {
	h := endpointHash(id)
	p.loaded[h] = loadedVersion{reportVersion{Endpoint: h, Model: model, Version: version, Seq: seq}, now + reportTTL}
}

// sendReports sends reports to the peers until ctx is done, and starts receiving theirs.
func (g *Gateway) sendReports(ctx context.Context) {
	go g.receiveReports()
	seq := int64(g.clock()) // above the numbers that this process used before a restart
	for g.awaitReportDue(ctx) {
		seq++
		report, members := g.buildReport(seq)
		data, err := encodeReport(&report)
		if err != nil {
			log.Error().Str("event", "report_failed").Err(err).Msg("cannot encode the load report")
			continue
		}
		g.sendReport(data, members, seq)
	}
}

// awaitReportDue waits until a report is due and returns false when ctx is done. The placement
// of a long prompt is reported immediately; otherwise peers would send theirs to the same
// endpoint.
func (g *Gateway) awaitReportDue(ctx context.Context) bool {
	if !wait.For(ctx, minReportSpacing) {
		return false
	}
	due := time.NewTimer(g.reportInterval() - minReportSpacing)
	defer due.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-due.C:
	case <-g.reportRequests:
	}
	return true
}

// requestReport requests a report before the next regular one.
func (g *Gateway) requestReport() {
	select {
	case g.reportRequests <- struct{}{}:
	default: // a report is already requested
	}
}

func (g *Gateway) reportInterval() time.Duration {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	interval := s.peerLoads.interval()
	if s.parts.OwnsHeld(g.memberID, s.peerLoads.members) {
		interval = min(interval, forward.OwnerRepeatPause)
	}
	if s.rollout.UpdatesAny(s.clock()) || len(s.peerLoads.loaded) > 0 {
		interval = min(interval, updateReportInterval)
	}
	return interval
}

// buildReport returns the next report and the addresses of the peers to send it to.
func (g *Gateway) buildReport(seq int64) (loadReport, []string) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerLoads.expire(s.clock())
	for _, v := range s.stores {
		v.OrdersToTell(s.clock(), func(part uint64, tokens int) { s.peerLoads.recordSave(v.Name, part, tokens) })
	}
	r := loadReport{Protocol: reportProtocol, Member: g.memberID, Seq: seq, Uses: s.peerLoads.pendingUses, Saves: s.peerLoads.pendingSaves}
	s.peerLoads.pendingUses, s.peerLoads.pendingSaves = nil, nil
	g.updateLimitGroup()
	r.Limits = s.limitsToReport(s.clock())
	r.Parts = g.partsToReport(s.clock())
	r.Extension = reportExtension{Reuses: s.reusesToReport(s.clock()), Ranks: s.ranksToReport(), WarmUps: s.warmUpsToReport(s.clock())}
	for h, l := range s.peerLoads.loaded {
		if s.clock() >= l.expiresAt {
			delete(s.peerLoads.loaded, h)
			continue
		}
		r.Loaded = append(r.Loaded, l.reportVersion)
	}
	for id, e := range s.endpoints {
		if l := e.load; l.Active > 0 {
			r.Loads = append(r.Loads, reportLoad{Endpoint: e.hash, Active: l.Active, Waiting: l.Waiting, Prefill: l.PrefillTokens, Memory: l.MemoryTokens, Long: l.LongRunning})
		}
		all, long := s.rollout.Blocked(id, s.clock())
		if all {
			r.Loading = append(r.Loading, e.hash)
		} else if long {
			r.Emptying = append(r.Emptying, e.hash)
		}
	}
	members := slices.Clone(s.peerLoads.members)
	for m := range s.peerLoads.reports { // peers that are not in the member list are known by their reports
		if !slices.Contains(members, m) {
			members = append(members, m)
		}
	}
	return r, slices.DeleteFunc(members, func(m string) bool { return m == g.memberID })
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
		data := buf[:n]
		if isFacts(data) {
			if !g.receiveFacts(data) {
				g.rejectedReports.Add(1)
			}
			continue
		}
		if isListMessage(data) {
			if !g.receiveList(data) {
				g.rejectedReports.Add(1)
			}
			continue
		}
		if isRelay(data) {
			data = g.passOn(data)
		}
		if isMemberList(data) {
			if !g.receiveMemberList(data) {
				g.rejectedReports.Add(1)
			}
			continue
		}
		if isStoreNews(data) {
			if !g.receiveStoreNews(data) {
				g.rejectedReports.Add(1)
			}
			continue
		}
		r, err := decodeReport(data)
		if err != nil || r.Protocol != reportProtocol || r.Member == g.memberID {
			g.rejectedReports.Add(1)
			continue
		}
		g.applyReport(r)
	}
}

// applyReport applies a peer's report to the state.
func (g *Gateway) applyReport(r *loadReport) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	old := s.peerLoads.reports[r.Member]
	if old != nil && r.Seq <= old.seq && now-old.receivedAt < reportTTL {
		return // arrived out of order
	}
	s.peerLoads.remove(r.Member)
	p := old // its memory is used again
	if p == nil {
		p = &peerReport{loads: make(map[uint32]forward.EndpointLoad, len(r.Loads))}
	}
	p.receivedAt, p.seq = now, r.Seq
	clear(p.loads)
	for _, l := range r.Loads {
		p.loads[l.Endpoint] = forward.EndpointLoad{Active: l.Active, Waiting: l.Waiting, PrefillTokens: l.Prefill, MemoryTokens: l.Memory, LongRunning: l.Long}
	}
	applyRanks(p.loads, r.Extension.Ranks)
	s.peerLoads.set(r.Member, p)
	for _, u := range r.Saves {
		for _, v := range s.stores {
			if endpointHash(v.Name) == u.Endpoint {
				v.RecordSave(u.Part, u.Tokens, now)
			}
		}
	}
	g.applyParts(r.Parts, now)
	s.applyReuses(r.Extension.Reuses, now)
	for _, h := range r.Loading {
		if st := g.recordPeerUpdate(h, r.Member, now); st != nil {
			if now >= st.loadingUntil {
				st.loadingSince = now
			}
			st.loadingUntil = now + updateTTL
		}
	}
	for _, h := range r.Emptying {
		if st := g.recordPeerUpdate(h, r.Member, now); st != nil {
			st.emptyingUntil = now + updateTTL
		}
	}
	for _, l := range r.Loaded {
		if id, ok := s.endpointsByHash[l.Endpoint]; ok {
			s.observeVersion(id, l.Model, l.Version)
			st := s.endpointState(id)
			st.loadingUntil, st.emptyingUntil, st.orderCount = 0, 0, max(st.orderCount, l.Seq)
		}
	}
	for _, l := range r.Limits {
		id, known := s.endpointsByHash[l.Endpoint]
		if st, valid := l.statement(now); known && valid {
			s.recordLimit(id, st, false)
		}
	}
	s.applyWarmUps(r.Extension.WarmUps, now)
	for _, u := range r.Uses {
		if id, ok := s.endpointsByHash[u.Endpoint]; ok {
			s.endpointState(id).residency.RecordUse(u.Part, u.Tokens, s.cacheCapacity(id, now), now+peerPrefillTime)
		}
	}
}

// cacheCapacity returns an endpoint's memory for cached prompt parts, in tokens.
func (s *state) cacheCapacity(id string, now time.Duration) int {
	e, ok := s.endpointList.Get(id, now)
	if !ok || s.table == nil {
		return 0
	}
	sv := s.table.Service(e.Service)
	if sv == nil || sv.Engine == nil {
		return 0
	}
	return int(cacheMemoryShare * float64(sv.Engine.CapacityTokens))
}
