package forward

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var streamRoutes = []Route{{Kind: Stream, Resumable: true, Timeout: 15 * time.Second, Targets: []Target{{Service: "s", Weight: 1}}}}

func endpointsOf(builds ...string) []Endpoint {
	var out []Endpoint
	for i, b := range builds {
		out = append(out, Endpoint{ID: fmt.Sprint(i), Service: "s", Build: b})
	}
	return out
}

// Guards against a stream that goes on at a build that did not begin it, and against refusals
// of streams whose build is known.
func TestBuildOfAStreamThatIsTakenUp(t *testing.T) {
	const lifetime = 30 * time.Second
	v1, v2 := BuildKey("v1"), BuildKey("v2")
	recorded := []StreamRecord{{StreamKey("s", "at-v2"), v2, 1}}
	cases := map[string]struct {
		defaults   []DefaultBuild
		records    []StreamRecord
		builds     []string
		listedFor  time.Duration
		id         string
		complete   bool
		want       uint64
		wantResult bool
	}{
		"recorded":                             {[]DefaultBuild{{"s", "v1", 1, false}}, recorded, []string{"v1", "v2"}, 0, "at-v2", true, v2, true},
		"a newer record may exist":             {[]DefaultBuild{{"s", "v1", 1, false}}, recorded, []string{"v1", "v2"}, 0, "at-v2", false, 0, false},
		"two attempts":                         {[]DefaultBuild{{"s", "v1", 1, false}}, []StreamRecord{{StreamKey("s", "id"), v1, 2}, {StreamKey("s", "id"), v2, 1}}, []string{"v1", "v2"}, 0, "id", true, v1, true},
		"no record among several builds":       {[]DefaultBuild{{"s", "v1", 1, false}}, recorded, []string{"v1", "v2"}, 0, "other", true, v1, true},
		"records unread":                       {[]DefaultBuild{{"s", "v1", 1, false}}, nil, []string{"v1", "v2"}, 0, "other", false, 0, false},
		"default unknown":                      {nil, nil, []string{"v1", "v2"}, 0, "other", true, 0, false},
		"stream not named":                     {[]DefaultBuild{{"s", "v1", 1, false}}, recorded, []string{"v1", "v2"}, 0, "", true, 0, false},
		"not named, new build not listed yet":  {[]DefaultBuild{{"s", "v1", 1, false}}, recorded, []string{"v1"}, lifetime, "", true, 0, false},
		"not named, old build gone":            {[]DefaultBuild{{"s", "v1", 1, false}}, recorded, []string{"v2"}, lifetime - time.Second, "", true, 0, false},
		"not named, default build gone":        {[]DefaultBuild{{"s", "v1", 1, false}}, nil, []string{"v2"}, 0, "", true, v1, true},
		"not named, recorded at the default":   {[]DefaultBuild{{"s", "v1", 1, false}}, []StreamRecord{{StreamKey("s", "at-v1"), v1, 1}}, []string{"v1"}, 0, "", true, v1, true},
		"one build for long, no ID, read":      {[]DefaultBuild{{"s", "v1", 1, false}}, nil, []string{"v1"}, lifetime, "", true, v1, true},
		"records unread, one build for long":   {[]DefaultBuild{{"s", "v1", 1, false}}, nil, []string{"v1"}, lifetime, "other", false, 0, false},
		"one build for long, no ID":            {[]DefaultBuild{{"s", "v1", 1, false}}, nil, []string{"v1"}, lifetime, "", false, 0, false},
		"one build since a short time":         {[]DefaultBuild{{"s", "v1", 1, false}}, nil, []string{"v1"}, lifetime - time.Second, "other", false, 0, false},
		"one build that is not the default":    {[]DefaultBuild{{"s", "v1", 1, false}}, nil, []string{"v2"}, lifetime, "other", false, 0, false},
		"a build that is not listed yet":       {[]DefaultBuild{{"s", "v1", 1, false}}, recorded, []string{"v1"}, 0, "at-v2", true, v2, true},
		"record of the same ID, other service": {[]DefaultBuild{{"s", "v1", 1, false}}, []StreamRecord{{StreamKey("t", "id"), v2, 1}}, []string{"v1", "v2"}, 0, "id", true, v1, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := NewStreamBuilds()
			b.SetRoutes(streamRoutes)
			now := time.Hour
			b.ObserveEndpoints(endpointsOf(c.builds...), now, now)
			b.SetDefaults(c.defaults, now)
			b.AddRecords(c.records, now)
			now = observe(b, now, c.listedFor, c.builds...)
			got, known := b.BuildOf("s", c.id, c.complete, now)
			require.Equal(t, c.wantResult, known)
			require.Equal(t, c.want, got)
		})
	}
}

