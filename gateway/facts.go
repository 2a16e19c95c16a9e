package gateway

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/core/rendezvous"
	"github.com/galenaweir/galenaweir/wait"
)

// Facts that entries tell each other because the log may not hold them, or not in time: the
// version of the configuration in force, and when weight versions were named.
const (
	factsInterval    = time.Second            // between two messages to all peers
	factsAskInterval = 100 * time.Millisecond // between the questions of a starting process
	maxFactsAsks     = 50                     // questions of a starting process
	factsTTL         = 3 * time.Second        // a peer's facts are used for this long
	factsAnswerLimit = 2 * time.Second        // an answer to an older question is not used
	minBoundGain     = 100 * time.Millisecond // a peer is asked for its bound of a naming only if that is closer by more
	factsProtocol    = "galenaweir-facts-2"
)

// Records of namings in the log.
const (
	maxNamingsToSave  = 16
	namingSavers      = 3 // members that save the same naming, so that it is saved although some fail
	namingAttempts    = 5
	namingRetryPause  = 300 * time.Millisecond
	namingTimeout     = 600 * time.Millisecond
	namingCheckPause  = 50 * time.Millisecond
	endpointClockWait = 2 * time.Second // how long to wait for a endpoints' clock after the records were read
)

// factsMessage is the message with an entry's facts.
type factsMessage struct {
	Protocol string
	Member   string
	Domain   string // failure domain of the sender, which passes reports on in it
	AskedAt  int64  // the sender wants the receiver's facts: its clock in ms, 0 if it does not
	Answers  int64  // AskedAt of the message that this one answers, 0 if none
	Config   int64
	Named    boundedList[factNaming]
	Parts    boundedList[reportPart] // held parts, in an answer
}

// factNaming is a weight version that was named less than the version bound ago.
type factNaming struct {
	Model    string
	Version  int64
	Previous int64
	AgeMs    int64 // upper bound of the time since it was named
	KnownMs  int64 // lower bound of that time
}

// knownFacts is what a peer last said.
type knownFacts struct {
	config     int64
	domain     string
	receivedAt time.Duration
	since      time.Duration // when the first message of an uninterrupted series arrived
}

// peerConfigVersion returns the newest configuration version that a peer has in force.
func (s *state) peerConfigVersion(now time.Duration) int64 {
	newest := int64(0)
	for m, f := range s.peerFacts {
		if now-f.receivedAt >= factsTTL {
			delete(s.peerFacts, m)
			continue
		}
		newest = max(newest, f.config)
	}
	return newest
}

// startState returns whether this process, if it has just started, may serve. The caller
// holds the state's mutex.
func (g *Gateway) startState(now time.Duration) forward.StartState {
	s := g.state
	members := s.peerLoads.members
	hasPeers := len(members) != 1 || members[0] != g.memberID // true until the members are known
	gaveUp := s.startup.GaveUp
	st := s.startup.Check(s.eras.Newest(), hasPeers, len(s.peerFacts) > 0, s.knowledge().ConfigVersion, s.peerConfigVersion(now), now)
	if s.startup.GaveUp && !gaveUp {
		log.Warn().Str("event", "peers_ahead").Int64("config", s.knowledge().ConfigVersion).Int64("peers", s.peerConfigVersion(now)).Msg("peers have a newer configuration that the log doesn't hold; serving with the older one")
	}
	return st
}

// exchangeFacts tells the peers this process's facts until ctx is done, and asks for theirs
// while it lacks some.
func (g *Gateway) exchangeFacts(ctx context.Context) {
	for asked := 0; ; asked++ {
		s := g.state
		s.mu.Lock()
		asks := asked < maxFactsAsks && (len(s.peerFacts) == 0 && !s.startup.Complete() && s.eras.Newest() > 0 || s.rollout.NamingsUnknown())
		members := slices.DeleteFunc(slices.Clone(s.peerLoads.members), func(m string) bool { return m == g.memberID })
		s.mu.Unlock()
		for _, m := range members {
			if asks {
				g.askFacts(m)
			} else {
				g.sendFacts(m, 0, 0)
			}
		}
		pause := factsInterval
		if asks {
			pause = factsAskInterval
		}
		due := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			due.Stop()
			return
		case <-due.C:
		case <-g.factsRequests:
			due.Stop()
			wait.For(ctx, minReportSpacing)
		}
	}
}

