package forward

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// limitSim is a group of entries that send requests to one endpoint with a limit, in virtual time.
type limitSim struct {
	rng       *rand.Rand
	entries   map[string]*limitSimEntry
	order     []string // of entries, also of those that have stopped
	listed    []string // as the log has them
	reporting []string // entries whose load reports arrive
	now       time.Duration
	arrivals  []time.Duration

	named     bool
	perSecond float64
}

type limitSimEntry struct {
	group   LimitGroup
	limit   EndpointLimit
	demand  float64 // requests a second
	listDue time.Duration
	list    []string // read at listDue
	stopped bool
	refused bool // by the log
}

const (
	limitSimStep      = 50 * time.Millisecond
	limitSimListDelay = 900 * time.Millisecond // until all members have read and confirmed a new list
	limitSimTransit   = 500 * time.Millisecond // longest time between a decision and the arrival of the request
)

func newLimitSim(seed uint64, size int, perSecond, demand float64) *limitSim {
	s := &limitSim{rng: rand.New(rand.NewPCG(seed, 1)), entries: map[string]*limitSimEntry{}, now: time.Minute}
	for i := range size {
		s.add(fmt.Sprintf("10.0.0.%d:1", i), demand)
	}
	for _, e := range s.entries {
		e.listDue = s.now
	}
	s.run(limitSimListDelay, nil)
	s.name(perSecond)
	s.arrivals = nil
	return s
}

func (s *limitSim) add(member string, demand float64) {
	s.listed = append(s.listed, member)
	e := &limitSimEntry{demand: demand}
	if s.named {
		e.tell(s.perSecond, s.now) // by its peers
	}
	s.entries[member], s.order = e, append(s.order, member)
	s.publish()
}

// publish lets the entries read the list of members, each after some time.
func (s *limitSim) publish() {
	for _, m := range s.members() {
		e := s.entries[m]
		if e.refused {
			continue
		}
		e.list = slices.Clone(s.listed)
		if e.listDue == 0 {
			e.listDue = s.now + time.Duration(s.rng.Int64N(int64(limitSimListDelay)))
		}
	}
}

func (s *limitSim) members() []string { return s.order }

// name has the endpoint tell all entries a limit.
func (s *limitSim) name(perSecond float64) {
	s.named, s.perSecond = true, perSecond
	for _, e := range s.entries {
		e.tell(perSecond, s.now)
	}
}

func (e *limitSimEntry) tell(perSecond float64, now time.Duration) {
	defer e.limit.Refresh("e", &e.group, now)
	e.limit.Observe(LimitStatement{perSecond, now, now + time.Millisecond}, true, now+time.Millisecond)
}

func (s *limitSim) run(d time.Duration, each func()) {
	for end := s.now + d; s.now < end; s.now += limitSimStep {
		if each != nil {
			each()
		}
		for _, m := range s.members() {
			e := s.entries[m]
			if e.stopped {
				continue
			}
			if e.listDue > 0 && s.now >= e.listDue {
				e.listDue = 0
				e.group.RecordMembers(m, e.list, slices.DeleteFunc(slices.Clone(s.reporting), func(r string) bool { return r == m }))
			}
			for range s.requests(e.demand) {
				if e.limit.Allows("e", &e.group, s.now) {
					e.limit.Spend("e", &e.group, s.now)
					s.arrivals = append(s.arrivals, s.now+time.Duration(s.rng.Int64N(int64(limitSimTransit))))
				}
			}
		}
	}
}

// requests draws the number of requests in one step.
func (s *limitSim) requests(perSecond float64) int {
	n := 0
	for left := perSecond * limitSimStep.Seconds(); left > 0; left-- {
		n += boolInt(left >= 1 || s.rng.Float64() < left)
	}
	return n
}

// mostIn4s returns the largest number of arrivals in any 4 s.
func (s *limitSim) mostIn4s() int {
	slices.Sort(s.arrivals)
	most, first := 0, 0
	for i, at := range s.arrivals {
		for s.arrivals[first] <= at-4*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowedIn4s is the number of requests that an endpoint with the limit accepts in any 4 s.
func allowedIn4s(perSecond float64) int { return int(1.5*4*perSecond + 5) }

// Guards against a limit that each entry keeps by itself, and against one of which less than half
// is used although there is demand.
func TestAllEntriesShareALimit(t *testing.T) {
	const span = 20 * time.Second
	for _, size := range []int{1, 4, 31, 330} {
		for _, perSecond := range []float64{0, 0.1, 0.3, 1, 2, 5, 20, 1000} {
			for _, plenty := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d entries, %g a second, plenty %t", size, perSecond, plenty), func(t *testing.T) {
					t.Parallel()
					demand := 5.0 + 10*perSecond/float64(size) // the endpoints of a service share it, so each entry has more than its part
					if !plenty {
						demand = 0.5 * perSecond / float64(size)
					}
					s := newLimitSim(uint64(size), size, perSecond, demand)
					s.run(span, nil)
					require.LessOrEqual(t, s.mostIn4s(), allowedIn4s(perSecond))
					if plenty {
						require.GreaterOrEqual(t, float64(len(s.arrivals)), 0.5*perSecond*span.Seconds())
					}
				})
			}
		}
	}
}