// observe reads the list at short intervals for the given time and returns the time after it.
func observe(b *StreamBuilds, now, d time.Duration, builds ...string) time.Duration {
	for end := now + d; ; now += min(time.Second, end-now) {
		b.ObserveEndpoints(endpointsOf(builds...), now, now)
		if now == end {
			return now
		}
	}
}

// Guards against a process that refuses streams for a while after its start because it read the
// endpoint list before the configuration.
func TestEndpointListIsReadBeforeTheConfiguration(t *testing.T) {
	b := NewStreamBuilds()
	b.ObserveEndpoints(endpointsOf("v1"), time.Hour, time.Hour)
	require.Empty(t, b.DefaultsToSave(time.Hour), "no stream of the service is known to be resumable")
	b.SetDefaults([]DefaultBuild{{"s", "v1", 1, false}}, time.Hour)
	b.SetRoutes(streamRoutes)
	build, known := b.BuildOf("s", "", true, time.Hour)
	require.True(t, known)
	require.Equal(t, BuildKey("v1"), build)
}

// Guards against an entry that is cut off from the log, or was suspended, and takes its old list
// for the present one.
func TestOldEndpointListDoesNotSettleTheBuild(t *testing.T) {
	b := NewStreamBuilds()
	b.SetRoutes(streamRoutes)
	b.SetDefaults([]DefaultBuild{{"s", "v1", 1, false}}, 0)
	now := observe(b, 0, time.Minute, "v1")
	known := func(at time.Duration) bool {
		_, ok := b.Default("s", at)
		return ok
	}
	require.True(t, known(now+maxBuildListAge))
	require.False(t, known(now+maxBuildListAge+1))
	now += maxBuildListAge + 1
	b.ObserveEndpoints(endpointsOf("v1"), now, now)
	require.False(t, known(now), "another build may have served in between")
	now = observe(b, now, b.Lifetime(), "v1")
	require.True(t, known(now))

	b.SetDefaults([]DefaultBuild{{"s", "v2", 2, false}}, now)
	require.NotEmpty(t, b.DefaultsToSave(now))
	require.Empty(t, b.DefaultsToSave(now+maxBuildListAge+1), "the list is old")
}

// Guards against a default that changes while callers hold streams without a record, or while
// another entry relies on the one before.
func TestDefaultBuildChangesInTwoSteps(t *testing.T) {
	b := NewStreamBuilds()
	b.SetRoutes(streamRoutes)
	must := func(id, build string, at time.Duration) bool {
		_, ok := b.Begin("s", id, build, 1, at)
		return ok
	}
	save := func(at time.Duration, want DefaultBuild) {
		t.Helper()
		require.Equal(t, []DefaultBuild{want}, b.DefaultsToSave(at))
		b.SetDefaults(b.DefaultsToSave(at), at)
	}
	now := observe(b, time.Hour, time.Second, "v1", "v2")
	require.Empty(t, b.DefaultsToSave(now), "no build is the only one")
	require.True(t, must("a", "v1", now), "the default is not known")
	now = observe(b, now, time.Second, "v1")
	save(now, DefaultBuild{"s", "v1", 1, false})
	require.Empty(t, b.DefaultsToSave(now))
	require.False(t, must("b", "v1", now))
	require.True(t, must("b", "v2", now))

	now = observe(b, now, b.Lifetime()-time.Second, "v2")
	require.Empty(t, b.DefaultsToSave(now))
	require.True(t, must("c", "v1", now), "another member may have changed the default")
	now = observe(b, now, time.Second, "v2")
	save(now, DefaultBuild{"s", "v1", 2, true})
	require.True(t, must("d", "v1", now))
	require.True(t, must("d", "v2", now))
	now = observe(b, now, unsettledTime-time.Second, "v2")
	require.Empty(t, b.DefaultsToSave(now))
	now = observe(b, now, time.Second, "v2")
	save(now, DefaultBuild{"s", "v2", 3, false})
	require.False(t, must("e", "v2", now))

	b.SetDefaults([]DefaultBuild{{"s", "v1", 2, true}}, now) // a stale answer, or an older copy of the log
	require.False(t, must("f", "v2", now))
	b.LogReturned()
	require.Equal(t, []DefaultBuild{{"s", "v2", 3, false}}, b.DefaultsToSave(now))
}

