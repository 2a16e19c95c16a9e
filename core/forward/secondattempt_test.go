package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/retry"
)

const (
	secondTestShare  = 0.05
	secondTestWindow = 10 * time.Second
)

var secondTestRoute = Route{Name: "r", Kind: Safe, MaxAttempts: 2, LatencyTarget: time.Second}

// learned returns a SecondAttempts that has seen answers up to 100 ms late.
func learned() *SecondAttempts {
	a := NewSecondAttempts(secondTestShare, secondTestWindow)
	for i := range 256 {
		a.RecordAnswer(secondTestRoute.Name, time.Duration(i%100)*time.Millisecond)
	}
	return a
}

// Guards against second attempts of requests that must not run twice, before enough answers have been
// seen, or with a delay that ignores the expected wait.
func TestDelayOfSecondAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		share    float64
		kind     RouteKind
		resume   bool
		samples  int
		lateness time.Duration
		ok       bool
		delay    time.Duration
	}{
		"off":              {0, Safe, false, 64, 50 * time.Millisecond, false, 0},
		"unsafe":           {0.05, Unsafe, false, 64, 50 * time.Millisecond, false, 0},
		"stream":           {0.05, Stream, false, 64, 50 * time.Millisecond, false, 0},
		"resumable stream": {0.05, Stream, true, 64, 50 * time.Millisecond, true, 250 * time.Millisecond},
		"safe":             {0.05, Safe, false, 64, 50 * time.Millisecond, true, 250 * time.Millisecond},
		"too few samples":  {0.05, Safe, false, 63, 50 * time.Millisecond, true, 0},
		"usually earlier":  {0.05, Safe, false, 64, -50 * time.Millisecond, true, 150 * time.Millisecond},
		"always at once":   {0.05, Safe, false, 64, -time.Second, true, minSecondDelay},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewSecondAttempts(c.share, secondTestWindow)
			for range c.samples {
				a.RecordAnswer("r", c.lateness)
			}
			delay, ok := a.Begin(&Route{Name: "r", Kind: c.kind, Resumable: c.resume}, 200*time.Millisecond, time.Second)
			require.Equal(t, c.ok, ok)
			require.Equal(t, c.delay, delay)
		})
	}
}

// Guards against a second attempt that a bound rules out.
func TestReasonsAgainstSecondAttempts(t *testing.T) {
	const now = time.Hour
	for name, c := range map[string]struct {
		want   SecondSkip
		change func(a *SecondAttempts, o *OverdueAttempt, retries *retry.Budget)
	}{
		"none":                         {"", func(*SecondAttempts, *OverdueAttempt, *retry.Budget) {}},
		"the latency target is left":   {"", func(_ *SecondAttempts, o *OverdueAttempt, _ *retry.Budget) { o.Left = time.Second }},
		"less than the target is left": {SkipTime, func(_ *SecondAttempts, o *OverdueAttempt, _ *retry.Budget) { o.Left = 999 * time.Millisecond }},
		"a quarter of a short deadline is left": {"", func(_ *SecondAttempts, o *OverdueAttempt, _ *retry.Budget) {
			o.Total, o.Left = 2*time.Second, 500*time.Millisecond
		}},
		"less than a quarter is left": {SkipTime, func(_ *SecondAttempts, o *OverdueAttempt, _ *retry.Budget) {
			o.Total, o.Left = 2*time.Second, 499*time.Millisecond
		}},
		"all attempts are used": {SkipAttempts, func(_ *SecondAttempts, o *OverdueAttempt, _ *retry.Budget) { o.Sent = 2 }},
		"held":                  {SkipHeld, func(_ *SecondAttempts, o *OverdueAttempt, _ *retry.Budget) { o.Held = true }},
		"no processor time":     {SkipProcessor, func(_ *SecondAttempts, o *OverdueAttempt, _ *retry.Budget) { o.ProcessorShort = true }},
		"refused just now": {SkipShortage, func(a *SecondAttempts, _ *OverdueAttempt, _ *retry.Budget) {
			a.RecordShortage("s", now-secondShortageTime+1)
		}},
		"refused a second ago": {"", func(a *SecondAttempts, _ *OverdueAttempt, _ *retry.Budget) {
			a.RecordShortage("s", now-secondShortageTime)
		}},
		"another service is short": {"", func(a *SecondAttempts, _ *OverdueAttempt, _ *retry.Budget) {
			a.RecordShortage("other", now)
		}},
		"the share is used up": {SkipBudget, func(a *SecondAttempts, _ *OverdueAttempt, _ *retry.Budget) {
			for range 5 {
				a.service("s").budget.TrySpend(now)
			}
		}},
		"the retry budget is used up": {SkipRetryBudget, func(_ *SecondAttempts, _ *OverdueAttempt, retries *retry.Budget) {
			for retries.TrySpend(now) {
			}
		}},
		"many are overdue": {SkipBurst, func(a *SecondAttempts, o *OverdueAttempt, _ *retry.Budget) {
			for range 3 {
				a.route(o.Route.Name).overdue.Add(now)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			a, retries := learned(), retry.NewBudget(0.1, secondTestWindow)
			for range 100 {
				a.CountRequest("s", now)
				retries.CountRequest(now)
			}
			o := OverdueAttempt{Route: &secondTestRoute, Service: "s", Sent: 1, Left: 4 * time.Second, Total: 5 * time.Second}
			c.change(a, &o, retries)
			_, spent := retries.Use(now)
			require.Equal(t, c.want, a.Overdue(o, retries, now))
			_, spentNow := retries.Use(now)
			require.Equal(t, spent, spentNow, "the check spends the budget")
		})
	}
}

// Guards against a percentile that falls because the slow attempts lose and leave no sample.
func TestUnansweredAttemptsKeepThePercentile(t *testing.T) {
	a := learned()
	before, _ := a.route("r").lateness.Value()
	for i := range 1024 {
		if lateness := time.Duration(i%100) * time.Millisecond; lateness < before {
			a.RecordAnswer("r", lateness)
		} else {
			a.RecordUnanswered("r", before)
		}
		a.RecordUnanswered("r", time.Millisecond) // cancelled early: says nothing
	}
	after, _ := a.route("r").lateness.Value()
	require.Equal(t, before, after)
}

// secondEntry is one of the entries of a simulated group.
type secondEntry struct {
	*SecondAttempts
	retries *retry.Budget
	gone    bool
}

// Load pattern: a group whose members join, leave and are cut off from the others while callers move
// between them in bursts. Guards against a limit that more members, or members that don't know of
// each other, make larger.
func TestShareHoldsOverAChangingGroup(t *testing.T) {
	const (
		duration = 60 * time.Second
		step     = 10 * time.Millisecond
		buckets  = int(duration / step)
	)
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var entries []*secondEntry
		requests, spent := make([]int, buckets), make([]int, buckets)
		for i := range buckets {
			now := time.Hour + time.Duration(i)*step
			if len(entries) == 0 || rng.IntN(200) == 0 { // one joins; a partition changes nothing that an entry knows
				entries = append(entries, &secondEntry{learned(), retry.NewBudget(0.1, secondTestWindow), false})
			}
			if rng.IntN(400) == 0 {
				entries[rng.IntN(len(entries))].gone = true
			}
			for range rng.IntN(8) {
				e := entries[rng.IntN(len(entries))]
				if e.gone {
					continue
				}
				requests[i]++
				e.CountRequest("s", now)
				e.retries.CountRequest(now)
				if _, ok := e.Begin(&secondTestRoute, 0, now); !ok || rng.IntN(8) > 0 {
					continue
				}
				o := OverdueAttempt{Route: &secondTestRoute, Service: "s", Sent: 1, Left: 4 * time.Second, Total: 5 * time.Second}
				if e.Overdue(o, e.retries, now) == "" {
					e.Spend("s", e.retries, now)
					spent[i]++
				}
			}
		}
		requireShare(t, requests, spent, int(secondTestWindow/step), seed)
	}
}

