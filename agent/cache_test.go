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

// Guards against recomputing a repeated prompt whose pieces the engine has evicted but
// the store still holds, and against fetching pieces that the engine holds.
func TestRepeatedPromptIsImported(t *testing.T) {
	r := newHarness(t, storeOptions(), nil)
	r.exportAndEvict("a")
	require.Len(t, r.store.List(""), promptPieceCount)
	require.Equal(t, cacheableTokens, r.run("a"))
	require.EqualValues(t, promptPieceCount, r.cache.Stats.ImportedPieces.Load())
	require.Equal(t, cacheableTokens, r.run("a"))
	require.EqualValues(t, promptPieceCount, r.cache.Stats.Fetches.Load(), "pieces that the engine holds are not fetched again")
}

// Guards against store faults that corrupt an answer or reach the engine, and against
// a block that is not exported and imported again after the fault.
func TestStoreFaultsCauseRecompute(t *testing.T) {
	for name, f := range map[string]store.Faults{
		"dead":                       {Dead: true},
		"killed in mid-read":         {CrashReads: promptPieceCount},
		"flipped bit":                {FlipBits: promptPieceCount},
		"freed and reused in a read": {ReuseInReads: promptPieceCount},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, storeOptions(), nil)
			r.exportAndEvict("a")
			r.store.SetFaults(f)
			require.Zero(t, r.run("a"))
			require.EqualValues(t, 1, r.cache.Stats.ImportFailures.Load())
			r.store.SetFaults(store.Faults{})
			r.run("a")
			r.runExports()
			r.engine.EvictAll()
			require.Equal(t, cacheableTokens, r.run("a"))
		})
	}
}

// Guards against a readable partial block after a store was full or was killed during
// a write.
func TestFailedExportLeavesNothing(t *testing.T) {
	for name, f := range map[string]store.Faults{"killed in mid-write": {CrashWrites: 1}, "full": {RejectAllocations: true}} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, storeOptions(), nil)
			r.store.SetFaults(f)
			r.exportAndEvict("a")
			require.Empty(t, r.store.List(""))
			require.Zero(t, r.run("a"))
		})
	}
}

// Guards against importing a block that is intact but was sealed under another
// customer's key.
func TestForeignBlockUnderOwnKeyIsRefused(t *testing.T) {
	r := newHarness(t, storeOptions(), nil)
	r.exportAndEvict("a")
	req := r.request("a")
	p := r.cache.newPromptPieces(r.doc, req, fmt.Sprintf("%x", prefix.Derive(prefix.DeriveCustomerKey([]byte("secret"), "a"), "salt", "m", "")), "v1")
	foreign, err := prefix.Seal(prefix.DeriveCustomerKey([]byte("secret"), "b"), p.pieceIdentity(0), make([]byte, pieceBytes))
	require.NoError(t, err)
	_, err = r.cache.opts.Store.Put(t.Context(), p.storeAddress, prefix.StoreKey(p.customerKey, p.pieceIdentity(0)), "memory", foreign)
	require.NoError(t, err)
	require.Zero(t, r.runRequest(req))
	require.EqualValues(t, 1, r.cache.Stats.ImportFailures.Load())
	r.runExports()
	r.engine.EvictAll()
	require.Equal(t, cacheableTokens, r.run("a"), "the foreign block was discarded and replaced")
}

// Guards against a slow store that delays a prompt longer than a recompute would or
// that is used again at once, and against a fetch that leaves no time to recompute
// before the deadline.
func TestSlowStoreIsAvoided(t *testing.T) {
	r := newHarness(t, storeOptions(), nil)
	r.exportAndEvict("a")
	m := r.doc.Models["m"]
	req := r.request("a")
	req.DeadlineMs = (30 * time.Second).Milliseconds() // recomputing is estimated at 100 s
	require.Zero(t, r.runRequest(req))
	require.Zero(t, r.cache.Stats.Fetches.Load(), "no time to recompute after a failed fetch")
	r.engine.EvictAll()
	m.PrefillTokensPerSecond = 1e5
	r.doc.Models["m"] = m
	r.store.SetFaults(store.Faults{LinkBytesPerSecond: 1})
	require.Zero(t, r.run("a"))
	require.EqualValues(t, 1, r.cache.Stats.ImportFailures.Load())
	l := r.cache.link(r.cache.newPromptPieces(r.doc, req, "", "v1"))
	require.NoError(t, l.waitIdle(t.Context()), "the fetches end after the import has timed out")
	r.engine.EvictAll()
	n := r.cache.Stats.Fetches.Load()
	require.Zero(t, r.run("a"))
	require.Equal(t, n, r.cache.Stats.Fetches.Load(), "the measured rate makes recomputing faster")
}