// Guards against a release that is rolled back while its build is about to become the default.
func TestRollbackKeepsTheDefaultBuild(t *testing.T) {
	b := NewStreamBuilds()
	b.SetRoutes(streamRoutes)
	b.SetDefaults([]DefaultBuild{{"s", "v1", 2, true}}, time.Hour)
	now := observe(b, time.Hour, 2*b.Lifetime(), "v2", "v1")
	require.Empty(t, b.DefaultsToSave(now))
	now = observe(b, now, time.Second, "v1")
	require.Equal(t, []DefaultBuild{{"s", "v1", 3, false}}, b.DefaultsToSave(now))
}

// Guards against a default that changes too early because a process that missed a settled
// revision counts from an earlier unsettled one.
func TestEachUnsettledRevisionHasItsOwnTime(t *testing.T) {
	b := NewStreamBuilds()
	b.SetRoutes(streamRoutes)
	now := observe(b, time.Hour, 0, "v2")
	b.SetDefaults([]DefaultBuild{{"s", "v1", 2, true}}, now)
	now = observe(b, now, b.Lifetime()+unsettledTime, "v2")
	b.SetDefaults([]DefaultBuild{{"s", "v1", 4, true}}, now)
	require.Empty(t, b.DefaultsToSave(now))
	now = observe(b, now, unsettledTime, "v2")
	require.Equal(t, []DefaultBuild{{"s", "v2", 5, false}}, b.DefaultsToSave(now))
}

// Guards against an entry that relies on a default which another member has changed.
func TestDefaultBuildIsReadAgainWhileBuildsDiffer(t *testing.T) {
	b := NewStreamBuilds()
	b.SetRoutes(streamRoutes)
	now := observe(b, time.Hour, 0, "v2")
	b.SetDefaults([]DefaultBuild{{"s", "v1", 1, false}}, now) // read just before the first member changed it
	now = observe(b, now, maxDefaultAge, "v2", "v1")
	require.True(t, b.DefaultsOutdated(now))
	now = observe(b, now, time.Second, "v2", "v1")
	_, must := b.Begin("s", "a", "v1", 1, now)
	require.True(t, must)
}

// Guards against records that are dropped while callers may take up their streams, and against
// records that are kept forever.
func TestRecordsAreKeptForTheLifetimeOfStreams(t *testing.T) {
	b := NewStreamBuilds()
	b.SetRoutes(streamRoutes)
	now := time.Hour
	for i := range 100 {
		now += b.Lifetime() / 4
		b.Begin("s", fmt.Sprint(i), "v2", 1, now)
		for k := range 4 {
			if k <= i {
				_, known := b.BuildOf("s", fmt.Sprint(i-k), false, now)
				require.True(t, known)
			}
		}
		require.LessOrEqual(t, len(b.recent.byStream)+len(b.older.byStream), 9)
	}
}

// streamWorld is a simulated service whose endpoints are released and rolled back while
// entries start, read late lists and are killed.
type streamWorld struct {
	rng         *rand.Rand
	now         time.Duration
	builds      []string // of the listed endpoints
	entries     []*StreamBuilds
	views       [][]string // the builds that each entry has read from the list
	log         []StreamRecord
	defaults    []DefaultBuild
	writes      int // of defaults
	delayedSave *delayedSave
	streams     []simulatedStream
}

type simulatedStream struct {
	id, build string
	begunAt   time.Duration
}

func (w *streamWorld) startEntry() *StreamBuilds {
	b := NewStreamBuilds()
	b.SetRoutes(streamRoutes)
	return b
}

func (w *streamWorld) load(b *StreamBuilds) {
	b.SetDefaults(w.defaults, w.now)
}

// begin begins a stream at a listed endpoint through a random entry. Its record is in the log
// before its caller has the first event.
func (w *streamWorld) begin() {
	i := w.rng.IntN(len(w.entries))
	b, view := w.entries[i], w.views[i]
	s := simulatedStream{fmt.Sprint(len(w.streams)), view[w.rng.IntN(len(view))], w.now}
	attempt := 1
	if r, must := b.Begin("s", s.id, s.build, attempt, w.now); must {
		w.log = append(w.log, r)
		if w.rng.IntN(4) == 0 { // the record was late, so the stream begins anew elsewhere
			attempt, s.build = 2, view[w.rng.IntN(len(view))]
			if r, must := b.Begin("s", s.id, s.build, attempt, w.now); must {
				w.log = slices.Insert(w.log, w.rng.IntN(len(w.log)+1), r)
			}
		}
	}
	w.streams = append(w.streams, s)
}