// requireShare fails if the second attempts of a window exceed the share of the requests of this
// window and the one before: a request of the earlier one may get its second attempt in this one.
func requireShare(t *testing.T, requests, spent []int, window int, seed uint64) {
	t.Helper()
	total, all := 0, 0
	for end := range requests {
		all += requests[end]
		total += spent[end]
		require.LessOrEqual(t, float64(total), secondTestShare*float64(all), "seed %d, from the start to step %d", seed, end)
		sent, since := 0, 0
		for i := max(end-2*window+1, 0); i <= end; i++ {
			since += requests[i]
			if i > end-window {
				sent += spent[i]
			}
		}
		require.LessOrEqual(t, float64(sent), secondTestShare*float64(since), "seed %d, window to step %d", seed, end)
	}
	require.NotZero(t, total, "seed %d: nothing was limited", seed)
}

// Load pattern: all answers become ten times as late for two seconds. Guards against a wave: the
// budget of the whole window would be spent at once, on endpoints that are all slow.
func TestBurstOfSlowAnswersStartsNoWave(t *testing.T) {
	const (
		gap       = 10 * time.Millisecond // between two requests
		usual     = 30 * time.Millisecond // median lateness
		slowFrom  = 20 * time.Second
		slowUntil = 22 * time.Second
		duration  = 30 * time.Second
	)
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 0))
		a, retries := NewSecondAttempts(0.1, secondTestWindow), retry.NewBudget(0.1, secondTestWindow)
		events := map[time.Duration][]func(now time.Duration){}
		sentBefore, sentDuring := 0, 0
		for i := range int(duration / gap) {
			at := time.Duration(i) * gap
			events[at] = append(events[at], func(now time.Duration) {
				a.CountRequest("s", now)
				retries.CountRequest(now)
				lateness := time.Duration(float64(usual) * (0.5 + rng.ExpFloat64())).Round(gap)
				if now >= slowFrom && now < slowUntil {
					lateness *= 10
				}
				delay, _ := a.Begin(&secondTestRoute, 0, now)
				events[now+lateness] = append(events[now+lateness], func(time.Duration) { a.RecordAnswer("r", lateness) })
				if delay = delay.Round(gap); delay == 0 || lateness <= delay {
					return
				}
				events[now+delay] = append(events[now+delay], func(now time.Duration) {
					o := OverdueAttempt{Route: &secondTestRoute, Service: "s", Sent: 1, Left: 4 * time.Second, Total: 5 * time.Second}
					if a.Overdue(o, retries, now) != "" {
						return
					}
					a.Spend("s", retries, now)
					if now >= slowFrom && now < slowUntil+time.Second {
						sentDuring++
					} else if now < slowFrom {
						sentBefore++
					}
				})
			})
		}
		for now := time.Duration(0); now < duration+time.Second; now += gap {
			for len(events[now]) > 0 {
				f := events[now][0]
				events[now] = events[now][1:]
				f(now)
			}
		}
		perSecond := int(time.Second / gap)
		require.NotZero(t, sentBefore, "seed %d", seed)
		require.LessOrEqual(t, sentDuring, perSecond/4, "seed %d: in three seconds with %d requests each", seed, perSecond)
	}
}