// announceNamings tells the peers of a new target and saves it in the log. The naming time
// is unknown for a target that the first read found, which is not announced.
func (g *Gateway) announceNamings(namedAt time.Duration) {
	if namedAt == forward.UnknownNamingTime {
		return
	}
	for _, n := range g.state.rollout.Namings(namedAt - 1) {
		g.requestSaveNaming(n)
	}
	select {
	case g.factsRequests <- struct{}{}:
	default: // a message is already requested
	}
}

// askFacts sends a peer this process's facts and asks for the peer's.
func (g *Gateway) askFacts(member string) {
	now := g.clock()
	g.state.mu.Lock()
	g.state.lastFactsQuestion = now
	g.state.mu.Unlock()
	g.sendFacts(member, now.Milliseconds(), 0)
}

// buildFacts returns this process's facts. It reads the clock for the ages after the message that
// they answer has arrived, which lowerBound relies on.
func (g *Gateway) buildFacts(askedAt, answers int64) factsMessage {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	f := factsMessage{Protocol: factsProtocol, Member: g.memberID, Domain: g.settings.FailureDomain, AskedAt: askedAt, Answers: answers, Config: s.knowledge().ConfigVersion}
	for _, n := range s.rollout.Namings(now - milliseconds(s.settings.VersionMs)) {
		f.Named = append(f.Named, factNaming{n.Model, n.Version, n.Previous, (now - n.SetAt + time.Millisecond - 1).Milliseconds(), (now - n.KnownAt).Milliseconds()})
	}
	if answers != 0 {
		f.Parts = encodeParts(s.parts.Held(), maxFactPartBytes, now)
	}
	return f
}

// sendFacts sends a peer this process's facts.
func (g *Gateway) sendFacts(member string, askedAt, answers int64) {
	f := g.buildFacts(askedAt, answers)
	data, err := encodeMessage(&f)
	if err != nil || len(data) > maxDatagram {
		log.Error().Str("event", "facts_failed").Int("bytes", len(data)).Err(err).Msg("cannot encode the facts for peers")
		return
	}
	g.sendDatagram(data, member)
}

// isFacts reports whether a datagram is a message with facts.
func isFacts(data []byte) bool {
	return bytes.Contains(data[:min(len(data), 2*len(factsProtocol))], []byte(factsProtocol))
}

// receiveFacts applies a message with a peer's facts and answers its question. It reports
// whether the message is valid.
func (g *Gateway) receiveFacts(data []byte) bool {
	var f factsMessage
	if msgpack.Unmarshal(data, &f) != nil || f.Protocol != factsProtocol || f.Member == g.memberID {
		return false
	}
	ask := g.applyFacts(&f)
	switch {
	case f.AskedAt != 0:
		g.sendFacts(f.Member, 0, f.AskedAt)
	case ask:
		g.askFacts(f.Member)
	}
	return true
}

// lowerBound returns the earliest time at which a version that a peer tells of may have been
// named. An age that the peer sent by itself proves nothing, because the message may have
// been delayed for any time. The age in an answer was computed after the question was sent.
func (g *Gateway) lowerBound(f *factsMessage, n factNaming, now time.Duration) time.Duration {
	askedAt := milliseconds(f.Answers)
	if f.Answers > 0 && askedAt >= g.createdAt && askedAt <= now && askedAt > now-factsAnswerLimit {
		return askedAt - milliseconds(n.AgeMs)
	}
	if n.Version <= g.state.rollout.NewestTargets()[n.Model] {
		return forward.UnknownNamingTime // a read shows only the newest version, so it proves nothing about an older one
	}
	return min(g.state.namingProof(now), now-milliseconds(n.AgeMs))
}

