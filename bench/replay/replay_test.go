package replay

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/bench/trace"
	"github.com/galenaweir/galenaweir/core/admission/fair"
	"github.com/galenaweir/galenaweir/core/admission/fifo"
	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/limits"
	"github.com/galenaweir/galenaweir/core/placement/baseline"
	"github.com/galenaweir/galenaweir/core/placement/value"
	"github.com/galenaweir/galenaweir/core/routing"
	"github.com/galenaweir/galenaweir/core/routing/leastload"
	"github.com/galenaweir/galenaweir/core/routing/prefixcost"
	"github.com/galenaweir/galenaweir/core/routing/sticky"
)

const seed = 3

// shortTrace returns the arrivals of a trace up to the given time, with all its
// faults and without a warm-up.
func shortTrace(t *testing.T, name string, duration time.Duration) *trace.Trace {
	s, err := trace.FindSpec(name)
	require.NoError(t, err)
	tr := trace.Generate(s)
	for i, a := range tr.Arrivals {
		if millis(a.AtMs) > duration {
			tr.Arrivals = tr.Arrivals[:i]
			break
		}
	}
	tr.Deployment.WarmupMs = 0
	return tr
}

func runSim(tr *trace.Trace, o Options) *sim {
	s := newSim(tr, o)
	s.schedule()
	s.clock.run()
	return s
}

// Guards against output that depends on map order or on anything else than the
// input, while all kinds of faults are active.
func TestOutputIsDeterministic(t *testing.T) {
	tr := shortTrace(t, "guj-west-returning", 90*time.Second)
	for i, k := range []trace.FaultKind{trace.DomainLost, trace.EntriesLost, trace.EntriesSlow, trace.LinkSlow, trace.StoreLost, trace.WeightRollout} {
		f := trace.Fault{Kind: k, AtMs: float64(20_000 + 5000*i), DurationMs: 30_000, Factor: 0.5, Target: tr.Deployment.Stores[0]}
		if k == trace.DomainLost {
			f.Target = tr.Deployment.FailureDomains[1]
		}
		tr.Faults = append(tr.Faults, f)
	}
	var outputs []string
	for range 2 {
		var decisions []Decision
		res := Run(tr, Options{Policy: prefixcost.New(prefixcost.Options{}), Seed: seed, OnDecision: func(d Decision) { decisions = append(decisions, d) }})
		data, err := json.Marshal([]any{res, decisions})
		require.NoError(t, err)
		outputs = append(outputs, string(data))
	}
	require.True(t, outputs[0] == outputs[1], "seed %d", seed)
}

// Guards against fakes that lose requests, slots or tokens, or exceed a limit. After
// each fault, every request must have ended and all resources must be free.
func TestEveryRequestEndsAndResourcesAreFreed(t *testing.T) {
	for _, fault := range []trace.Fault{
		{}, {Kind: trace.DomainLost, Target: "guj-west-b"}, {Kind: trace.EntriesLost, Factor: 0.7}, {Kind: trace.StoreLost, Target: "prompt-vault-a"},
		{Kind: trace.LinkSlow, Target: "prompt-vault-b", Factor: 0.1}, {Kind: trace.WeightRollout},
	} {
		for name, p := range map[string]routing.Policy{"prefix_cost": prefixcost.New(prefixcost.Options{}), "least_load": leastload.Policy{}, "sticky": sticky.Policy{}} {
			t.Run(string(fault.Kind)+" "+name, func(t *testing.T) {
				tr := shortTrace(t, "guj-west-bursts", 60*time.Second)
				fault.AtMs, fault.DurationMs = 10_000, 20_000
				if fault.Kind != "" {
					tr.Faults = []trace.Fault{fault}
				}
				s := runSim(tr, Options{Policy: p, Seed: seed})
				for _, r := range s.requests {
					require.True(t, r.done && (r.refused || r.firstTokenAt > 0 || r.deadlineMissed), "request %d, seed %d", r.index, seed)
					require.False(t, r.refused && r.firstTokenAt > 0, "request %d, seed %d", r.index, seed)
				}
				for _, a := range s.agents {
					require.Zero(t, a.engine.running, a.id)
					require.Zero(t, a.engine.tokensAhead(batchClass)+a.queue.tokensAhead(batchClass)+a.importWaitTokens+a.inTransitTokens, a.id)
					require.Empty(t, a.active, a.id)
					require.Empty(t, a.queue.waiting, a.id)
					for _, l := range a.linkUse {
						require.Zero(t, l.activeImports, a.id)
					}
					require.LessOrEqual(t, a.engine.cache.usedTokens, a.engine.cache.capacityTokens)
				}
				for _, st := range s.stores {
					_, peak := st.link.utilization(time.Minute)
					require.LessOrEqual(t, peak, 1+1e-6)
					require.Zero(t, st.link.wait(background))
				}
				require.GreaterOrEqual(t, s.counts.recomputed, s.counts.unavailable)
				require.LessOrEqual(t, s.counts.recomputed, s.counts.builtBefore)
			})
		}
	}
}

