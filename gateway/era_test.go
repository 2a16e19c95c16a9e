package gateway

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

// scriptedFeed answers each read with the next batch of a script, and with an error at the
// script's end.
type scriptedFeed struct {
	mu     sync.Mutex
	newest []Batch[forward.OperatorChange]
	reads  []Batch[forward.OperatorChange]
	froms  []int64 // offsets of the reads
}

var errScriptEnds = errors.New("the script has ended")

func (s *scriptedFeed) Newest(context.Context) (Batch[forward.OperatorChange], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return next(&s.newest)
}

func (s *scriptedFeed) Read(_ context.Context, from int64, _ time.Duration) (Batch[forward.OperatorChange], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.froms = append(s.froms, from)
	return next(&s.reads)
}

func next(script *[]Batch[forward.OperatorChange]) (Batch[forward.OperatorChange], error) {
	if len(*script) == 0 {
		return Batch[forward.OperatorChange]{}, errScriptEnds
	}
	b := (*script)[0]
	*script = (*script)[1:]
	return b, nil
}

func configRecord(version int64, keys ...string) forward.OperatorChange {
	return forward.OperatorChange{Config: &forward.Config{Version: version, Customers: []forward.Customer{{Name: "c", Keys: keys}}}}
}

func batch(era forward.Era, next int64, records ...forward.OperatorChange) Batch[forward.OperatorChange] {
	return Batch[forward.OperatorChange]{Records: records, Next: next, Era: era}
}

// poll runs the reader once per step of a script and returns the errors.
func pollAll(t *testing.T, g *Gateway, r *feedReader[forward.OperatorChange], n int, step func()) []error {
	t.Helper()
	var errs []error
	for range n {
		step()
		err := r.poll(t.Context(), g.clock(), 0)
		if errors.Is(err, errLogReturned) {
			r.hasOffset = false
		}
		errs = append(errs, err)
	}
	return errs
}

func newReader(g *Gateway, f Feed[forward.OperatorChange]) *feedReader[forward.OperatorChange] {
	return &feedReader[forward.OperatorChange]{name: "operators", feed: f, clock: g.clock, observeEra: g.observeEra, apply: g.applyOperators}
}

func newGateway(t *testing.T) (*Gateway, *testClock) {
	t.Helper()
	clock := &testClock{}
	return New(Options{Settings: testSettings(), Clock: clock.start(time.Hour), HeaderCodec: testHeaderCodec{}, WallClock: func() time.Time { return time.UnixMilli(clock.read().Milliseconds()) }}), clock
}

// Guards against a reader that goes on at its old offset after the log has returned from an
// older copy, and so misses the records that were given the offsets again; and against
// silence that counts as proof while the log lacks what this process knows.
func TestReaderRereadsAfterTheLogReturned(t *testing.T) {
	g, clock := newGateway(t)
	f := &scriptedFeed{
		newest: []Batch[forward.OperatorChange]{batch(1, 5, configRecord(6)), batch(2, 3, configRecord(5))},
		reads:  []Batch[forward.OperatorChange]{batch(1, 6, configRecord(7)), batch(2, 6), batch(1, 7, configRecord(9)), batch(2, 3), batch(2, 4, configRecord(8))},
	}
	r := newReader(g, f)
	age := func() time.Duration {
		a, _ := g.state.freshness.Age(clock.read())
		return a
	}
	errs := pollAll(t, g, r, 3, func() { clock.advance(time.Second) })
	require.Equal(t, []error{nil, nil, errLogReturned}, errs)
	require.EqualValues(t, 7, g.state.table.Config.Version)

	errs = pollAll(t, g, r, 3, func() { clock.advance(time.Second) })
	require.Equal(t, []error{nil, errStaleAnswer, nil}, errs)
	require.EqualValues(t, 7, g.state.table.Config.Version, "neither the older copy nor a late answer of the older era changes it")
	require.Equal(t, []int64{5, 6, 3, 3}, f.froms, "reading continues from the end of the older copy")
	require.Equal(t, 4*time.Second, age(), "reads of a log without version 7 prove nothing")
	require.False(t, g.Ready())

	clock.advance(time.Second)
	require.NoError(t, r.poll(t.Context(), clock.read(), 0))
	require.EqualValues(t, 8, g.state.table.Config.Version)
	require.Zero(t, age())
}