// takeUp takes up a stream at a random entry and returns whether its build was known.
func (w *streamWorld) takeUp(t *testing.T, seed uint64) bool {
	b := w.entries[w.rng.IntN(len(w.entries))]
	s := w.streams[len(w.streams)-1-w.rng.IntN(min(len(w.streams), 40))]
	if w.now-s.begunAt > b.Lifetime() {
		return true
	}
	complete := w.rng.IntN(5) > 0 // otherwise the log can't be read
	if complete {
		w.load(b)
		b.AddRecords(w.log, w.now)
	}
	if build, known := b.BuildOf("s", "", complete, w.now); known {
		require.Equal(t, BuildKey(s.build), build, "seed %d: stream %s, not named, began at %s", seed, s.id, s.build)
	}
	build, known := b.BuildOf("s", s.id, complete, w.now)
	if known {
		require.Equal(t, BuildKey(s.build), build, "seed %d: stream %s began at %s", seed, s.id, s.build)
	}
	return known
}

// delayedSave is a write of defaults that has not taken effect yet.
type delayedSave struct {
	defaults []DefaultBuild
	writes   int // number of writes that must have taken effect before
}

// maxStep is the longest time between two steps of a streamWorld.
const maxStep = 800 * time.Millisecond

func (w *streamWorld) step() {
	w.now += time.Duration(w.rng.Int64N(int64(maxStep)))
	switch w.rng.IntN(40) {
	case 0: // all entries are killed
		for i := range w.entries {
			w.entries[i] = w.startEntry()
		}
	case 1:
		w.entries[w.rng.IntN(len(w.entries))] = w.startEntry()
	case 2, 3: // an endpoint is replaced
		w.builds[w.rng.IntN(len(w.builds))] = fmt.Sprintf("v%d", 1+w.rng.IntN(3))
	case 4: // the release is completed
		for i := range w.builds {
			w.builds[i] = w.builds[0]
		}
	case 5: // time without change
		for range 50 {
			w.now += time.Second
			w.observe()
		}
	}
	w.observe()
}

func (w *streamWorld) observe() {
	for i, b := range w.entries {
		if w.rng.IntN(3) > 0 {
			w.views[i] = slices.Clone(w.builds)
			b.ObserveEndpoints(endpointsOf(w.builds...), w.now, w.now)
		}
		if w.rng.IntN(3) > 0 {
			continue
		}
		w.load(b)
		if w.delayedSave != nil && w.delayedSave.writes == w.writes { // a write that takes effect late, if its condition still holds
			w.defaults, w.delayedSave, w.writes = w.delayedSave.defaults, nil, w.writes+1
		}
		toSave := b.DefaultsToSave(w.now)
		switch {
		case i > 1 || len(toSave) == 0: // two members may both believe that they are the first
		case w.rng.IntN(3) == 0:
			w.delayedSave = &delayedSave{toSave, w.writes}
		default:
			w.defaults, w.writes = toSave, w.writes+1
			w.load(b)
		}
	}
}

// Guards against a stream that goes on at another build after any order of releases,
// rollbacks and losses of entries, and against a design that refuses most streams.
func TestStreamsKeepTheirBuildUnderFaults(t *testing.T) {
	for seed := range uint64(200) {
		w := &streamWorld{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, builds: []string{"v1", "v1", "v1", "v1"}}
		for range 3 {
			w.entries, w.views = append(w.entries, w.startEntry()), append(w.views, slices.Clone(w.builds))
		}
		total, known := 0, 0
		for range 400 {
			w.step()
			w.begin()
			for range 3 {
				total++
				if w.takeUp(t, seed) {
					known++
				}
			}
		}
		require.Greater(t, known, total/2, "seed %d", seed)
	}
}

// Guards against a request that is placed at another build than the one that it is bound to.
func TestKeepBuild(t *testing.T) {
	var cs []Candidate
	for _, e := range endpointsOf("v1", "v2", "v1") {
		cs = append(cs, Candidate{Endpoint: e, Usable: true, Excluded: e.ID == "2"})
	}
	KeepBuild(cs, BuildKey("v1"))
	require.False(t, cs[0].Excluded)
	require.True(t, cs[1].Excluded)
	require.True(t, cs[2].Excluded, "excluded for another reason")
}