// Guards against entries that send more than a limit allows while members join, leave, are killed
// or are missing in a list.
func TestLimitHoldsWhileMembersChange(t *testing.T) {
	type change func(s *limitSim, i int)
	kill := func(s *limitSim, n int) {
		for _, m := range s.listed[:n] {
			s.entries[m].stopped = true
		}
		s.listed = slices.Clone(s.listed[n:])
		s.publish()
	}
	for _, c := range []struct {
		name   string
		change change
	}{
		{"one joins at a time", func(s *limitSim, i int) { s.add(fmt.Sprintf("10.0.1.%d:1", i), 20) }},
		{"some are killed", func(s *limitSim, _ int) { kill(s, 1+len(s.listed)/8) }},
		{"one is replaced", func(s *limitSim, i int) {
			kill(s, 1)
			s.add(fmt.Sprintf("10.0.1.%d:1", i), 20)
		}},
		{"the log refuses all but one", func(s *limitSim, i int) {
			if i > 0 {
				return
			}
			refused := s.listed[1:]
			s.listed, s.reporting = s.listed[:1], s.members()
			for _, m := range refused {
				s.entries[m].refused = true
			}
			s.publish()
		}},
		{"the log refuses those that use a limit", func(s *limitSim, i int) {
			if i > 0 {
				return
			}
			s.reporting = s.members()
			for _, m := range slices.Clone(s.listed) {
				if e := s.entries[m]; e.limit.bucket.share.PerSecond > 0 && len(s.listed) > 1 {
					e.refused = true
					s.listed = slices.DeleteFunc(s.listed, func(o string) bool { return o == m })
				}
			}
			s.publish()
		}},
		{"the list loses half of the members for a moment", func(s *limitSim, i int) {
			if i%2 == 0 {
				s.listed = s.listed[len(s.listed)/2:]
			} else {
				s.listed = slices.Clone(s.members())
			}
			s.publish()
		}},
	} {
		for _, size := range []int{4, 31, 330} {
			for _, perSecond := range []float64{0, 0.3, 1, 2, 20} {
				t.Run(fmt.Sprintf("%s, %d entries, %g a second", c.name, size, perSecond), func(t *testing.T) {
					t.Parallel()
					seeds := uint64(5)
					if size > 100 {
						seeds = 1
					}
					for seed := range seeds {
						s := newLimitSim(seed, size, perSecond, 20)
						i := 0
						next := s.now + time.Second
						s.run(20*time.Second, func() {
							if s.now < next || len(s.listed) < 2 {
								return
							}
							next = s.now + 500*time.Millisecond + time.Duration(s.rng.Int64N(int64(4*time.Second)))
							c.change(s, i)
							i++
						})
						require.LessOrEqual(t, s.mostIn4s(), allowedIn4s(perSecond), "seed %d", seed)
					}
				})
			}
		}
	}
}

// Guards against a limit that stays in force when it has ended or risen, and against a burst as it
// falls.
func TestChangedLimitIsInForceAtOnce(t *testing.T) {
	s := newLimitSim(1, 4, 20, 20)
	s.run(10*time.Second, nil)
	s.name(1)
	s.arrivals = slices.DeleteFunc(s.arrivals, func(at time.Duration) bool { return at <= s.now+limitSimTransit })
	s.run(10*time.Second, nil)
	require.LessOrEqual(t, s.mostIn4s(), allowedIn4s(1))
	s.name(20)
	before := len(s.arrivals)
	s.run(10*time.Second, nil)
	require.GreaterOrEqual(t, len(s.arrivals)-before, 100)
	s.name(Unlimited)
	before = len(s.arrivals)
	s.run(10*time.Second, nil)
	require.Greater(t, len(s.arrivals)-before, 700, "80 requests a second are wanted")
}

// Guards against callers that are told to return at the same time, later than the limits of the
// endpoints allow, or in an order that favours less urgent requests.
func TestRefusedCallersReturnInTurn(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var q LimitQueue
	now := time.Hour
	seen := map[time.Duration]bool{}
	for i := range 200 {
		after := q.Refuse(3, 2, now, rng)
		require.False(t, seen[after], "two callers return at once")
		seen[after] = true
		if i < 50 {
			require.Equal(t, max(time.Duration(i+1)*500*time.Millisecond, minLimitRetryAfter), after)
		}
		require.LessOrEqual(t, after, maxLimitRetryAfter)
	}
	require.True(t, q.Yields(4, now))
	require.False(t, q.Yields(3, now))
	require.False(t, q.Yields(2, now))
	require.False(t, q.Yields(4, now+limitYieldTime))
}