// Guards against a weight version that counts as named when it is written again after the
// log returned, although it was named before.
func TestRewrittenWeightsKeepTheirBound(t *testing.T) {
	g, clock := newGateway(t)
	f := &scriptedFeed{
		newest: []Batch[forward.OperatorChange]{batch(1, 5, configRecord(6)), batch(2, 3, configRecord(5))},
		reads:  []Batch[forward.OperatorChange]{batch(1, 5), batch(2, 6), batch(2, 4, forward.OperatorChange{Weights: &forward.WeightVersion{Model: "m", Version: 2}})},
	}
	r := newReader(g, f)
	pollAll(t, g, r, 2, func() { clock.advance(time.Second) })
	lastProof := clock.read()
	pollAll(t, g, r, 2, func() { clock.advance(time.Second) })
	started := clock.read()
	clock.advance(time.Second) // the long poll waited for the record
	b, err := f.Read(t.Context(), 3, 0)
	require.NoError(t, err)
	g.applyOperators(b.Records, started, false)
	since, outdated := g.state.rollout.RetiredSince("m", 1)
	require.True(t, outdated)
	require.Equal(t, lastProof, since)
}

// Guards against a process that starts between the return and the rewriting of the log, and
// that denies by an older configuration, or serves by it, while its peers have a newer one.
func TestStartingProcessWaitsForWhatItsPeersKnow(t *testing.T) {
	f := newFixture(t, serveRaw(t, respondOK("answer")))
	f.observeEra("operators", 0)
	status := func(path, key string) int { return f.status(t, path, key) }
	require.Equal(t, 200, status("/unsafe/x", "key"), "a log that never returns from an older copy")
	f.state.eras = forward.EraTracker{}
	f.state.startup = forward.Startup{}
	f.observeEra("operators", 3)
	refused := func() {
		t.Helper()
		require.False(t, f.Ready())
		require.Equal(t, 503, status("/unsafe/x", "key"))
		require.Equal(t, 503, status("/unsafe/x", "unknown"))
		require.Equal(t, 503, status("/nowhere/x", "key"))
	}
	refused() // no peer has told what it knows
	f.applyFacts(&factsMessage{Protocol: factsProtocol, Member: "10.0.0.2:7", Config: 1})
	refused() // not a member
	f.state.peerLoads.members = []string{f.memberID, "10.0.0.2:7"}
	f.applyFacts(&factsMessage{Protocol: factsProtocol, Member: "10.0.0.2:7", Config: 2})
	refused()
	newer := *f.state.table.Config
	newer.Version = 2
	f.applyOperators([]forward.OperatorChange{{Config: &newer}}, f.clock.read(), false)
	require.True(t, f.Ready())
	require.Equal(t, 200, status("/unsafe/x", "key"))
	require.Equal(t, 401, status("/unsafe/x", "unknown"))
}

// Guards against facts of a peer that are too young because they waited in the socket's
// buffer while this process was suspended, and against facts out of range: only the ages in
// an answer count, from when the question was sent.
func TestFactsOfAPeer(t *testing.T) {
	g, clock := newGateway(t)
	g.applyOperators([]forward.OperatorChange{{Weights: &forward.WeightVersion{Model: "m", Version: 2}}}, clock.read(), true)
	facts := func(answers time.Duration) *factsMessage {
		return &factsMessage{Protocol: factsProtocol, Member: "10.0.0.2:7", Answers: answers.Milliseconds(), Config: 7, Named: []factNaming{
			{"m", 2, 1, 3000, 2000}, {"m", -1, 0, 0, 0}, {"m", 5, -1, 0, 0}, {"m", 5, 0, 1, 2}, {"m", 5, 0, 3, -1}, {"m", 5, 0, 10_001, 0},
		}}
	}
	g.state.peerLoads.members = []string{"10.0.0.2:7"}
	require.False(t, g.applyFacts(&factsMessage{Member: "10.0.0.2:7"}))
	clock.advance(4 * time.Second)
	require.True(t, g.applyFacts(facts(0)), "the peer should be asked")
	require.True(t, g.state.rollout.NamingsUnknown(), "the message has no question that bounds its age")
	for name, answers := range map[string]time.Duration{
		"a question of an earlier process": g.createdAt - time.Millisecond,
		"a question that is too old":       clock.read() - factsAnswerLimit,
		"a question of the future":         clock.read() + time.Millisecond,
	} {
		g.applyFacts(facts(answers))
		require.True(t, g.state.rollout.NamingsUnknown(), name)
	}
	asked := clock.read()
	clock.advance(factsAnswerLimit - time.Millisecond) // the process is suspended while the answer waits
	require.False(t, g.applyFacts(facts(asked)), "nothing is left to ask for")
	since, _ := g.state.rollout.RetiredSince("m", 1)
	require.Equal(t, asked-3*time.Second, since)
	require.EqualValues(t, 2, g.state.rollout.NewestTargets()["m"])
	require.EqualValues(t, 7, g.state.peerConfigVersion(clock.read()))
	require.Zero(t, g.state.peerConfigVersion(clock.read()+factsTTL))
}

// memoryNamings is a NamingStore in memory.
type memoryNamings struct{ saved forward.NamingRecords }

