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

// short returns the first part of a trace, with its faults.
func short(t *testing.T, name string, length time.Duration) *trace.Trace {
	s, err := trace.Find(name)
	require.NoError(t, err)
	tr := trace.Generate(s)
	for i, a := range tr.Arrivals {
		if millis(a.AtMs) > length {
			tr.Arrivals = tr.Arrivals[:i]
			break
		}
	}
	tr.Deployment.WarmupMs = 0
	return tr
}

func simOf(tr *trace.Trace, o Options) *sim {
	s := newSim(tr, o)
	s.schedule()
	s.c.run()
	return s
}

// Guards against an output that depends on map order or on anything but the
// input, with every fault under way.
func TestSameInputSameOutput(t *testing.T) {
	tr := short(t, "guj-west-returning", 90*time.Second)
	for i, k := range []trace.FaultKind{trace.DomainLost, trace.EntriesLost, trace.EntriesSlow, trace.LinkSlow, trace.StoreLost, trace.WeightRollout} {
		f := trace.Fault{Kind: k, AtMs: float64(20_000 + 5000*i), ForMs: 30_000, Factor: 0.5, Target: tr.Deployment.Stores[0]}
		if k == trace.DomainLost {
			f.Target = tr.Deployment.FailureDomains[1]
		}
		tr.Faults = append(tr.Faults, f)
	}
	var outputs []string
	for range 2 {
		var lines []Decision
		res := Run(tr, Options{Policy: prefixcost.New(prefixcost.Options{}), Seed: seed, Decisions: func(d Decision) { lines = append(lines, d) }})
		data, err := json.Marshal([]any{res, lines})
		require.NoError(t, err)
		outputs = append(outputs, string(data))
	}
	require.True(t, outputs[0] == outputs[1], "seed %d", seed)
}

// Guards against fakes that lose requests, slots or tokens, or exceed a limit:
// after every fault each request has an end, and everything is free again.
func TestNothingIsLostOrExceeded(t *testing.T) {
	for _, fault := range []trace.Fault{
		{}, {Kind: trace.DomainLost, Target: "guj-west-b"}, {Kind: trace.EntriesLost, Factor: 0.7}, {Kind: trace.StoreLost, Target: "prompt-vault-a"},
		{Kind: trace.LinkSlow, Target: "prompt-vault-b", Factor: 0.1}, {Kind: trace.WeightRollout},
	} {
		for name, p := range map[string]routing.Policy{"prefix_cost": prefixcost.New(prefixcost.Options{}), "least_load": leastload.Policy{}, "sticky": sticky.Policy{}} {
			t.Run(string(fault.Kind)+" "+name, func(t *testing.T) {
				tr := short(t, "guj-west-bursts", 60*time.Second)
				fault.AtMs, fault.ForMs = 10_000, 20_000
				if fault.Kind != "" {
					tr.Faults = []trace.Fault{fault}
				}
				s := simOf(tr, Options{Policy: p, Seed: seed})
				for _, r := range s.requests {
					require.True(t, r.done && (r.refused || r.firstAt > 0 || r.missed), "request %d, seed %d", r.index, seed)
					require.False(t, r.refused && r.firstAt > 0, "request %d, seed %d", r.index, seed)
				}
				for _, a := range s.agents {
					require.Zero(t, a.engine.running, a.id)
					require.Zero(t, a.engine.ahead(batchClass)+a.queue.ahead(batchClass)+a.granted+a.enRoute, a.id)
					require.Empty(t, a.live, a.id)
					require.Empty(t, a.queue.work, a.id)
					for _, l := range a.links {
						require.Zero(t, l.active, a.id)
					}
					require.LessOrEqual(t, a.engine.cache.used, a.engine.cache.capacity)
				}
				for _, st := range s.stores {
					_, peak := st.link.use(time.Minute)
					require.LessOrEqual(t, peak, 1+1e-6)
					require.Zero(t, st.link.wait(background))
				}
				require.GreaterOrEqual(t, s.count.recomputed, s.count.unavailable)
				require.LessOrEqual(t, s.count.recomputed, s.count.had)
			})
		}
	}
}

// Guards against a fake cache that holds more than fits or drops the wrong one.
func TestCacheDropsTheLeastRecentlyUsed(t *testing.T) {
	var dropped []int32
	l := newLRU(1000, func(k contextKey, _ int) { dropped = append(dropped, k.conversation) })
	for i := range int32(3) {
		l.put(contextKey{conversation: i}, 300)
	}
	l.touch(contextKey{conversation: 0})
	l.put(contextKey{conversation: 3}, 400)
	l.put(contextKey{conversation: 3}, 100) // doesn't shrink
	l.put(contextKey{conversation: 4}, 2000)
	require.Equal(t, []int32{1}, dropped)
	require.Equal(t, 1000, l.used)
	require.Equal(t, 400, l.tokens(contextKey{conversation: 3}))
}

