package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const salt = "shared@m/2"

func knownStore(name string, capacity int, parts ...StoredPart) *StoreView {
	v := NewStoreView(Service{Name: name, StoreAddress: name, CapacityTokens: capacity, Managed: true})
	v.Listed(StoreList{Epoch: 1, Next: 5, Held: parts}, 0, 0)
	return v
}

func twoParts() *Prompt {
	return &Prompt{Model: "m", Tokens: 1000, Parts: []Part{{"a", 500}, {"b", 400}, {"own", 100}}}
}

// Guards against fetches of a part that is not whole, that the store may have lost,
// or that may be freed before the fetch has ended.
func TestFetchOnlyWhatIsWholeAndKept(t *testing.T) {
	v := knownStore("s", 10_000, StoredPart{salt, "a", 500})
	stores := []*StoreView{v}
	plan := PlanStores(stores, twoParts(), salt, time.Second)
	require.Equal(t, v, plan.Fetch[0].Store)
	require.Nil(t, plan.Fetch[1].Store)

	plan = PlanStores(stores, twoParts(), "shared@m/3", time.Second)
	require.Nil(t, plan.Fetch[0].Store, "made with other weights")
	plan = PlanStores(stores, twoParts(), salt, storeTrust)
	require.Nil(t, plan.Fetch[0].Store, "the store may have restarted since it was read")

	v.Changed(StoreEvents{Epoch: 1, Next: 6, Events: []StoreEvent{{false, StoredPart{salt, "a", 0}}, {true, StoredPart{salt, "b", 400}}}}, 2*time.Second, 2*time.Second)
	plan = PlanStores(stores, twoParts(), salt, 2*time.Second)
	require.Nil(t, plan.Fetch[0].Store, "freed")
	require.Equal(t, v, plan.Fetch[1].Store)

	list, restarted := v.Changed(StoreEvents{Epoch: 2, Next: 0}, 3*time.Second, 3*time.Second)
	require.True(t, list && restarted)
	plan = PlanStores(stores, twoParts(), salt, 3*time.Second)
	require.Nil(t, plan.Fetch[1].Store, "the store came back empty")
}

// Guards against a part that is written anew to a store that restarted, while an
// entry that has not noticed still fetches the former one.
func TestRestartedStoreGetsNothingUntilAllHaveNoticed(t *testing.T) {
	v := knownStore("s", 10_000)
	now := time.Minute
	v.Listed(StoreList{Epoch: 2}, now, now)
	confirm := func(at time.Duration) { v.Changed(StoreEvents{Epoch: 2}, at, at) }
	// The latest fetch of an entry that read the store just before the restart.
	lastFetch := now + storeTrust + FetchWindow
	for at := now; at < lastFetch; at += 100 * time.Millisecond {
		confirm(at)
		require.Nil(t, PlanStores([]*StoreView{v}, twoParts(), salt, at).Save[0], "at %v", at-now)
	}
	confirm(now + restartPause)
	require.NotNil(t, PlanStores([]*StoreView{v}, twoParts(), salt, now+restartPause).Save[0])
}

// Guards against frees while an entry may still fetch: one that heard of the newer
// weights late, or fetched just before it stopped.
func TestFreeAfterTheLastFetch(t *testing.T) {
	const named = time.Hour
	early, late := NewRollout(), NewRollout() // the second hears as late as it may and still fetch
	early.Name(WeightVersion{"m", 3}, named, named)
	late.Name(WeightVersion{"m", 3}, named+configTrust, named+configTrust)
	last := time.Duration(0)
	for at := named; at < named+time.Minute; at += 50 * time.Millisecond {
		if late.Fetchable("m", 2, at) {
			last = at + FetchWindow
		}
		if early.Freeable("m", 2, at) {
			require.Greater(t, at, last)
			require.False(t, late.Fetchable("m", 2, at))
			return
		}
	}
	t.Fatal("never freed")
}

// Guards against stores that are filled beyond their room by parts that are still
// being written, and against parts that are saved twice.
func TestSavesFitTheStore(t *testing.T) {
	v := knownStore("s", 1000)
	at := restartPause
	v.Changed(StoreEvents{Epoch: 1, Next: 5}, at, at)
	stores := []*StoreView{v}
	p := &Prompt{Parts: []Part{{"a", 500}, {"own", 1}}}
	require.Equal(t, v, PlanStores(stores, p, salt, at).Save[0])
	v.Saving(PartKey(salt, "a"), 500, at)
	require.Nil(t, PlanStores(stores, p, salt, at).Save[0], "being saved")
	q := &Prompt{Parts: []Part{{"b", 500}, {"own", 1}}}
	require.Nil(t, PlanStores(stores, q, salt, at).Save[0], "no room")
	at += pendingLimit
	v.Changed(StoreEvents{Epoch: 1, Next: 5}, at, at)
	require.Equal(t, v, PlanStores(stores, q, salt, at).Save[0], "the first save was lost")
}

// Guards against entries that save a part to different stores.
func TestEntriesChooseTheSameStore(t *testing.T) {
	at := restartPause
	var a, b []*StoreView
	for _, n := range []string{"x", "y", "z"} {
		for _, vs := range []*[]*StoreView{&a, &b} {
			v := knownStore(n, 100_000)
			v.Changed(StoreEvents{Epoch: 1, Next: 5}, at, at)
			*vs = append(*vs, v)
		}
	}
	b[0], b[2] = b[2], b[0]
	SortStores(a)
	SortStores(b)
	for i := range 50 {
		p := &Prompt{Parts: []Part{{string(rune('a' + i)), 100}, {"own", 1}}}
		require.Equal(t, PlanStores(a, p, salt, at).Save[0].Name, PlanStores(b, p, salt, at).Save[0].Name)
	}
}

// Guards against customers that share cached prompts although one is dedicated, and
// against prompts of other weights.
func TestSaltNamesGroupAndWeights(t *testing.T) {
	require.NotEqual(t, Salt("shared", "m", 1), Salt("customer c", "m", 1))
	require.NotEqual(t, Salt("shared", "m", 1), Salt("shared", "m", 2))
	m, v, ok := SaltWeights(Salt("customer c", "a/b", 12))
	require.True(t, ok)
	require.Equal(t, "a/b", m)
	require.EqualValues(t, 12, v)
	_, _, ok = SaltWeights("foreign")
	require.False(t, ok)
}
