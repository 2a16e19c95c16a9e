package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const seed = 11

func newRng() *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

const (
	endpoints = 40
	perSecond = 400
	tries     = 4
	deadline  = 2 * time.Second
)

// fleet sends requests to endpoints at random through budget, backoff and
// breakers, in steps of one request. An endpoint that is down doesn't answer; one
// above its capacity of requests for each 100 ms refuses.
type fleet struct {
	rng      *rand.Rand
	budget   *Budget
	breakers [endpoints]Breaker
	load     [endpoints]int
	due      map[int][]try // by tick of one request
	capacity int
	down     int  // endpoints below this number
	exposed  bool // without breakers
	served   int
	requests int
	retries  int
}

type try struct {
	number int
	until  time.Duration
}

func (f *fleet) tick(n int, arrivals int) {
	now := time.Duration(n) * time.Second / perSecond
	if n%(perSecond/10) == 0 {
		f.load = [endpoints]int{}
	}
	for range arrivals {
		f.requests++
		f.budget.Request(now)
		f.attempt(n, now, try{0, now + deadline})
	}
	for _, t := range f.due[n] {
		f.attempt(n, now, t)
	}
	delete(f.due, n)
}

func (f *fleet) attempt(n int, now time.Duration, t try) {
	e := f.rng.IntN(endpoints)
	for i := 0; i < endpoints && !f.exposed && !f.breakers[e].Allow(now); i++ {
		e = (e + 1) % endpoints
	}
	f.load[e]++
	ok := e >= f.down && f.load[e] <= f.capacity
	f.breakers[e].Done(e >= f.down, now, f.rng)
	if ok {
		f.served++
		return
	}
	pause, in := Backoff{}.Pause(t.number, t.until-now, f.rng)
	if t.number+1 < tries && in && f.budget.Spend(now) {
		f.retries++
		at := n + 1 + int(pause*perSecond/time.Second)
		f.due[at] = append(f.due[at], try{t.number + 1, t.until})
	}
}

func newFleet() *fleet {
	return &fleet{rng: newRng(), budget: NewBudget(RetryShare, BudgetWindow), due: map[int][]try{}, capacity: 3}
}

// Guards against a retry storm when half of the endpoints are gone (design 14).
func TestRetriesStayWithinTheBudget(t *testing.T) {
	for _, exposed := range []bool{false, true} {
		f := newFleet()
		f.down, f.exposed = endpoints/2, exposed
		f.capacity = 1 << 20
		for n := range 60 * perSecond {
			f.tick(n, 1)
		}
		require.Positive(t, f.retries)
		require.LessOrEqual(t, float64(f.retries), RetryShare*float64(f.requests), "without breakers: %v, seed %d", exposed, seed)
		if !exposed {
			require.Greater(t, float64(f.served), 0.95*float64(f.requests), "breakers lead to the endpoints that are left, seed %d", seed)
		}
	}
}

// Guards against a metastable state: after an overload of ten times the capacity
// everything is served again within seconds, without extra load.
func TestRecoveryAfterAnOverload(t *testing.T) {
	f := newFleet()
	for n := range 20 * perSecond {
		f.tick(n, 20)
	}
	require.LessOrEqual(t, float64(f.retries), RetryShare*float64(f.requests), "seed %d", seed)
	const pause = perSecond
	for n := 20 * perSecond; n < 20*perSecond+pause; n++ {
		f.tick(n, 1)
	}
	f.served, f.requests = 0, 0
	for n := 20*perSecond + pause; n < 30*perSecond+pause; n++ {
		f.tick(n, 1)
	}
	require.Greater(t, float64(f.served), 0.99*float64(f.requests), "seed %d", seed)
}

// Guards against a retry that begins after the deadline, and against pauses that
// don't grow or that are all the same.
func TestBackoffWithinTheDeadline(t *testing.T) {
	rng, seen := newRng(), map[time.Duration]bool{}
	for i := range 10 {
		bound := min(defaultBackoffBase<<i, defaultBackoffMax)
		for range 50 {
			p, _ := Backoff{}.Pause(i, time.Hour, rng)
			require.True(t, p >= bound/2 && p <= bound, "retry %d pauses for %v, seed %d", i, p, seed)
			seen[p] = true
		}
	}
	require.Greater(t, len(seen), 400, "seed %d", seed)
	_, ok := Backoff{}.Pause(5, 100*time.Millisecond, rng)
	require.False(t, ok)
}

// Guards against hedging of long or unhurried answers, above 2% of the traffic,
// or at another time than the 95th percentile.
func TestHedging(t *testing.T) {
	h := NewHedger()
	_, ok := h.Request(true, 10, 0)
	require.False(t, ok, "nothing is known yet")
	for i := range 256 {
		h.Observe(time.Duration(i+1) * time.Millisecond)
	}
	for name, c := range map[string]struct {
		interactive bool
		tokens      int
		want        bool
	}{"short interactive": {true, 10, true}, "long": {true, 500, false}, "standard": {false, 10, false}} {
		delay, ok := h.Request(c.interactive, c.tokens, 0)
		require.Equal(t, c.want, ok, name)
		require.Equal(t, 244*time.Millisecond, delay)
	}
	spent := 0
	for i := range 1000 {
		h.Request(true, 10, time.Duration(i)*time.Millisecond)
		if h.Spend(time.Duration(i) * time.Millisecond) {
			spent++
		}
	}
	require.InDelta(t, HedgeShare*1000, spent, 1)
}

// Guards against a breaker that never opens, never closes, lets more than one
// probe through, or stays open because a probe's result was lost.
func TestBreaker(t *testing.T) {
	var b Breaker
	rng := newRng()
	for range breakerFailures {
		require.True(t, b.Allow(0))
		b.Done(false, 0, rng)
	}
	require.False(t, b.Allow(0))
	require.True(t, b.Allow(breakerOpenMin))
	require.False(t, b.Allow(breakerOpenMin), "one probe at a time")
	require.True(t, b.Allow(breakerOpenMin+breakerProbeLimit), "the probe's result was lost")
	b.Done(false, breakerOpenMin+breakerProbeLimit, rng)
	require.False(t, b.Allow(2*breakerOpenMin+breakerProbeLimit-1), "the pause has doubled, seed %d", seed)
	require.True(t, b.Allow(3*breakerOpenMin+breakerProbeLimit))
	b.Done(true, 3*breakerOpenMin+breakerProbeLimit, rng)
	require.True(t, b.Allow(3*breakerOpenMin+breakerProbeLimit))
}
