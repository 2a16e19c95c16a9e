package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against ranks that differ between entries, have gaps or put a customer's short requests
// behind its long ones.
func TestRanksOfAConfiguration(t *testing.T) {
	short, long := Route{Priority: 0, CarriesPrompts: true}, Route{Priority: 2, CarriesPrompts: true}
	plain, public := Route{Priority: 1}, Route{Priority: 5, CarriesPrompts: true, Public: true}
	first, second := Customer{Priority: 1, HasPriority: true}, Customer{Priority: 4, HasPriority: true}
	none := Customer{}
	routes := []Route{long, plain, short}
	var many []Customer
	for i := range 8 {
		many = append(many, Customer{Priority: i, HasPriority: true})
	}
	type request struct {
		route    *Route
		customer *Customer
	}
	for name, c := range map[string]struct {
		config Config
		want   map[request]int
	}{
		"no customers":           {Config{Routes: routes}, map[request]int{{&short, nil}: 0, {&long, nil}: 1}},
		"customers":              {Config{Routes: routes, Customers: []Customer{second, first}}, map[request]int{{&short, &first}: 0, {&long, &first}: 1, {&short, &second}: 2, {&long, &second}: 3}},
		"no priority":            {Config{Routes: routes, Customers: []Customer{none, first}}, map[request]int{{&short, &none}: 0, {&short, &first}: 1, {&long, &first}: 2, {&long, &none}: 3}},
		"public route":           {Config{Routes: []Route{public}, Customers: []Customer{first}}, map[request]int{{&public, &first}: 0, {&public, nil}: 1}},
		"more pairs than ranks":  {Config{Routes: routes, Customers: many}, map[request]int{{&short, &many[4]}: 8, {&long, &many[4]}: 9, {&short, &many[5]}: 9, {&long, &many[7]}: 9}},
		"of an earlier document": {Config{Routes: []Route{long}, Customers: []Customer{second}}, map[request]int{{&short, &first}: 0, {&long, &second}: 0, {&public, nil}: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(&c.config)
			for r, want := range c.want {
				require.Equal(t, want, table.Rank(r.route, r.customer), "%v %v", *r.route, r.customer)
			}
		})
	}
}

// Guards against a load whose prefill by rank doesn't return to zero, and against prefill of an unknown
// rank that is taken for less urgent.
func TestLoadAhead(t *testing.T) {
	var l EndpointLoad
	works := []RequestLoad{{PrefillTokens: 100, Ranked: true}, {PrefillTokens: 3000, Ranked: true, Rank: 2}, {PrefillTokens: 500, Ranked: true, Rank: LastRank}, {PrefillTokens: 7}}
	for _, w := range works {
		l.Add(w)
	}
	for name, c := range map[string]struct{ rank, want int }{
		"the first":   {0, 107 + chunkTokens},
		"in between":  {1, 107 + chunkTokens},
		"a later one": {2, 107 + 3000 + 500},
		"the last":    {LastRank, 3607},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, l.AheadOf(c.rank).PrefillTokens) })
	}
	l.MemoryTokens = 4000
	require.Equal(t, 500, l.AheadOf(0).MemoryTokens, "prompts that wait behind it hold none")
	l.MemoryTokens = 0
	sum := l.Plus(l)
	require.Equal(t, 6000, sum.PrefillByRank[2])
	require.Equal(t, l, sum.Minus(l))
	for i := range works {
		l.RecordFirstEvent(&works[i])
		l.Remove(&works[i])
	}
	require.Equal(t, EndpointLoad{}, l)
}

// Guards against urgent prompts that avoid or are refused because of prefill that waits for them.
func TestUrgentPromptsDoNotWaitForOthers(t *testing.T) {
	var l EndpointLoad
	l.Add(RequestLoad{PrefillTokens: 20_000, Ranked: true, Rank: 3})
	cs := []Candidate{{Endpoint: Endpoint{ID: "e"}, Load: l, Usable: true}}
	p := &Prompt{Model: "m", Tokens: 2400, MaxOutput: 4, Parts: []Part{{"own", 2400}}}
	wait := func(ranked bool, rank int) time.Duration {
		return Choose(PlacementRequest{Prompt: p, Engine: &Engine{CapacityTokens: 90_000}, Ranked: ranked, Rank: rank}, cs).QueueWait
	}
	require.Greater(t, wait(false, 0), 400*time.Millisecond)
	require.Greater(t, wait(true, 3), 400*time.Millisecond)
	require.Less(t, wait(true, 2), 50*time.Millisecond, "one chunk")
}