// Guards against a fake cache that exceeds its capacity or evicts the wrong context.
func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	var evicted []int32
	l := newLRU(1000, func(k contextKey, _ int) { evicted = append(evicted, k.conversation) })
	for i := range int32(3) {
		l.put(contextKey{conversation: i}, 300)
	}
	l.touch(contextKey{conversation: 0})
	l.put(contextKey{conversation: 3}, 400)
	l.put(contextKey{conversation: 3}, 100) // must not shrink the context
	l.put(contextKey{conversation: 4}, 2000)
	require.Equal(t, []int32{1}, evicted)
	require.Equal(t, 1000, l.usedTokens)
	require.Equal(t, 400, l.tokens(contextKey{conversation: 3}))
}

// Guards against background transfers that delay foreground ones by more than one
// chunk or use more than their share of the link.
func TestLinkServesForegroundFirst(t *testing.T) {
	c := &clock{}
	l := newLink(c, chunkBytes) // one chunk per second
	ends := map[string]time.Duration{}
	send := func(name string, chunks float64, v transferPriority) {
		l.send(&transfer{bytes: chunks * chunkBytes, priority: v, done: func(bool) { ends[name] = c.now }})
	}
	send("background", 3, background)
	c.at(500*time.Millisecond, func() { send("foreground", 2, foreground) })
	c.run()
	require.Equal(t, 3*time.Second, ends["foreground"], "must wait only for the chunk in progress")
	require.Equal(t, 6*time.Second, ends["background"], "must pause for one second after each of its chunks")
}

// Guards against a queue whose items or token counts differ from the admission
// policy's, and against the use of another policy than the requested one.
func TestQueueMatchesAdmissionPolicy(t *testing.T) {
	tr := shortTrace(t, "guj-west-returning", time.Second)
	for _, id := range []kernel.ID{fair.ID, fifo.ID} {
		q := newSim(tr, Options{Admission: id}).newQueue()
		var items []*workItem
		for i := range 2 * tr.Deployment.Slots {
			customer := "heavy"
			if i >= 2*tr.Deployment.Slots-2 {
				customer = "light"
			}
			items = append(items, &workItem{customer: customer, class: i % classCount, prefillTokens: 1000, promptTokens: 2000, outputTokens: 1, deadline: time.Hour})
			require.True(t, q.offer(items[i], 1, 0))
		}
		q.cancel(items[0])
		light := 0
		for w := q.next(0); w != nil; w = q.next(0) {
			if w.customer == "light" {
				light++
			}
		}
		require.Equal(t, id == fair.ID, light == 2, id)
		require.Equal(t, q.policy.Load().Waiting, len(q.waiting), id)
		require.Equal(t, 1000*len(q.waiting), q.tokensAhead(batchClass), id)
	}
}

// Guards against entries that each grant a customer its whole limit, and against
// rejecting customers that stay within their limits.
func TestLimitsRejectOnlyHeavyCustomer(t *testing.T) {
	tr := shortTrace(t, "guj-west-heavy", 2*time.Minute)
	s := runSim(tr, Options{Policy: leastload.Policy{}, Seed: seed})
	d := tr.Deployment
	rate := d.CustomerShares[0] * limitHeadroom * d.PrefillTokensPerSecond * float64(d.Endpoints)
	granted := 0.0
	for _, r := range s.requests {
		require.False(t, r.limited && r.customer != d.Customers[0], "request %d, seed %d", r.index, seed)
		if r.customer == d.Customers[0] && !r.limited {
			granted += float64(r.promptTokens + r.outputTokens)
		}
	}
	// The bound of core/limits: the delay of the usage reports and one burst for each
	// entry.
	delay := 2 * (2*limits.ReportInterval + demandReportDelay)
	require.Less(t, granted, rate*(2*time.Minute+delay+time.Duration(d.Entries)*limitBurstTime).Seconds(), "seed %d", seed)
	require.Positive(t, s.result(2*time.Minute).LimitedShare, "seed %d", seed)
}

// Guards against exports that the placement policy did not decide, and against
// exports to another tier than the policy chose.
func TestExportsMatchPlacementPolicy(t *testing.T) {
	tr := shortTrace(t, "guj-west-returning", 30*time.Second)
	tr.PriorContexts = nil
	for _, c := range []struct {
		id           kernel.ID
		memory, disk bool
	}{{baseline.NoneID, false, false}, {baseline.AlwaysID, true, true}, {value.ID, false, true}} { // placement.value: an hour of memory costs more than a slower fetch
		s := runSim(tr, Options{Policy: prefixcost.New(prefixcost.Options{}), Placement: c.id, Seed: seed})
		st := s.stores[0]
		require.Equal(t, []bool{c.memory, c.disk}, []bool{st.memory.usedTokens > 0, st.disk.usedTokens > 0}, "%s, seed %d", c.id, seed)
		require.Equal(t, c.disk, s.counts.exported > 0, "%s, seed %d", c.id, seed)
	}
}

// Guards against a recorded decision log that can be read but not replayed.
func TestReplayRecordedLog(t *testing.T) {
	f, err := os.Open("../trace/recorded/small.jsonl")
	require.NoError(t, err)
	defer f.Close()
	tr, err := trace.Read(f)
	require.NoError(t, err)
	res := Run(tr, Options{Policy: prefixcost.New(prefixcost.Options{}), Seed: seed})
	require.Equal(t, 12, res.Requests)
	require.Zero(t, res.RefusedShare)
}
