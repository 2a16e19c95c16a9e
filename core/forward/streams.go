package forward

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// StreamRecord states which build made the first event of a stream.
type StreamRecord struct {
	Stream  uint64 // see StreamKey
	Build   uint64 // see BuildKey
	Attempt uint8  // a stream that began anew at another build has a record with a higher number, which counts
}

// knownStream is a record in memory.
type knownStream struct {
	build   uint64
	attempt uint8
	own     bool // this process began the stream
}

// streamRecords are the records of a period.
type streamRecords struct {
	byStream map[uint64]knownStream
	builds   map[uint64]bool // that a record names, also one that another attempt has replaced
}

func newStreamRecords() streamRecords {
	return streamRecords{map[uint64]knownStream{}, map[uint64]bool{}}
}

func (r *streamRecords) add(stream uint64, k knownStream) {
	r.byStream[stream], r.builds[k.build] = k, true
}

// StreamKey returns the key of a stream of a service, which its caller names by the ID of the
// request that brought the first event.
func StreamKey(service, requestID string) uint64 { return hashStrings(service, requestID) }

// BuildKey returns the key of a build.
func BuildKey(build string) uint64 { return hashStrings(build) }

func hashStrings(list ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range list {
		_, _ = d.WriteString(s) // never returns an error
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// DefaultBuild is the build to which the streams of a service belong that have no record.
type DefaultBuild struct {
	Service   string
	Build     string
	Revision  int64 // rises with each change, so that an older default is never taken over
	Unsettled bool  // the default is about to change, so every stream is recorded
}

// StreamBuilds knows which build began each stream that a caller may take up again. A service
// has a default build. A stream at any other build is recorded in the log before its first
// event reaches the caller, so a stream without a record belongs to the default build, and a
// service whose endpoints all have the default build needs no records.
//
// The default changes only when all endpoints of the service have had another build for longer
// than callers take up streams, and in two steps: it is unsettled for longer than any process
// relies on what it has loaded. Until the default is known, every stream is recorded.
type StreamBuilds struct {
	lifetime  time.Duration // how long after its start callers may take up a stream
	services  map[string]*serviceBuilds
	recent    streamRecords // streams older than two lifetimes are dropped
	older     streamRecords
	rotatedAt time.Duration
	listedAt  time.Duration // start of the last read of the endpoint list
}

const (
	// maxBuildListAge is the age of the endpoint list from which an endpoint of another build
	// may serve unnoticed.
	maxBuildListAge = 3200 * time.Millisecond
	// maxDefaultAge is how long a default is relied on after it was read from the log while
	// endpoints of other builds serve.
	maxDefaultAge = 10 * time.Second
	// unsettledTime is how long a default stays unsettled before it changes.
	unsettledTime = maxDefaultAge + 2*time.Second
)

// serviceBuilds is what is known of a service.
type serviceBuilds struct {
	resumable      bool   // callers may take up streams of the service
	sole           string // the build of all endpoints, if isSole
	isSole         bool
	since          time.Duration // when that began
	standard       DefaultBuild  // Revision is 0 if none is known
	loadedAt       time.Duration // start of the last read of the default
	unsettledSince time.Duration // when this process first read that the default is unsettled
	unsaved        bool          // the log may have lost the default
}

// NewStreamBuilds returns a StreamBuilds without any records.
func NewStreamBuilds() *StreamBuilds {
	return &StreamBuilds{lifetime: 2 * defaultStreamTimeout, services: map[string]*serviceBuilds{}, recent: newStreamRecords(), older: newStreamRecords()}
}

// defaultStreamTimeout applies to routes that set no timeout.
const defaultStreamTimeout = 60 * time.Second

// SetRoutes sets the routes, which determine how long callers take up streams: a caller that
// repeats a request waits no longer than for two of its attempts.
func (b *StreamBuilds) SetRoutes(routes []Route) {
	longest := time.Duration(0)
	for _, r := range routes {
		if r.Kind != Stream || !r.Resumable {
			continue
		}
		longest = max(longest, cmp.Or(r.Timeout, defaultStreamTimeout))
		for _, t := range r.Targets {
			b.service(t.Service).resumable = true
		}
	}
	if longest > 0 {
		b.lifetime = 2 * longest
	}
}

// Lifetime returns how long callers take up streams.
func (b *StreamBuilds) Lifetime() time.Duration { return b.lifetime }

func (b *StreamBuilds) service(name string) *serviceBuilds {
	s := b.services[name]
	if s == nil {
		s = &serviceBuilds{}
		b.services[name] = s
	}
	return s
}

// ObserveEndpoints updates the builds of each service from the endpoint list, whose read started
// at the time readAt.
func (b *StreamBuilds) ObserveEndpoints(endpoints []Endpoint, readAt, now time.Duration) {
	gap := readAt-b.listedAt > maxBuildListAge // another build may have served meanwhile
	b.listedAt = readAt
	builds := map[string]string{}
	mixed := map[string]bool{}
	for _, e := range endpoints {
		if first, ok := builds[e.Service]; ok && first != e.Build {
			mixed[e.Service] = true
		}
		builds[e.Service] = e.Build
	}
	for name, build := range builds {
		s := b.service(name) // a starting process may not have read the configuration yet
		switch {
		case mixed[name]:
			s.isSole = false
		case gap || !s.isSole || s.sole != build:
			s.sole, s.isSole, s.since = build, true, now
		}
	}
}

// soleFor returns how long all endpoints have had the same build, as far as the endpoint list
// shows, 0 if they have not.
func (b *StreamBuilds) soleFor(s *serviceBuilds, now time.Duration) time.Duration {
	if !s.isSole || now-b.listedAt > maxBuildListAge {
		return 0
	}
	return now - s.since
}

// hasDefault reports whether a default is known, be it up to date or not.
func (s *serviceBuilds) hasDefault() bool { return s.standard.Revision > 0 }

// settled reports whether all streams of a service that callers may take up belong to the
// default build.
func (b *StreamBuilds) settled(s *serviceBuilds, now time.Duration) bool {
	return s.hasDefault() && !s.standard.Unsettled && s.sole == s.standard.Build && b.soleFor(s, now) >= b.lifetime
}

// SetDefaults takes over the defaults that the log held at the given time.
func (b *StreamBuilds) SetDefaults(defaults []DefaultBuild, readAt time.Duration) {
	for _, d := range defaults {
		s := b.service(d.Service) // a starting process may not have read the configuration yet
		if d.Revision < s.standard.Revision {
			continue // the log has returned from an older copy
		}
		if d.Unsettled && d.Revision > s.standard.Revision {
			s.unsettledSince = readAt
		}
		s.standard, s.loadedAt, s.unsaved = d, max(s.loadedAt, readAt), false
	}
}

// Default returns the default build of a service. It reports false if it is not known.
func (b *StreamBuilds) Default(service string, now time.Duration) (build string, known bool) {
	s := b.service(service)
	return s.standard.Build, s.hasDefault() && !s.standard.Unsettled && (now-s.loadedAt <= maxDefaultAge || b.settled(s, now))
}

// DefaultsToSave returns the defaults that the log lacks or that should change.
func (b *StreamBuilds) DefaultsToSave(now time.Duration) []DefaultBuild {
	var out []DefaultBuild
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		if d, ok := b.nextDefault(name, b.services[name], now); ok && b.services[name].resumable {
			out = append(out, d)
		}
	}
	return out
}

func (b *StreamBuilds) nextDefault(name string, s *serviceBuilds, now time.Duration) (next DefaultBuild, change bool) {
	next = DefaultBuild{Service: name, Build: s.standard.Build, Revision: s.standard.Revision + 1}
	fresh := s.isSole && now-b.listedAt <= maxBuildListAge
	outgrown := fresh && s.sole != s.standard.Build && b.soleFor(s, now) >= b.lifetime
	switch {
	case !s.hasDefault():
		next.Build = s.sole
		return next, fresh
	case s.unsaved:
		return s.standard, true
	case !s.standard.Unsettled:
		next.Unsettled = true
		return next, outgrown
	case outgrown && now-s.unsettledSince >= unsettledTime:
		next.Build = s.sole
		return next, true
	}
	return next, fresh && s.sole == s.standard.Build // the release was rolled back
}

// DefaultsOutdated reports whether the defaults should be read from the log.
func (b *StreamBuilds) DefaultsOutdated(now time.Duration) bool {
	for _, s := range b.services {
		if !s.resumable {
			continue
		}
		if !s.hasDefault() || s.standard.Unsettled || !b.settled(s, now) && now-s.loadedAt >= maxDefaultAge/2 {
			return true
		}
	}
	return false
}

// LogReturned records that the log has returned from an older copy and may lack defaults.
func (b *StreamBuilds) LogReturned() {
	for _, s := range b.services {
		s.unsaved = s.hasDefault()
	}
}

// Begin notes that an endpoint of a build has made the first event of a stream, in the given
// attempt. It reports whether that must be recorded in the log before the event reaches the
// caller.
func (b *StreamBuilds) Begin(service, requestID, build string, attempt int, now time.Duration) (StreamRecord, bool) {
	r := StreamRecord{StreamKey(service, requestID), BuildKey(build), uint8(min(attempt, math.MaxUint8))}
	standard, known := b.Default(service, now)
	if _, recorded := b.lookUp(r.Stream); known && standard == build && !recorded {
		return r, false
	}
	b.rotate(now)
	b.recent.add(r.Stream, knownStream{r.Build, r.Attempt, true})
	return r, true
}

// AddRecords adds records in any order.
func (b *StreamBuilds) AddRecords(records []StreamRecord, now time.Duration) {
	b.rotate(now)
	for _, r := range records {
		if k, ok := b.lookUp(r.Stream); !ok || r.Attempt > k.attempt {
			b.recent.add(r.Stream, knownStream{build: r.Build, attempt: r.Attempt})
		}
	}
}

// rotate drops streams that callers no longer take up.
func (b *StreamBuilds) rotate(now time.Duration) {
	if now-b.rotatedAt >= b.lifetime {
		b.older, b.recent, b.rotatedAt = b.recent, newStreamRecords(), now
	}
}

func (b *StreamBuilds) lookUp(stream uint64) (k knownStream, ok bool) {
	if k, ok = b.recent.byStream[stream]; !ok {
		k, ok = b.older.byStream[stream]
	}
	return k, ok
}

// recordsOnly reports whether no record names another build.
func (b *StreamBuilds) recordsOnly(build uint64) bool {
	for _, r := range []streamRecords{b.recent, b.older} {
		if len(r.builds) > 1 || len(r.builds) == 1 && !r.builds[build] {
			return false
		}
	}
	return true
}

// BuildOf returns the key of the build that began a stream, or false if it is not known. The
// argument complete states that all records and the defaults have been read since the caller
// sent the request.
func (b *StreamBuilds) BuildOf(service, requestID string, complete bool, now time.Duration) (build uint64, known bool) {
	if k, recorded := b.lookUp(StreamKey(service, requestID)); recorded && (k.own || complete) {
		return k.build, true
	}
	// Without a complete read, the list of one build proves nothing: another entry may already
	// have begun streams at a new one.
	standard, known := b.Default(service, now)
	if !known || !complete {
		return 0, false
	}
	build = BuildKey(standard)
	if requestID == "" && !b.recordsOnly(build) { // the caller does not name the stream, so any of the records may be the stream's
		return 0, false
	}
	return build, true
}

// KeepBuild excludes the candidates of other builds than the one with the given key.
func KeepBuild(cs []Candidate, build uint64) {
	for i := range cs {
		cs[i].Excluded = cs[i].Excluded || BuildKey(cs[i].Endpoint.Build) != build
	}
}
