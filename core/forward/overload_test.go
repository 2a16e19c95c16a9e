package forward

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// overloadPlay plays an entry with callers in virtual time. The entry does one thing after the other;
// callers leave if their request isn't read in time, and come back after they were refused.
type overloadPlay struct {
	perSecond float64 // callers that come
	capacity  float64 // requests a second that the endpoints take
	shedder   *Shedder
}

// Times of a play, the costs as on an entry with 0.3 cores.
const (
	overloadDuration = 20 * time.Second
	overloadSample   = 200 * time.Millisecond
	overloadLate     = 50 * time.Millisecond
	overloadPatience = 3 * time.Second
	overloadUnread   = time.Second
	overloadReturns  = 3 // of a caller that is refused
	overloadRetry    = 250 * time.Millisecond
	maxOverloadRetry = 2 * time.Second
	shedCost         = 350 * time.Microsecond
	refusalCost      = 700 * time.Microsecond
	serveCost        = 2 * time.Millisecond
)

type overloadArrival struct {
	at, born time.Duration
	returns  int
}

type overloadArrivals []overloadArrival

func (a overloadArrivals) Len() int           { return len(a) }
func (a overloadArrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a overloadArrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *overloadArrivals) Push(x any)        { *a = append(*a, x.(overloadArrival)) }
func (a *overloadArrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// play returns the requests that were served a second, and the longest wait of a request that was
// read, both in the second half of the play.
func (o overloadPlay) play(seed uint64) (served float64, longest time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 0))
	var arrivals overloadArrivals
	for at := time.Duration(0); at < overloadDuration; at += time.Duration(rng.ExpFloat64() / o.perSecond * float64(time.Second)) {
		heap.Push(&arrivals, overloadArrival{at, at, 0})
	}
	room, roomAt, free, sampled, count := 0.0, time.Duration(0), time.Duration(0), time.Duration(0), 0
	var waits []time.Duration
	for len(arrivals) > 0 {
		r := heap.Pop(&arrivals).(overloadArrival)
		now := max(free, r.at)
		for ; sampled+overloadSample <= now; sampled += overloadSample {
			slices.Sort(waits)
			late := len(waits) > 0 && waits[len(waits)*9/10] >= overloadLate
			if waits = waits[:0]; o.shedder != nil {
				o.shedder.Adjust(late, sampled)
			}
		}
		wait := now - r.at
		waits = append(waits, wait)
		left := overloadPatience - (now - r.born)
		if wait > overloadUnread || left <= 0 {
			free = now + shedCost // the close is read
			continue
		}
		if now > overloadDuration/2 {
			longest = max(longest, wait)
		}
		room, roomAt = min(room+o.capacity*(now-roomAt).Seconds(), 1+o.capacity/10), now
		retry := overloadRetry
		switch {
		case o.shedder != nil && o.shedder.Sheds("s", rng.Float64(), now):
			free = now + shedCost
		case room >= 1:
			room, free = room-1, now+serveCost
			if o.shedder != nil {
				o.shedder.Service("s").RecordPlacement(false, now)
			}
			if now > overloadDuration/2 && now < overloadDuration {
				count++
			}
			continue
		default:
			free = now + refusalCost
			if o.shedder != nil {
				o.shedder.Service("s").RecordPlacement(true, now)
			}
		}
		if o.shedder != nil {
			retry = min(o.shedder.Spread("s", overloadRetry, now), maxOverloadRetry)
		}
		if r.returns < overloadReturns {
			heap.Push(&arrivals, overloadArrival{free + min(retry, left/3), r.born, r.returns + 1})
		}
	}
	return float64(count) / (overloadDuration / 2).Seconds(), longest
}

// Load pattern: more requests than an entry has processor time for. Guards against requests that
// wait unread for longer than callers and rules allow for, and against an entry that is busy with
// refusals and serves nobody.
func TestEntryStaysInTimeWithMoreRequestsThanProcessorTime(t *testing.T) {
	const capacity = 150
	for _, perSecond := range []float64{100, 300, 500} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			for seed := range uint64(6) {
				served, longest := overloadPlay{perSecond: perSecond, capacity: capacity, shedder: &Shedder{}}.play(seed)
				require.Less(t, longest, 500*time.Millisecond, "seed %d", seed)
				require.GreaterOrEqual(t, served, 0.7*min(perSecond, capacity), "seed %d", seed)
			}
		})
	}
	served, longest := overloadPlay{perSecond: 500, capacity: capacity}.play(0)
	t.Logf("without shedding: %.0f requests a second served, longest wait %v", served, longest)
}

// Guards against requests that are shed though the entry has time for them, or that were shed for
// good, and against services that are shed for the sake of one whose endpoints are full.
func TestOnlyServicesWithoutRoomAreShedAtFirst(t *testing.T) {
	s := Shedder{}
	now := time.Minute
	for i := range 100 {
		s.Service("full").RecordPlacement(i%3 > 0, now)
		s.Service("free").RecordPlacement(false, now)
	}
	s.Adjust(false, now)
	require.Empty(t, s.Shares())
	s.Adjust(true, now)
	require.Equal(t, map[string]float64{"full": 0.3}, s.Shares())
	require.False(t, s.Sheds("free", 0.99, now))
	require.True(t, s.Sheds("full", 0.8, now))
	require.False(t, s.Sheds("full", 0.6, now))
	require.False(t, new(Shedder).Sheds("unknown", 0.99, now))
	for range 100 {
		s.Adjust(true, now)
	}
	require.Equal(t, map[string]float64{"full": 0.5}, s.Shares(), "half as many again are placed as found room")
	for range 100 {
		s.Adjust(true, now+time.Minute)
	}
	require.Equal(t, map[string]float64{"full": 0.98, "free": 0.98}, s.Shares(), "no service is without room, and some requests are placed always")
	for range 100 {
		s.Adjust(false, now)
	}
	require.Empty(t, s.Shares())
}

// Guards against callers that are all told to come back at once to an entry that lacks processor
// time, and against callers that wait where there is room, or time to look for it.
func TestRefusedCallersAreSpreadByTheirNumber(t *testing.T) {
	now := time.Minute
	s := &Shedder{}
	spread := func() time.Duration { return s.Spread("s", time.Second, now) }
	record := func(refused bool, n int) {
		for range n {
			s.Service("s").RecordPlacement(refused, now)
		}
	}
	record(false, 10)
	record(true, 50)
	s.Adjust(false, now)
	require.Equal(t, time.Second, spread(), "processor time to spare")
	s.Adjust(true, now)
	require.Equal(t, 5*time.Second, spread())
	require.Equal(t, time.Second, s.Spread("other", time.Second, now))
	record(true, 10000)
	require.Equal(t, maxSpread*time.Second, spread())
	now += spreadTime
	require.Equal(t, time.Second, spread(), "it was late long ago")
	now += time.Minute
	s.Adjust(true, now)
	require.Equal(t, time.Second, spread(), "they were refused long ago")
}
