package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const seed = 11

func newRand() *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

const (
	endpoints         = 40
	requestsPerSecond = 400
	maxAttempts       = 4
	deadline          = 2 * time.Second
)

// simFleet simulates clients that send requests to random endpoints with a retry
// budget, backoff and circuit breakers. A tick is the time between two requests at
// the base rate. An endpoint that is down does not answer; one that has reached its
// capacity in the current window of 100 ms rejects the request.
type simFleet struct {
	rng            *rand.Rand
	budget         *Budget
	breakers       [endpoints]Breaker
	windowRequests [endpoints]int
	pending        map[int][]attempt // retries by tick
	capacity       int
	downEndpoints  int  // endpoints with a lower index are down
	noBreakers     bool // send regardless of the breakers
	served         int
	requests       int
	retries        int
}

type attempt struct {
	retries  int
	deadline time.Duration
}

func (f *simFleet) tick(n int, arrivals int) {
	now := time.Duration(n) * time.Second / requestsPerSecond
	if n%(requestsPerSecond/10) == 0 {
		f.windowRequests = [endpoints]int{}
	}
	for range arrivals {
		f.requests++
		f.budget.CountRequest(now)
		f.send(n, now, attempt{0, now + deadline})
	}
	for _, a := range f.pending[n] {
		f.send(n, now, a)
	}
	delete(f.pending, n)
}

func (f *simFleet) send(n int, now time.Duration, a attempt) {
	e := f.rng.IntN(endpoints)
	for i := 0; i < endpoints && !f.noBreakers && !f.breakers[e].Allow(now); i++ {
		e = (e + 1) % endpoints
	}
	f.windowRequests[e]++
	ok := e >= f.downEndpoints && f.windowRequests[e] <= f.capacity
	f.breakers[e].Done(e >= f.downEndpoints, now, f.rng)
	if ok {
		f.served++
		return
	}
	delay, beforeDeadline := Backoff{}.Delay(a.retries, a.deadline-now, f.rng)
	if a.retries+1 < maxAttempts && beforeDeadline && f.budget.TrySpend(now) {
		f.retries++
		at := n + 1 + int(delay*requestsPerSecond/time.Second)
		f.pending[at] = append(f.pending[at], attempt{a.retries + 1, a.deadline})
	}
}

func newSimFleet() *simFleet {
	return &simFleet{rng: newRand(), budget: NewBudget(MaxRetryShare, BudgetWindow), pending: map[int][]attempt{}, capacity: 3}
}

// TestRetriesStayWithinTheBudget guards against a retry storm when half of the
// endpoints are down (section 14 of the design).
func TestRetriesStayWithinTheBudget(t *testing.T) {
	for _, noBreakers := range []bool{false, true} {
		f := newSimFleet()
		f.downEndpoints, f.noBreakers = endpoints/2, noBreakers
		f.capacity = 1 << 20
		for n := range 60 * requestsPerSecond {
			f.tick(n, 1)
		}
		require.Positive(t, f.retries)
		require.LessOrEqual(t, float64(f.retries), MaxRetryShare*float64(f.requests), "without breakers: %v, seed %d", noBreakers, seed)
		if !noBreakers {
			require.Greater(t, float64(f.served), 0.95*float64(f.requests), "breakers divert requests to the remaining endpoints, seed %d", seed)
		}
	}
}

// TestRecoveryAfterAnOverload guards against a metastable failure: within seconds
// after an overload of ten times the capacity, nearly all requests must be served again,
// and the retries must stay within their budget.
func TestRecoveryAfterAnOverload(t *testing.T) {
	f := newSimFleet()
	for n := range 20 * requestsPerSecond {
		f.tick(n, 20)
	}
	require.LessOrEqual(t, float64(f.retries), MaxRetryShare*float64(f.requests), "seed %d", seed)
	const recoveryTicks = requestsPerSecond
	for n := 20 * requestsPerSecond; n < 20*requestsPerSecond+recoveryTicks; n++ {
		f.tick(n, 1)
	}
	f.served, f.requests = 0, 0
	for n := 20*requestsPerSecond + recoveryTicks; n < 30*requestsPerSecond+recoveryTicks; n++ {
		f.tick(n, 1)
	}
	require.Greater(t, float64(f.served), 0.99*float64(f.requests), "seed %d", seed)
}

// TestBackoff guards against a retry after the deadline, and against delays that do
// not grow or have no jitter.
func TestBackoff(t *testing.T) {
	rng, seen := newRand(), map[time.Duration]bool{}
	for i := range 10 {
		bound := min(defaultBackoffBase<<i, defaultBackoffMax)
		for range 50 {
			delay, _ := Backoff{}.Delay(i, time.Hour, rng)
			require.True(t, delay >= bound/2 && delay <= bound, "retry %d is delayed by %v, seed %d", i, delay, seed)
			seen[delay] = true
		}
	}
	require.Greater(t, len(seen), 400, "seed %d", seed)
	_, ok := Backoff{}.Delay(5, 100*time.Millisecond, rng)
	require.False(t, ok)
}

// TestHedging guards against hedging of long or non-interactive answers, of more than
// 2% of the requests, or after another delay than the 95th percentile.
func TestHedging(t *testing.T) {
	h := NewHedger()
	_, ok := h.StartRequest(true, 10, 0)
	require.False(t, ok, "there are no samples yet")
	for i := range 256 {
		h.ObserveFirstToken(time.Duration(i+1) * time.Millisecond)
	}
	for name, c := range map[string]struct {
		interactive bool
		tokens      int
		want        bool
	}{"short interactive": {true, 10, true}, "long": {true, 500, false}, "standard": {false, 10, false}} {
		delay, ok := h.StartRequest(c.interactive, c.tokens, 0)
		require.Equal(t, c.want, ok, name)
		require.Equal(t, 244*time.Millisecond, delay)
	}
	spent := 0
	for i := range 1000 {
		h.StartRequest(true, 10, time.Duration(i)*time.Millisecond)
		if h.TrySpend(time.Duration(i) * time.Millisecond) {
			spent++
		}
	}
	require.InDelta(t, MaxHedgeShare*1000, spent, 1)
}

// TestBreaker guards against a breaker that never opens, never closes, allows more
// than one probe at a time, or stays open because a probe's result was lost.
func TestBreaker(t *testing.T) {
	var b Breaker
	rng := newRand()
	for range breakerFailureThreshold {
		require.True(t, b.Allow(0))
		b.Done(false, 0, rng)
	}
	require.False(t, b.Allow(0))
	require.True(t, b.Allow(breakerOpenMin))
	require.False(t, b.Allow(breakerOpenMin), "one probe at a time")
	require.True(t, b.Allow(breakerOpenMin+breakerProbeTimeout), "the probe's result was lost")
	b.Done(false, breakerOpenMin+breakerProbeTimeout, rng)
	require.False(t, b.Allow(2*breakerOpenMin+breakerProbeTimeout-1), "the open time has doubled, seed %d", seed)
	require.True(t, b.Allow(3*breakerOpenMin+breakerProbeTimeout))
	b.Done(true, 3*breakerOpenMin+breakerProbeTimeout, rng)
	require.True(t, b.Allow(3*breakerOpenMin+breakerProbeTimeout))
}