// applyFacts applies a peer's facts. It reports whether the peer should be asked for them,
// because it may have a closer bound of when a version was named.
func (g *Gateway) applyFacts(f *factsMessage) (ask bool) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.recordActivity(now)
	if !slices.Contains(s.peerLoads.members, f.Member) {
		return false // not known as a member: its address may have belonged to one before
	}
	known, ok := s.peerFacts[f.Member]
	if !ok || now >= known.receivedAt+factsTTL {
		known.since = now
	}
	known.config, known.domain, known.receivedAt = f.Config, f.Domain, now
	s.peerFacts[f.Member] = known
	g.applyParts(f.Parts, now)
	for _, n := range f.Named {
		if n.Version <= 0 || n.Previous < 0 || n.KnownMs < 0 || n.AgeMs < n.KnownMs || n.AgeMs > s.settings.VersionMs {
			continue
		}
		naming := forward.Naming{WeightVersion: forward.WeightVersion{Model: n.Model, Version: n.Version}, Previous: n.Previous, SetAt: g.lowerBound(f, n, now), KnownAt: now - milliseconds(n.KnownMs)}
		before, _ := s.rollout.SetAt(naming.WeightVersion)
		newest := s.rollout.RecordNaming(naming, now)
		after, known := s.rollout.SetAt(naming.WeightVersion)
		if newest {
			g.logNaming(log.Info().Str("event", "weights_named"), naming.WeightVersion, now).Str("peer", f.Member).Msg("a peer told of a weight version")
		} else if after != before {
			g.logNaming(log.Info().Str("event", "naming_bounded"), naming.WeightVersion, now).Str("peer", f.Member).Msg("a peer has a closer bound of when the weight version was named")
		}
		ask = ask || f.Answers == 0 && (!known || now-milliseconds(n.AgeMs) > after+minBoundGain)
	}
	return ask && now >= s.lastFactsQuestion+factsAskInterval
}

// logNaming adds a weight version to a line, with the longest time for which it may have been
// named if that is known. The caller holds the state's mutex.
func (g *Gateway) logNaming(e *log.Entry, w forward.WeightVersion, now time.Duration) *log.Entry {
	e = e.Str("model", w.Model).Int64("version", w.Version)
	if at, known := g.state.rollout.SetAt(w); known {
		e = e.Dur("age_ms", now-at)
	}
	return e
}

// requestSaveNaming has a naming saved in the log, if this process is among the members
// that save it.
func (g *Gateway) requestSaveNaming(n forward.Naming) {
	members := g.state.peerLoads.members
	savers := rendezvous.Top(rendezvous.Key([]byte(n.Model)), members, namingSavers)
	if len(members) > 0 && !slices.Contains(savers, g.memberID) {
		return
	}
	select {
	case g.namingsToSave <- n:
	default:
		log.Warn().Str("event", "naming_dropped").Str("model", n.Model).Int64("version", n.Version).Msg("too many namings wait to be saved; after a restart of all entries, older weights are not used")
	}
}

// instant returns the current time with bounds for the clocks that continue when all
// processes restart. The time of day is read on both sides of the process's clock, because
// the process may be suspended between two readings. The caller holds the state's mutex.
func (g *Gateway) instant() forward.Instant {
	before := g.wallClock().UnixMilli()
	now := g.state.clock()
	i := forward.Instant{Time: now, Earliest: forward.Stamp{UnixMs: before}, Latest: forward.Stamp{UnixMs: g.wallClock().UnixMilli()}}
	if clock, known := g.state.endpointClock(now); known {
		i.Earliest.EndpointClockMs, i.Latest.EndpointClockMs, _ = clock.Bounds(now)
	}
	return i
}

