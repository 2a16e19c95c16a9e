package replay

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/bench/trace"
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

// Guards against a fair queue that lets a customer with much work hold up others,
// starves a class, gives reserved slots away, or accepts what can't be in time.
func TestLocalAdmission(t *testing.T) {
	const rate = 10_000
	a := newFairAdmission(64, rate, time.Millisecond)
	offer := func(customer string, class int, deadline time.Duration) bool {
		return a.offer(&work{customer: customer, class: class, tokens: 1000, output: 1, deadline: deadline}, 0, 0)
	}
	for range 50 {
		require.True(t, offer("heavy", interactiveClass, time.Hour))
	}
	require.False(t, offer("heavy", interactiveClass, 4*time.Second), "50 of its own are ahead: 5 s")
	require.True(t, offer("light", interactiveClass, 4*time.Second))
	require.True(t, offer("heavy", batchClass, time.Hour))
	var order []string
	for range 20 {
		w := a.next(0)
		order = append(order, w.customer+string(rune('0'+w.class)))
	}
	require.Contains(t, order[:3], "light0", "after one of the heavy customer's and the batch class's share")
	require.Contains(t, order, "heavy2", "the batch class has a minimum share")
	require.True(t, offer("heavy", standardClass, time.Hour))
	for a.ahead(interactiveClass) > 0 {
		require.Equal(t, interactiveClass, a.next(64-reservedSlots).class)
	}
	require.Nil(t, a.next(64-reservedSlots))
	require.Nil(t, a.next(64))
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