// Guards against importing blocks of the previous weight version after an engine has
// loaded another one.
func TestOldVersionIsNotImported(t *testing.T) {
	r := newHarness(t, storeOptions(), nil)
	r.exportAndEvict("a")
	require.NoError(t, r.cache.opts.Engine.SendOrder(t.Context(), r.doc.Endpoints["e"].Address, protocol.Order{FencingToken: 1, WeightVersion: "v2"}))
	for r.engine.State().WeightVersion != "v2" {
		runtime.Gosched() // until the stand-in has loaded the version
	}
	require.Zero(t, r.run("a"))
	require.Zero(t, r.cache.Stats.ImportedPieces.Load())
}

// versionChangingEngine is an engine whose weight version changes while a block is
// fetched, and that does not check the version of an import.
type versionChangingEngine struct {
	protocol.Engine
	mu            sync.Mutex
	states        int
	imports       int
	exports       int
	exportVersion string // reported with each export
}

func (e *versionChangingEngine) EngineState(context.Context, string) (protocol.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.states++
	if e.states == 1 {
		return protocol.EngineState{WeightVersion: "v1"}, nil
	}
	return protocol.EngineState{WeightVersion: "v2"}, nil
}

func (e *versionChangingEngine) Import(context.Context, string, prefix.Hash, string, []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.imports++
	return nil
}

func (e *versionChangingEngine) Export(context.Context, string, prefix.Hash) ([]byte, string, error) {
	e.exports++
	return make([]byte, pieceBytes), e.exportVersion, nil
}

// Guards against relying on the engine to check weight versions: the agent compares
// them itself, right before an import and after an export.
func TestAgentChecksWeightVersion(t *testing.T) {
	r := newHarness(t, storeOptions(), nil)
	r.exportAndEvict("a")
	e := &versionChangingEngine{Engine: r.cache.opts.Engine, exportVersion: "v2"}
	r.cache.opts.Engine = e
	require.Zero(t, r.run("a"))
	require.NotZero(t, r.cache.Stats.Fetches.Load())
	require.Zero(t, e.imports)
	p := r.cache.newPromptPieces(r.doc, r.request("b"), "", "v1")
	err := r.cache.exportPiece(t.Context(), r.cache.placementPolicy(r.doc), p, p.pieceIdentity(0), placement.Decision{Tier: placement.Memory}, &placement.Candidate{})
	require.ErrorIs(t, err, protocol.ErrWeightVersionMismatch)
}

// Guards against sharing cache blocks between customers with equal prompts, in the
// engine or in the store.
func TestCustomersShareNothing(t *testing.T) {
	r := newHarness(t, storeOptions(), nil)
	r.run("a")
	require.Zero(t, r.run("b"), "the engine's cache is separated by salts")
	r.runExports()
	require.Len(t, r.store.List(""), 2*promptPieceCount, "no key is shared")
	r.engine.EvictAll()
	require.Equal(t, cacheableTokens, r.run("b"))
	require.EqualValues(t, promptPieceCount, r.cache.Stats.Fetches.Load())
	require.Zero(t, r.run("c"), "a customer without blocks of its own finds none")
}

// barrierEngine delays the answer to EngineState until the wait group's counter is
// zero. Each call of EngineState counts as one arrival.
type barrierEngine struct {
	protocol.Engine
	arrivals *sync.WaitGroup
}

func (e barrierEngine) EngineState(ctx context.Context, address string) (protocol.EngineState, error) {
	s, err := e.Engine.EngineState(ctx, address)
	e.arrivals.Done()
	e.arrivals.Wait()
	return s, err
}

