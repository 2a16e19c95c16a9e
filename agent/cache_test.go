package agent

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/placement"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/protocol"
	"github.com/galenaweir/galenaweir/standin/store"
)

// Outcome 1: a returning prompt whose pieces were evicted is not recomputed.
func TestReturningPromptIsImported(t *testing.T) {
	r := newRig(t, storeOptions(), nil)
	r.fill("a")
	require.Len(t, r.st.List(""), pieces)
	require.Equal(t, whole, r.run("a"))
	require.EqualValues(t, pieces, r.cache.Stats.Imported.Load())
	require.Equal(t, whole, r.run("a"))
	require.EqualValues(t, pieces, r.cache.Stats.Fetches.Load(), "what the engine holds is not fetched again")
}

// P1: whatever a store does to a block, the answer is whole, nothing wrong is
// imported, and after the fault the block is stored and imported again.
func TestStoreFaultsMeanRecompute(t *testing.T) {
	for name, f := range map[string]store.Faults{
		"dead":                       {Dead: true},
		"killed in mid-read":         {CrashReads: pieces},
		"flipped bit":                {FlipBits: pieces},
		"freed and reused in a read": {ReuseInReads: pieces},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, storeOptions(), nil)
			r.fill("a")
			r.st.SetFaults(f)
			require.Zero(t, r.run("a"))
			require.EqualValues(t, 1, r.cache.Stats.ImportFailures.Load())
			r.st.SetFaults(store.Faults{})
			r.run("a")
			r.export()
			r.eng.Evict()
			require.Equal(t, whole, r.run("a"))
		})
	}
}

// P1: a store killed in mid-write, or full, leaves nothing that can be read.
func TestFailedExportLeavesNothing(t *testing.T) {
	for name, f := range map[string]store.Faults{"killed in mid-write": {CrashWrites: 1}, "full": {Full: true}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, storeOptions(), nil)
			r.st.SetFaults(f)
			r.fill("a")
			require.Empty(t, r.st.List(""))
			require.Zero(t, r.run("a"))
		})
	}
}

// A block that is intact in the store but sealed for another identity or under
// another key must not reach the engine (P2).
func TestForeignBlockUnderOwnKeyIsRefused(t *testing.T) {
	r := newRig(t, storeOptions(), nil)
	r.fill("a")
	req := r.request("a")
	p := r.cache.describe(r.doc, req, fmt.Sprintf("%x", prefix.Derive(prefix.DeriveCustomerKey([]byte("secret"), "a"), "salt", "m", "")), "v1")
	foreign, err := prefix.Seal(prefix.DeriveCustomerKey([]byte("secret"), "b"), p.piece(0), make([]byte, pieceKV))
	require.NoError(t, err)
	_, err = r.cache.o.Store.Put(t.Context(), p.storeAt, prefix.StoreKey(p.key, p.piece(0)), "memory", foreign)
	require.NoError(t, err)
	require.Zero(t, r.finish(req))
	require.EqualValues(t, 1, r.cache.Stats.ImportFailures.Load())
	r.export()
	r.eng.Evict()
	require.Equal(t, whole, r.run("a"), "the bad block was discarded and replaced")
}

// A slow store costs at most the time of a recompute, and is then avoided; no
// fetch is begun that leaves no time to recompute before the deadline.
func TestSlowStoreIsAvoided(t *testing.T) {
	r := newRig(t, storeOptions(), nil)
	r.fill("a")
	m := r.doc.Models["m"]
	req := r.request("a")
	req.DeadlineMs = (30 * time.Second).Milliseconds() // recomputing is estimated at 100 s
	require.Zero(t, r.finish(req))
	require.Zero(t, r.cache.Stats.Fetches.Load(), "no time to recompute after a failed fetch")
	r.eng.Evict()
	m.PrefillTokensPerSecond = 1e5
	r.doc.Models["m"] = m
	r.st.SetFaults(store.Faults{SlowRate: 1})
	require.Zero(t, r.run("a"))
	require.EqualValues(t, 1, r.cache.Stats.ImportFailures.Load())
	l := r.cache.link(r.cache.describe(r.doc, req, "", "v1"))
	require.NoError(t, l.waitIdle(t.Context()), "the fetches end after the prompt gave up on them")
	r.eng.Evict()
	n := r.cache.Stats.Fetches.Load()
	require.Zero(t, r.run("a"))
	require.Equal(t, n, r.cache.Stats.Fetches.Load(), "the measured rate makes recomputing faster")
}