func (m *memoryNamings) Save(_ context.Context, n forward.StoredNaming) error {
	m.saved.Namings = append(m.saved.Namings, n)
	return nil
}

func (m *memoryNamings) SaveProofs(_ context.Context, proofs []forward.NamingProof) error {
	m.saved.Proofs = append(m.saved.Proofs, proofs...)
	return nil
}

func (m *memoryNamings) Load(context.Context) (forward.NamingRecords, error) { return m.saved, nil }

// Guards against a full outage of the endpoints when all processes restart during a
// rollout. Load pattern: a version is named, all processes are lost two seconds later, and
// none of the endpoints has the version yet.
func TestRestartOfAllProcessesKeepsTheUseOfOlderWeights(t *testing.T) {
	const endpoints = 12
	namings := &memoryNamings{}
	g, clock := newGateway(t)
	g.namingStore = namings
	g.applyOperators(nil, clock.read(), true)
	g.applyOperators([]forward.OperatorChange{{Weights: &forward.WeightVersion{Model: "m", Version: 2}}}, clock.read(), false)
	require.Len(t, g.namingsToSave, 1)
	clock.advance(100 * time.Millisecond)
	require.NoError(t, g.saveNaming(t.Context(), <-g.namingsToSave))

	clock.advance(2 * time.Second)
	restarted := New(Options{Settings: testSettings(), Clock: clock.read, HeaderCodec: testHeaderCodec{}, NamingStore: namings, WallClock: g.wallClock})
	restarted.applyOperators([]forward.OperatorChange{{Weights: &forward.WeightVersion{Model: "m", Version: 2}}}, clock.read(), true)
	var changes []forward.EndpointChange
	for i := range endpoints {
		id := string(rune('a' + i))
		changes = append(changes, forward.EndpointChange{ID: id, Endpoint: &forward.Endpoint{ID: id, Service: "s", Models: []forward.ModelState{{Name: "m", Version: 1}}}})
	}
	restarted.applyEndpoints(changes, clock.read(), true)
	usable := func() (n int) {
		for _, c := range restarted.state.candidates("s", &forward.Prompt{Model: "m"}, 0, nil, clock.read()) {
			n += boolInt(!c.Excluded && c.Usable)
		}
		return n
	}
	require.Zero(t, usable())
	require.False(t, restarted.applyNamings(namings.saved), "no store's clock is known, so the ages are upper bounds")
	require.Equal(t, endpoints, usable())
	clock.advance(milliseconds(testSettings().VersionMs) - versionMargin - 7*time.Second)
	require.Zero(t, usable(), "the bound holds")
}

// Guards against older weights that come into use again when all processes restart after their
// bound, while orders to load the newer ones are still to be carried out. Load pattern: a version
// is named, orders get no answer, all processes are lost (deploy/days/unbarred.toml).
func TestRestartAfterTheBoundUsesNoOlderWeights(t *testing.T) {
	namings := &memoryNamings{}
	g, clock := newGateway(t)
	g.namingStore = namings
	g.applyOperators(nil, clock.read(), true)
	named := []forward.OperatorChange{{Weights: &forward.WeightVersion{Model: "m", Version: 2}}}
	g.applyOperators(named, clock.read(), false)
	require.NoError(t, g.saveNaming(t.Context(), <-g.namingsToSave))
	for _, killedAfter := range []time.Duration{milliseconds(testSettings().VersionMs) - versionMargin, milliseconds(testSettings().VersionMs) + time.Second} {
		clock.advance(killedAfter - clock.read() + time.Hour)
		restarted := New(Options{Settings: testSettings(), Clock: clock.read, HeaderCodec: testHeaderCodec{}, NamingStore: namings, WallClock: g.wallClock})
		restarted.applyOperators(named, clock.read(), true)
		endpoint := func(version int64) []forward.EndpointChange {
			return []forward.EndpointChange{{ID: "e", Endpoint: &forward.Endpoint{ID: "e", Service: "s", Models: []forward.ModelState{{Name: "m", Version: version}}}}}
		}
		excluded := func() bool {
			return restarted.state.candidates("s", &forward.Prompt{Model: "m"}, 0, nil, clock.read())[0].Excluded
		}
		restarted.applyEndpoints(endpoint(1), clock.read(), true)
		require.True(t, excluded(), "before the naming is recovered")
		restarted.applyNamings(namings.saved)
		require.True(t, excluded(), "after it is recovered")
		restarted.applyEndpoints(endpoint(2), clock.read(), false)
		require.False(t, excluded(), "the order was carried out late")
	}
}