// Guards against background transfers that hold up foreground ones for more than
// a chunk, or take more than their share.
func TestLinkServesForegroundFirst(t *testing.T) {
	c := &clock{}
	l := newLink(c, chunkBytes) // one chunk a second
	ends := map[string]time.Duration{}
	send := func(name string, chunks float64, v level) {
		l.send(&transfer{bytes: chunks * chunkBytes, level: v, done: func(bool) { ends[name] = c.now }})
	}
	send("background", 3, background)
	c.at(500*time.Millisecond, func() { send("foreground", 2, foreground) })
	c.run()
	require.Equal(t, 3*time.Second, ends["foreground"], "it waits for the chunk that is under way")
	require.Equal(t, 6*time.Second, ends["background"], "a second of rest after each of its own")
}

// Guards against a queue whose tokens or works differ from the policy's, and
// against a policy other than the one that is asked for.
func TestQueueFollowsThePolicy(t *testing.T) {
	tr := short(t, "guj-west-returning", time.Second)
	for _, id := range []kernel.ID{fair.ID, fifo.ID} {
		q := newSim(tr, Options{Admission: id}).newQueue()
		var ws []*work
		for i := range 2 * tr.Deployment.Slots {
			customer := "heavy"
			if i >= 2*tr.Deployment.Slots-2 {
				customer = "light"
			}
			ws = append(ws, &work{customer: customer, class: i % classes, tokens: 1000, prompt: 2000, output: 1, deadline: time.Hour})
			require.True(t, q.offer(ws[i], 1, 0))
		}
		q.cancel(ws[0])
		light := 0
		for w := q.next(0); w != nil; w = q.next(0) {
			if w.customer == "light" {
				light++
			}
		}
		require.Equal(t, id == fair.ID, light == 2, id)
		require.Equal(t, q.policy.Load().Waiting, len(q.work), id)
		require.Equal(t, 1000*len(q.work), q.ahead(batchClass), id)
	}
}

// Guards against entries that multiply a customer's limit or cut customers that
// stay within theirs.
func TestLimitsCutOnlyTheHeavyCustomer(t *testing.T) {
	tr := short(t, "guj-west-heavy", 2*time.Minute)
	s := simOf(tr, Options{Policy: leastload.Policy{}, Seed: seed})
	d := tr.Deployment
	rate := d.Shares[0] * limitHeadroom * d.PrefillRate * float64(d.Endpoints)
	granted := 0.0
	for _, r := range s.requests {
		require.False(t, r.limited && r.customer != d.Customers[0], "request %d, seed %d", r.index, seed)
		if r.customer == d.Customers[0] && !r.limited {
			granted += float64(r.prompt + r.output)
		}
	}
	// The bound of core/limits: the reports' delay and one burst for each entry.
	lag := 2 * (2*limits.ReportInterval + usageDelay)
	require.Less(t, granted, rate*(2*time.Minute+lag+time.Duration(d.Entries)*limitBurst).Seconds(), "seed %d", seed)
	require.Positive(t, s.result(2*time.Minute).Limited, "seed %d", seed)
}

// Guards against exports that the placement policy didn't decide, and against a
// tier that isn't the decision's.
func TestExportsFollowThePolicy(t *testing.T) {
	tr := short(t, "guj-west-returning", 30*time.Second)
	tr.Contexts = nil
	for _, c := range []struct {
		id           kernel.ID
		memory, disk bool
	}{{baseline.NoneID, false, false}, {baseline.AlwaysID, true, true}, {value.ID, false, true}} { // an hour's memory costs value more than a slower fetch
		s := simOf(tr, Options{Policy: prefixcost.New(prefixcost.Options{}), Placement: c.id, Seed: seed})
		st := s.stores[0]
		require.Equal(t, []bool{c.memory, c.disk}, []bool{st.memory.used > 0, st.disk.used > 0}, "%s, seed %d", c.id, seed)
		require.Equal(t, c.disk, s.count.exported > 0, "%s, seed %d", c.id, seed)
	}
}

// Guards against a recorded log that can be read but not replayed.
func TestReplayOfARecordedLog(t *testing.T) {
	f, err := os.Open("../trace/recorded/small.jsonl")
	require.NoError(t, err)
	defer f.Close()
	tr, err := trace.Read(f)
	require.NoError(t, err)
	res := Run(tr, Options{Policy: prefixcost.New(prefixcost.Options{}), Seed: seed})
	require.Equal(t, 12, res.Requests)
	require.Zero(t, res.Refused)
}