// Guards against a context that is likely to return but is not prefetched when it is
// due, and against a prefetch while the link is in use, before the context is due, or
// under another weight version.
func TestPrefetch(t *testing.T) {
	for name, c := range map[string]struct {
		after   time.Duration
		use     float64
		version string
		want    int64
	}{
		"due": {2 * time.Hour, 0, "v1", promptPieceCount}, "link in use": {2 * time.Hour, 1, "v1", 0},
		"not due": {0, 0, "v1", 0}, "another version": {2 * time.Hour, 0, "v2", 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, storeOptions(), nil)
			r.doc.Policies.Placement = "placement.value"
			for range 3 { // makes the estimated probability of a return 60%
				r.exportAndEvict("a")
			}
			fetched := r.cache.Stats.Fetches.Load()
			now := r.cache.opts.Now().Add(c.after)
			r.cache.opts.Now = func() time.Time { return now }
			l := r.cache.link(r.cache.plannedPrefetches[0].prompt)
			l.now, l.use, l.useUpdatedAt = r.cache.opts.Now, c.use, now
			r.cache.plannedPrefetches[0].prompt.identity.WeightVersion = c.version
			r.cache.prefetchDue(t.Context())
			require.Equal(t, c.want, r.cache.Stats.Fetches.Load()-fetched)
			if c.want > 0 {
				require.Equal(t, cacheableTokens, r.run("a"))
				require.Equal(t, c.want, r.cache.Stats.Fetches.Load()-fetched, "the repeated prompt needs no fetch")
			}
		})
	}
}

// Guards against fetching the same block more than once for concurrent requests of one
// customer.
func TestFetchesAreCoalesced(t *testing.T) {
	const requests = 8
	r := newHarness(t, storeOptions(), nil)
	r.exportAndEvict("a")
	p := r.cache.newPromptPieces(r.doc, r.request("a"), fmt.Sprintf("%x", prefix.Derive(prefix.DeriveCustomerKey([]byte("secret"), "a"), "salt", "m", "")), "v1")
	var all, done sync.WaitGroup
	all.Add(1) // for the EngineState call at the end of the only import
	r.cache.opts.Engine = barrierEngine{r.cache.opts.Engine, &all}
	all.Add(requests)
	for range requests {
		done.Go(func() {
			all.Done()
			require.NoError(t, r.cache.importPiece(t.Context(), p, p.pieceIdentity(0), time.Minute))
		})
	}
	done.Wait()
	require.NoError(t, r.cache.importPiece(t.Context(), p, p.pieceIdentity(0), time.Minute))
	require.EqualValues(t, 1, r.cache.Stats.Fetches.Load(), "a later request finds the piece in the engine")
}

// Guards against a full store that takes no new blocks although the policy
// evicts others.
func TestFullStoreFreesBlocks(t *testing.T) {
	const envelopeRoom = 512
	r := newHarness(t, store.Options{MemoryBytes: promptPieceCount * (pieceBytes + envelopeRoom)}, nil)
	r.exportAndEvict("a")
	r.exportAndEvict("b")
	require.EqualValues(t, promptPieceCount, r.cache.Stats.FreedBlocks.Load())
	require.Equal(t, cacheableTokens, r.run("b"))
	require.Zero(t, r.run("a"))
}

// Guards against a background export that starts while a foreground transfer is active.
func TestExportsWaitForForeground(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newStoreLink(0, time.Now)
		l.beginTransfer(1)
		ended := false
		go func() {
			require.NoError(t, l.waitIdle(t.Context()))
			ended = true
		}()
		synctest.Wait()
		require.False(t, ended)
		l.endTransfer(1, 1, false)
		synctest.Wait()
		require.True(t, ended)
	})
	r := newHarness(t, storeOptions(), nil)
	e := &versionChangingEngine{exportVersion: "v1"}
	r.cache.opts.Engine = e
	p := r.cache.newPromptPieces(r.doc, r.request("a"), "", "v1")
	r.cache.link(p).beginTransfer(1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Error(t, r.cache.exportPiece(ctx, r.cache.placementPolicy(r.doc), p, p.pieceIdentity(0), placement.Decision{Tier: placement.Memory}, &placement.Candidate{}))
	require.Zero(t, e.exports)
}

// eventListEngine is an engine that returns cache events from a list.
type eventListEngine struct {
	protocol.Engine
	events []protocol.CacheEvent
}

func (l *eventListEngine) CacheEvents(_ context.Context, _ string, after uint64) (out []protocol.CacheEvent, _ error) {
	for _, e := range l.events {
		if e.Number > after {
			out = append(out, e)
		}
	}
	return out, nil
}

// Guards against a view that still contains pieces after the engine has restarted or
// events were lost: such pieces would never be imported, but recomputed each time.
func TestEngineViewDetectsLostEvents(t *testing.T) {
	ev := func(n uint64, block byte, evicted bool) protocol.CacheEvent {
		return protocol.CacheEvent{Number: n, Block: prefix.Hash{block}, Evicted: evicted}
	}
	chain := []prefix.Hash{{1}, {2}, {3}}
	s := &eventListEngine{}
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
	require.Equal(t, []prefix.Hash{{2}}, evicted, "a piece that was added again is not reported as evicted")
}