// P3: blocks of the version before a swap are not used after it.
func TestEngineSwapped(t *testing.T) {
	r := newRig(t, storeOptions(), nil)
	r.fill("a")
	require.NoError(t, r.cache.o.Engine.SendOrder(t.Context(), r.doc.Endpoints["e"].Address, protocol.Order{FencingToken: 1, WeightVersion: "v2"}))
	for r.eng.State().WeightVersion != "v2" {
		runtime.Gosched() // until the stand-in's timer has fired
	}
	require.Zero(t, r.run("a"))
	require.Zero(t, r.cache.Stats.Imported.Load())
}

// careless is an engine that is swapped while a block is fetched and does not
// check the version that an import names.
type careless struct {
	protocol.Engine
	mu      sync.Mutex
	states  int
	imports int
	exports int
	version string // of exports
}

func (e *careless) EngineState(context.Context, string) (protocol.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.states++
	if e.states == 1 {
		return protocol.EngineState{WeightVersion: "v1"}, nil
	}
	return protocol.EngineState{WeightVersion: "v2"}, nil
}

func (e *careless) Import(context.Context, string, prefix.Hash, string, []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.imports++
	return nil
}

func (e *careless) Export(context.Context, string, prefix.Hash) ([]byte, string, error) {
	e.exports++
	return make([]byte, pieceKV), e.version, nil
}

// P3: the agent itself compares versions right before an import and after an
// export, also for engines that don't.
func TestVersionIsComparedByTheAgent(t *testing.T) {
	r := newRig(t, storeOptions(), nil)
	r.fill("a")
	e := &careless{Engine: r.cache.o.Engine, version: "v2"}
	r.cache.o.Engine = e
	require.Zero(t, r.run("a"))
	require.NotZero(t, r.cache.Stats.Fetches.Load())
	require.Zero(t, e.imports)
	p := r.cache.describe(r.doc, r.request("b"), "", "v1")
	err := r.cache.exportPiece(t.Context(), r.cache.policy(r.doc), p, p.piece(0), placement.Decision{Tier: placement.Memory}, &placement.Candidate{})
	require.ErrorIs(t, err, protocol.ErrWeightVersionMismatch)
}

// P2: equal prompts of two customers share nothing, in the engine or the store.
func TestCustomersShareNothing(t *testing.T) {
	r := newRig(t, storeOptions(), nil)
	r.run("a")
	require.Zero(t, r.run("b"), "the engine's cache is separated by salts")
	r.export()
	require.Len(t, r.st.List(""), 2*pieces, "no key is shared")
	r.eng.Evict()
	require.Equal(t, whole, r.run("b"))
	require.EqualValues(t, pieces, r.cache.Stats.Fetches.Load())
	require.Zero(t, r.run("c"), "a customer without blocks finds none")
}

// counting holds the engine's answers until all callers have come.
type counting struct {
	protocol.Engine
	all *sync.WaitGroup
}

func (e counting) EngineState(ctx context.Context, address string) (protocol.EngineState, error) {
	s, err := e.Engine.EngineState(ctx, address)
	e.all.Done()
	e.all.Wait()
	return s, err
}

// A context that is likely to return is back in the engine before it does; not
// while the link is in use, not before it is due, and not under another version.
func TestPrefetch(t *testing.T) {
	for name, c := range map[string]struct {
		after   time.Duration
		use     float64
		version string
		want    int64
	}{
		"due": {2 * time.Hour, 0, "v1", pieces}, "link in use": {2 * time.Hour, 1, "v1", 0},
		"not due": {0, 0, "v1", 0}, "another version": {2 * time.Hour, 0, "v2", 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, storeOptions(), nil)
			r.doc.Policies.Placement = "placement.value"
			for range 3 { // a chance of return of 60%
				r.fill("a")
			}
			fetched := r.cache.Stats.Fetches.Load()
			now := r.cache.o.Now().Add(c.after)
			r.cache.o.Now = func() time.Time { return now }
			l := r.cache.link(r.cache.planned[0].p)
			l.now, l.use, l.useAt = r.cache.o.Now, c.use, now
			r.cache.planned[0].p.id.WeightVersion = c.version
			r.cache.prefetch(t.Context())
			require.Equal(t, c.want, r.cache.Stats.Fetches.Load()-fetched)
			if c.want > 0 {
				require.Equal(t, whole, r.run("a"))
				require.Equal(t, c.want, r.cache.Stats.Fetches.Load()-fetched, "the returning prompt needs no fetch")
			}
		})
	}
}

