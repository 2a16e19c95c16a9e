package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// choosePrefix places a prompt with the given shared parts on the only endpoint.
func choosePrefix(stores []*StoreView, r *Residency, now time.Duration, parts ...Part) Choice {
	p := &Prompt{Model: "m", MaxOutput: 4, Parts: append(parts, Part{"own", 100})}
	for _, part := range p.Parts {
		p.Tokens += part.Tokens
	}
	return Choose(PlacementRequest{
		Prompt: p, Engine: &Engine{CapacityTokens: 1 << 20}, FailureDomain: "a", CacheGroup: "shared", Stores: stores, Now: now,
		Fetchable: func(string, int64) bool { return true },
	}, []Candidate{{Endpoint: Endpoint{ID: "e", FailureDomain: "a", Models: []ModelState{{"m", 2}}}, Residency: r, Usable: true}})
}

// Guards against reading a long stored prefix again because the fetch of a short part before
// it takes longer than reading that part. Load pattern: the link of a store is busy, so that
// each fetch waits.
func TestShortPartDoesNotPreventTheFetchOfALongOne(t *testing.T) {
	short, long := Part{"short", 112}, Part{"long", 8000}
	v := newListedStore("s", 100_000, StoredPart{salt, "short", 112}, StoredPart{salt, "long", 8000})
	v.recordTransfer(10_000, 0) // a queue of more than 50 ms
	c := choosePrefix([]*StoreView{v}, nil, 0, short, long)
	require.Equal(t, 8112, c.FetchedTokens)
	require.Zero(t, c.RecomputedTokens)
	require.InDelta(t, v.fetchMs(112, 0)+v.fetchMs(8000, 0)+10_000/storeTokensPerMs, c.FetchMs, 0.1, "the queue counts once")

	c = choosePrefix([]*StoreView{v}, nil, 0, short)
	require.Equal(t, 112, c.RecomputedTokens, "alone it is not worth the wait")

	var r Residency
	r.RecordUse(PartKey(salt, "short"), 112, 1<<20, 0)
	c = choosePrefix([]*StoreView{v}, &r, 0, short, long)
	require.Equal(t, 112, c.CachedTokens)
	require.Equal(t, 8000, c.FetchedTokens)

	w := newListedStore("s", 100_000, StoredPart{salt, "long", 8000})
	c = choosePrefix([]*StoreView{w}, nil, 0, short, long)
	require.Equal(t, 8112, c.RecomputedTokens, "what follows a missing part can't be used")
}

// Guards against sending all fetches of a burst to one store whose transfers run one after
// another, while another store with the same part is idle.
func TestFetchesSpreadOverStores(t *testing.T) {
	const prompts = 40
	part := Part{"p", 8000}
	a, b := newListedStore("a", 100_000, StoredPart{salt, "p", 8000}), newListedStore("b", 100_000, StoredPart{salt, "p", 8000})
	from := map[string]int{}
	for range prompts {
		c := choosePrefix([]*StoreView{a, b}, nil, time.Second, part)
		if c.FetchedTokens > 0 {
			from[c.Plan.Fetch[0].Address]++
		}
	}
	require.Equal(t, from["a"], from["b"], fmt.Sprint(from))
	require.Positive(t, from["a"])
	require.Less(t, from["a"]+from["b"], prompts, "beyond the limit reading again is faster")
	c := choosePrefix([]*StoreView{a, b}, nil, 3*time.Second-maxViewAge+time.Second, part)
	require.Zero(t, c.Plan.Fetch[0].QueueMs, "the queue has drained")
}