// saveNamings saves namings in the log until ctx is done.
func (g *Gateway) saveNamings(ctx context.Context) {
	for {
		var n forward.Naming
		select {
		case <-ctx.Done():
			return
		case n = <-g.namingsToSave:
		}
		var err error
		for range namingAttempts {
			if err = g.saveNaming(ctx, n); err == nil || !wait.For(ctx, namingRetryPause) {
				break
			}
		}
		if err == nil {
			log.Info().Str("event", "naming_saved").Str("model", n.Model).Int64("version", n.Version).Msg("saved in the log when the weight version was named")
		} else if ctx.Err() == nil {
			log.Warn().Str("event", "naming_unsaved").Str("model", n.Model).Int64("version", n.Version).Err(err).Msg("cannot save when the weight version was named; after a restart of all entries, older weights are not used")
		}
	}
}

func (g *Gateway) saveNaming(ctx context.Context, n forward.Naming) error {
	if g.namingStore == nil {
		return nil
	}
	g.readEndpointClock(ctx)
	s := g.state
	s.mu.Lock()
	now := g.instant()
	stored := forward.StoredNaming{WeightVersion: n.WeightVersion, Previous: n.Previous, At: now.NotAfter(n.SetAt), KnownAt: now.NotBefore(n.KnownAt)}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, namingTimeout)
	defer cancel()
	return g.namingStore.Save(ctx, stored)
}

// recoverNamings reads from the log when the weight versions were named that the first read
// found, so that a restart of all processes does not end the use of older weights early.
func (g *Gateway) recoverNamings(ctx context.Context) {
	if g.namingStore == nil {
		return
	}
	s := g.state
	read, unknown := false, false
	for !read {
		if !wait.For(ctx, namingCheckPause) {
			return
		}
		s.mu.Lock()
		_, read = s.freshness.Age(s.clock())
		unknown = s.rollout.NamingsUnknown()
		s.mu.Unlock()
	}
	if !unknown {
		return
	}
	stored, err := g.loadNamings(ctx)
	if err != nil {
		if ctx.Err() == nil {
			log.Warn().Str("event", "namings_unread").Err(err).Msg("cannot read when weight versions were named; older weights are not used")
		}
		return
	}
	log.Info().Str("event", "namings_read").Int("count", len(stored.Namings)).Int("proofs", len(stored.Proofs)).Msg("read from the log when weight versions were named")
	for waited := time.Duration(0); waited < endpointClockWait; waited += namingCheckPause {
		if waited >= storeClockWait || !g.state.awaitsStores() {
			g.readEndpointClock(ctx)
		}
		if g.applyNamings(stored) || !wait.For(ctx, namingCheckPause) {
			return
		}
	}
}

func (g *Gateway) loadNamings(ctx context.Context) (stored forward.NamingRecords, err error) {
	for range namingAttempts {
		attempt, cancel := context.WithTimeout(ctx, namingTimeout)
		stored, err = g.namingStore.Load(attempt)
		cancel()
		if err == nil || !wait.For(ctx, namingRetryPause) {
			return stored, err
		}
	}
	return stored, err
}

// applyNamings applies namings that were saved in the log, and to the versions that have none
// the proofs. It reports whether the endpoints' clock was known, which gives the exact ages.
func (g *Gateway) applyNamings(stored forward.NamingRecords) bool {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := g.instant()
	clockKnown := now.Latest.EndpointClockMs != 0
	namings := []forward.Naming{}
	for _, n := range stored.Namings {
		namings = append(namings, n.Naming(now))
	}
	for _, w := range s.rollout.Targets() {
		if n, ok := stored.Bound(w, now); ok {
			namings = append(namings, n)
		}
	}
	for _, naming := range namings {
		s.rollout.RecordNaming(naming, now.Time)
		if clockKnown && naming.SetAt > now.Time-milliseconds(s.settings.VersionMs) {
			log.Info().Str("event", "naming_recovered").Str("model", naming.Model).Int64("version", naming.Version).Dur("age_ms", now.Time-naming.SetAt).Msg("read from the log when the weight version was named")
		}
	}
	return clockKnown
}