// One fetch serves all waiting requests of one customer.
func TestFetchesAreCoalesced(t *testing.T) {
	const requests = 8
	r := newRig(t, storeOptions(), nil)
	r.fill("a")
	p := r.cache.describe(r.doc, r.request("a"), fmt.Sprintf("%x", prefix.Derive(prefix.DeriveCustomerKey([]byte("secret"), "a"), "salt", "m", "")), "v1")
	var all, done sync.WaitGroup
	all.Add(1) // the import's own look at the state, which ends the only flight
	r.cache.o.Engine = counting{r.cache.o.Engine, &all}
	all.Add(requests)
	for range requests {
		done.Go(func() {
			all.Done()
			require.NoError(t, r.cache.importOne(t.Context(), p, p.piece(0), time.Minute))
		})
	}
	done.Wait()
	require.NoError(t, r.cache.importOne(t.Context(), p, p.piece(0), time.Minute))
	require.EqualValues(t, 1, r.cache.Stats.Fetches.Load(), "whoever comes late finds the piece in the engine")
}

// A store that is full takes a new block in place of those given up for it.
func TestFullStoreMakesWay(t *testing.T) {
	const envelopeRoom = 512
	r := newRig(t, store.Options{MemoryBytes: pieces * (pieceKV + envelopeRoom)}, nil)
	r.fill("a")
	r.fill("b")
	require.EqualValues(t, pieces, r.cache.Stats.Freed.Load())
	require.Equal(t, whole, r.run("b"))
	require.Zero(t, r.run("a"))
}

// Background exports never begin while a foreground transfer is on the link.
func TestExportsWaitForForeground(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(0, time.Now)
		l.begin(1)
		ended := false
		go func() {
			require.NoError(t, l.waitIdle(t.Context()))
			ended = true
		}()
		synctest.Wait()
		require.False(t, ended)
		l.end(1, 1, false)
		synctest.Wait()
		require.True(t, ended)
	})
	r := newRig(t, storeOptions(), nil)
	e := &careless{version: "v1"}
	r.cache.o.Engine = e
	p := r.cache.describe(r.doc, r.request("a"), "", "v1")
	r.cache.link(p).begin(1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Error(t, r.cache.exportPiece(ctx, r.cache.policy(r.doc), p, p.piece(0), placement.Decision{Tier: placement.Memory}, &placement.Candidate{}))
	require.Zero(t, e.exports)
}

// scripted serves cache events from a list.
type scripted struct {
	protocol.Engine
	events []protocol.CacheEvent
}

func (s *scripted) CacheEvents(_ context.Context, _ string, after uint64) (out []protocol.CacheEvent, _ error) {
	for _, e := range s.events {
		if e.Number > after {
			out = append(out, e)
		}
	}
	return out, nil
}

// Lost events and an engine that restarted must not leave the agent with pieces
// that the engine no longer holds, which would be recomputed at every return.
func TestCacheEventsAreFollowed(t *testing.T) {
	ev := func(n uint64, block byte, evicted bool) protocol.CacheEvent {
		return protocol.CacheEvent{Number: n, Block: prefix.Hash{block}, Evicted: evicted}
	}
	chain := []prefix.Hash{{1}, {2}, {3}}
	s := &scripted{}
	v := newEngineView()
	for _, c := range []struct {
		name    string
		events  []protocol.CacheEvent
		missing []int
		resyncs int
	}{
		{"first events", []protocol.CacheEvent{ev(1, 1, false), ev(2, 2, false)}, []int{2}, 0},
		{"eviction", []protocol.CacheEvent{ev(1, 1, false), ev(2, 2, false), ev(3, 1, true)}, []int{0, 2}, 0},
		{"gap", []protocol.CacheEvent{ev(3, 1, true), ev(5, 3, false)}, []int{0, 1}, 1},
		{"old events dropped", []protocol.CacheEvent{ev(8, 1, false)}, []int{1, 2}, 2},
		{"restart", []protocol.CacheEvent{ev(1, 2, false)}, []int{0, 2}, 3},
		{"all lost", nil, []int{0, 1, 2}, 4},
	} {
		s.events = c.events
		_, err := v.refresh(t.Context(), s, "")
		require.NoError(t, err, c.name)
		require.Equal(t, c.missing, v.missing(chain), c.name)
		require.Equal(t, c.resyncs, v.resyncs, c.name)
	}
	s.events = []protocol.CacheEvent{ev(1, 1, false), ev(2, 2, false), ev(3, 1, true), ev(4, 2, true), ev(5, 1, false)}
	evicted, err := v.refresh(t.Context(), s, "")
	require.NoError(t, err)
	require.Equal(t, []prefix.Hash{{2}}, evicted, "a piece that came back is not evicted")
}