// Guards against older weights that are used past their bound after a restart, because a
// process was suspended between reading its clock and the time of day.
func TestSuspensionDoesNotPostponeASavedNaming(t *testing.T) {
	namings := &memoryNamings{}
	g, clock := newGateway(t)
	g.namingStore = namings
	named := clock.read()
	unixMs := func() int64 { return clock.read().Milliseconds() }
	g.wallClock = func() time.Time {
		clock.advance(2 * time.Second)
		defer clock.advance(2 * time.Second)
		return time.UnixMilli(unixMs())
	}
	require.NoError(t, g.saveNaming(t.Context(), forward.Naming{WeightVersion: forward.WeightVersion{Model: "m", Version: 2}, SetAt: named, KnownAt: named + time.Second}))
	require.LessOrEqual(t, namings.saved.Namings[0].At.UnixMs, named.Milliseconds())
	require.GreaterOrEqual(t, namings.saved.Namings[0].KnownAt.UnixMs, (named + time.Second).Milliseconds())
}

// Guards against a full outage of the endpoints when a weight version is named while no
// entry runs. Load pattern: all processes are lost, a version is named, and all start again
// within seconds. The forwarding soak shows it with seed 503.
func TestVersionNamedWhileNoEntryRuns(t *testing.T) {
	namings := &memoryNamings{}
	g, clock := newGateway(t)
	g.namingStore = namings
	g.applyOperators(nil, clock.read(), true)
	g.applyOperators([]forward.OperatorChange{{Weights: &forward.WeightVersion{Model: "m", Version: 2}}}, clock.read(), false)
	require.NoError(t, g.saveNaming(t.Context(), <-g.namingsToSave))
	clock.advance(time.Minute)
	g.applyOperators(nil, clock.read(), false) // the last proof that nothing newer was named
	require.NoError(t, g.saveProofs(t.Context()))

	clock.advance(3 * time.Second)
	restarted := New(Options{Settings: testSettings(), Clock: clock.read, HeaderCodec: testHeaderCodec{}, NamingStore: namings, WallClock: g.wallClock})
	restarted.applyOperators([]forward.OperatorChange{{Weights: &forward.WeightVersion{Model: "m", Version: 3}}}, clock.read(), true)
	restarted.applyNamings(namings.saved)
	since, outdated := restarted.state.rollout.RetiredSince("m", 2)
	require.True(t, outdated)
	require.Greater(t, since, clock.read()-milliseconds(testSettings().VersionMs), "version 3 was named less than 3 s ago")
}

// statedClock is an EndpointControl whose reports state a clock, 0 for none.
type statedClock struct {
	EndpointControl
	ms      func() float64
	reports int
}

func (c *statedClock) ReadState(context.Context, forward.Endpoint) (forward.EndpointReport, ResponseInfo, error) {
	c.reports++
	return forward.EndpointReport{ClockMs: c.ms()}, ResponseInfo{}, nil
}

// Guards against a full outage of the endpoints after a restart of all processes in a
// deployment without stores, where the error of the time of day takes up most of the bound,
// and against reports that are requested again and again from endpoints that state no clock.
func TestReportStatesTheClockWhereNoStoreDoes(t *testing.T) {
	namings := &memoryNamings{}
	g, clock := newGateway(t)
	endpoints := &statedClock{ms: func() float64 { return 1e6 + float64(clock.read().Milliseconds()) }}
	start := func() *Gateway {
		n := New(Options{Settings: testSettings(), Clock: clock.read, HeaderCodec: testHeaderCodec{}, NamingStore: namings, EndpointControl: endpoints, WallClock: g.wallClock})
		n.applyEndpoints([]forward.EndpointChange{{ID: "e", Endpoint: &forward.Endpoint{ID: "e", Service: "s"}}}, clock.read(), true)
		return n
	}
	old := start()
	named := clock.read()
	require.NoError(t, old.saveNaming(t.Context(), forward.Naming{WeightVersion: forward.WeightVersion{Model: "m", Version: 2}, Previous: 1, SetAt: named, KnownAt: named}))
	clock.advance(5 * time.Second)
	restarted := start()
	restarted.applyOperators([]forward.OperatorChange{{Weights: &forward.WeightVersion{Model: "m", Version: 2}}}, clock.read(), true)
	restarted.readEndpointClock(t.Context())
	require.True(t, restarted.applyNamings(namings.saved))
	since, _ := restarted.state.rollout.RetiredSince("m", 1)
	require.LessOrEqual(t, since, named)
	require.Greater(t, since, named-1500*time.Millisecond, "only the age of the report is uncertain")
	restarted.readEndpointClock(t.Context())
	require.Equal(t, 2, endpoints.reports, "one for each process")

	endpoints.ms = func() float64 { return 0 }
	other := start()
	for range 10 {
		other.readEndpointClock(t.Context())
	}
	require.Equal(t, 3, endpoints.reports)
}
