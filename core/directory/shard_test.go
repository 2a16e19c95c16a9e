package directory

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/prefix"
)

var start = time.Unix(1_800_000_000, 0)

func key(n int) (h prefix.Hash) {
	binary.BigEndian.PutUint64(h[:], uint64(n))
	return h
}

func smallOptions() Options { return Options{Capacity: 3, TTL: time.Hour} }

// Guards against reordered, future or expired updates and late removals overriding
// newer data, and against a store's update erasing the engine's.
func TestPutAndRemoveIgnoreOutdatedUpdates(t *testing.T) {
	s := NewShard(smallOptions(), start)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	s.Put(key(1), Location{Endpoint: "e1", EngineTokens: 512, WeightVersion: "v1", UpdatedAt: at(2 * time.Second)}, at(3*time.Second))
	s.Put(key(1), Location{Endpoint: "e0", EngineTokens: 256, WeightVersion: "v1", UpdatedAt: at(time.Second)}, at(3*time.Second))
	s.Put(key(1), Location{Store: "s", StoreTokens: 256, WeightVersion: "v1", UpdatedAt: at(3 * time.Second)}, at(3*time.Second))
	got := s.Get(key(1), at(4*time.Second))
	require.Len(t, got, 2)
	require.Equal(t, "e1", got[0].Endpoint)
	require.Equal(t, "s", got[1].Store)
	s.Put(key(1), Location{Endpoint: "ahead", UpdatedAt: at(time.Hour)}, at(5*time.Second))
	s.Put(key(1), Location{Endpoint: "e2", UpdatedAt: at(6 * time.Second)}, at(6*time.Second))
	require.Equal(t, "e2", s.Get(key(1), at(6*time.Second))[0].Endpoint, "an update from a clock that is ahead must not override later ones")
	s.Remove(key(1), "e1", "")
	require.Equal(t, "e2", s.Get(key(1), at(6*time.Second))[0].Endpoint, "a late removal of an earlier location must be ignored")
	s.Remove(key(1), "e2", "s")
	require.Zero(t, s.Len())
	s.Put(key(2), Location{Endpoint: "e", UpdatedAt: start.Add(-2 * time.Hour)}, start)
	require.Zero(t, s.Len(), "an expired update must be ignored")
}

// Guards against unbounded memory and against returning expired locations.
func TestCapacityAndExpiry(t *testing.T) {
	s := NewShard(smallOptions(), start)
	for i := range 5 {
		now := start.Add(time.Duration(i) * time.Minute)
		s.Put(key(i), Location{Endpoint: "e", UpdatedAt: now}, now)
		s.Put(key(0), Location{Endpoint: "e", UpdatedAt: now}, now) // repeated updates prevent its eviction
	}
	require.Equal(t, 3, s.Len())
	require.Nil(t, s.Get(key(2), start))
	require.NotNil(t, s.Get(key(0), start.Add(5*time.Minute)))
	require.Nil(t, s.Get(key(0), start.Add(2*time.Hour)))
	require.Equal(t, 2, s.Expire(start.Add(2*time.Hour), 2))
	require.Equal(t, 1, s.Expire(start.Add(2*time.Hour), 2))
	require.Zero(t, s.Len())
}

// Compares a shard with a plain map under random updates. Guards against errors in
// the linked list, the free list and the name table, which is rebuilt many times.
func TestAgainstModel(t *testing.T) {
	const seed = 7
	rng := rand.New(rand.NewPCG(seed, 0))
	s := NewShard(Options{Capacity: 1000, TTL: time.Hour}, start)
	model := map[int]string{}
	for i := range 200_000 {
		k := rng.IntN(900)
		switch rng.IntN(10) {
		case 0:
			s.Remove(key(k), model[k], "")
			delete(model, k)
		default:
			model[k] = fmt.Sprint("endpoint-", i)
			s.Put(key(k), Location{Endpoint: model[k], UpdatedAt: start}, start)
		}
		c := rng.IntN(900)
		got := s.Get(key(c), start)
		require.Equal(t, model[c] != "", got != nil, "seed %d", seed)
		if got != nil {
			require.Equal(t, model[c], got[0].Endpoint, "seed %d", seed)
		}
	}
	require.Equal(t, len(model), s.Len())
	require.LessOrEqual(t, len(s.names.names), maxTableNames)
	require.LessOrEqual(t, len(s.entries), 900)
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkBytesPerContext measures the heap memory per context in a shard.
func BenchmarkBytesPerContext(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var bytes float64
			for b.Loop() {
				before := heapBytes()
				s := NewShard(Options{Capacity: n, TTL: time.Hour}, start)
				for i := range n {
					s.Put(key(i), Location{Endpoint: fmt.Sprint("endpoint-", i%830), Store: "store-a", EngineTokens: 1, WeightVersion: "v1", UpdatedAt: start}, start)
				}
				bytes = float64(heapBytes()-before) / float64(n)
				runtime.KeepAlive(s)
			}
			b.ReportMetric(bytes, "B/context")
		})
	}
}