// Guards against limits that are told to the peers too rarely, for ever, or not at all.
func TestLimitIsPassedOn(t *testing.T) {
	var l EndpointLimit
	now := time.Hour
	require.True(t, l.Observe(LimitStatement{2, now, now}, true, now))
	_, due := l.ReportDue(now)
	require.True(t, due)
	l.RecordReport(now + time.Millisecond)
	_, due = l.ReportDue(now + 2*time.Millisecond)
	require.False(t, due)
	_, due = l.ReportDue(now + limitRepeat + time.Millisecond)
	require.True(t, due)
	ended := now + 2*time.Second
	require.True(t, l.Observe(LimitStatement{Unlimited, ended, ended}, true, ended))
	st, due := l.ReportDue(ended)
	require.True(t, due)
	require.False(t, st.Limited())
	_, due = l.ReportDue(ended + limitEndTime)
	require.False(t, due)

	var told EndpointLimit
	require.True(t, told.Observe(LimitStatement{2, now, now}, false, now))
	_, due = told.ReportDue(now)
	require.False(t, due, "only what an endpoint said to this process is passed on, or it would never expire")
	told.Expire(now + limitMaxAge - 1)
	require.Equal(t, 2.0, told.PerSecond())
	told.Expire(now + limitMaxAge)
	require.Equal(t, Unlimited, told.PerSecond())
	told.Observe(LimitStatement{2, now, now}, false, now+2*limitMaxAge)
	require.Equal(t, 2.0, told.PerSecond(), "a peer still holds it")
}

// Guards against a limit of an endpoint before its restart that holds after it.
func TestRestartEndsALimit(t *testing.T) {
	var l EndpointLimit
	l.Observe(LimitStatement{2, time.Second, 2 * time.Second}, true, 2*time.Second)
	l.Restart(3 * time.Second)
	require.Equal(t, Unlimited, l.PerSecond())
	l.Observe(LimitStatement{2, time.Second, 2 * time.Second}, false, 4*time.Second)
	require.Equal(t, Unlimited, l.PerSecond(), "a peer repeated it")
}

// Guards against shares of which less than half is used: the limited endpoints of a service
// together, with demand for twice what their limits allow.
func TestLimitsOfAServiceAreUsed(t *testing.T) {
	const span = 30 * time.Second
	for _, c := range []struct {
		size, endpoints int
		perSecond       float64
	}{{4, 4, 1}, {4, 18, 0.5}, {31, 18, 1}, {31, 18, 5}, {31, 4, 5}, {330, 166, 1}, {330, 166, 5}} {
		t.Run(fmt.Sprintf("%d entries, %d endpoints, %g a second", c.size, c.endpoints, c.perSecond), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(1, 1))
			var members []string
			for i := range c.size {
				members = append(members, fmt.Sprintf("10.0.0.%d:1", i))
			}
			start := time.Hour
			groups, limits := make([]LimitGroup, c.size), make([][]EndpointLimit, c.size)
			ids := make([]string, c.endpoints)
			for k := range ids {
				ids[k] = fmt.Sprintf("e%d", k)
			}
			for i, m := range members {
				groups[i].RecordMembers(m, members, nil)
				limits[i] = make([]EndpointLimit, c.endpoints)
				for k := range limits[i] {
					limits[i][k].Observe(LimitStatement{c.perSecond, start, start}, true, start)
					limits[i][k].Refresh(ids[k], &groups[i], start)
				}
			}
			allowed := c.perSecond * float64(c.endpoints)
			sent := 0
			for now := start; now < start+span; now += 10 * time.Millisecond {
				for wanted := 2 * allowed * 0.01; wanted > 0; wanted-- {
					if wanted < 1 && rng.Float64() >= wanted {
						continue
					}
					i := rng.IntN(c.size)
					for _, k := range rng.Perm(c.endpoints) {
						if limits[i][k].Allows(ids[k], &groups[i], now) {
							limits[i][k].Spend(ids[k], &groups[i], now)
							sent++
							break
						}
					}
				}
			}
			require.GreaterOrEqual(t, float64(sent), 0.5*allowed*span.Seconds())
		})
	}
}

// Guards against a limit that is named again after it had ended and then allows nothing, or too
// much at once.
func TestLimitIsNamedAgain(t *testing.T) {
	s := newLimitSim(1, 4, 5, 20)
	for range 3 {
		s.run(10*time.Second, nil)
		s.name(Unlimited)
		s.run(5*time.Second, nil)
		s.name(5)
		s.arrivals = slices.DeleteFunc(s.arrivals, func(at time.Duration) bool { return at <= s.now+limitSimTransit })
		start := len(s.arrivals)
		s.run(10*time.Second, nil)
		require.GreaterOrEqual(t, len(s.arrivals)-start, 25, "half of the limit")
		require.LessOrEqual(t, s.mostIn4s(), allowedIn4s(5))
	}
}
