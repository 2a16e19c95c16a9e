package forward

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// StreamRecord states which build made the first event of a stream. Both values are hashes.
type StreamRecord struct {
	Stream uint64 // see StreamKey
	Build  uint64 // see BuildKey
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
	Service string
	Build   string
}

// StreamBuilds knows which build began each stream that a caller may take up again. A service
// has a default build. A stream at any other build is recorded in the log before its first
// event reaches the caller, so a stream without a record belongs to the default build, and a
// service whose endpoints all have the default build needs no records.
//
// The default changes only when all endpoints of the service have had another build for longer
// than callers take up streams. Until the default is known, every stream is recorded.
type StreamBuilds struct {
	lifetime  time.Duration             // how long after its start callers may take up a stream
	services  map[string]*serviceBuilds // services whose streams may be taken up
	recent    map[uint64]uint64         // builds by stream; streams older than two lifetimes are dropped
	older     map[uint64]uint64
	rotatedAt time.Duration
	listedAt  time.Duration // when the endpoint list was last read
}

// maxBuildListAge is the age of the endpoint list from which an endpoint of another build may
// serve unnoticed.
const maxBuildListAge = 3200 * time.Millisecond

// serviceBuilds is what is known of a service.
type serviceBuilds struct {
	sole         string // the build of all endpoints, if isSole
	isSole       bool
	since        time.Duration // when that began
	defaultBuild string
	hasDefault   bool
	inDoubt      bool // another member may have changed the default
	unsaved      bool // the log may have lost the default
}

// NewStreamBuilds returns a StreamBuilds without any records.
func NewStreamBuilds() *StreamBuilds {
	return &StreamBuilds{lifetime: 2 * defaultStreamTimeout, services: map[string]*serviceBuilds{}, recent: map[uint64]uint64{}, older: map[uint64]uint64{}}
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
			b.service(t.Service)
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

// ObserveEndpoints updates the builds of each service from the endpoint list.
func (b *StreamBuilds) ObserveEndpoints(endpoints []Endpoint, now time.Duration) {
	b.listedAt = now
	builds := map[string]string{}
	mixed := map[string]bool{}
	for _, e := range endpoints {
		if first, ok := builds[e.Service]; ok && first != e.Build {
			mixed[e.Service] = true
		}
		builds[e.Service] = e.Build
	}
	for name, build := range builds {
		s := b.services[name]
		switch {
		case s == nil:
			continue
		case mixed[name]:
			s.isSole = false
		case !s.isSole || s.sole != build:
			s.sole, s.isSole, s.since = build, true, now
		}
		s.inDoubt = s.inDoubt || s.hasDefault && b.outgrown(s, now, b.lifetime/2)
	}
}

// outgrown reports whether all endpoints have had a build other than the default for the given
// time.
func (b *StreamBuilds) outgrown(s *serviceBuilds, now, after time.Duration) bool {
	return s.isSole && s.sole != s.defaultBuild && now-s.since >= after
}

// settled reports whether all streams of a service that callers may take up belong to the
// default build, as far as the endpoint list shows.
func (b *StreamBuilds) settled(service string, now time.Duration) bool {
	s := b.service(service)
	return s.hasDefault && s.isSole && s.sole == s.defaultBuild && now-s.since >= b.lifetime && now-b.listedAt <= maxBuildListAge
}

// SetDefaults takes over the defaults that the log holds.
func (b *StreamBuilds) SetDefaults(defaults []DefaultBuild, now time.Duration) {
	for _, d := range defaults {
		s := b.service(d.Service) // a starting process may not have read the configuration yet
		s.defaultBuild, s.hasDefault, s.unsaved = d.Build, true, false
		s.inDoubt = b.outgrown(s, now, b.lifetime/2)
	}
}

// Default returns the default build of a service. It reports false if it is not known.
func (b *StreamBuilds) Default(service string) (build string, known bool) {
	s := b.service(service)
	return s.defaultBuild, s.hasDefault && !s.inDoubt
}

// DefaultsToSave returns the defaults that the log lacks or that have changed.
func (b *StreamBuilds) DefaultsToSave(now time.Duration) []DefaultBuild {
	var out []DefaultBuild
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		s := b.services[name]
		switch {
		case !s.hasDefault && s.isSole, s.hasDefault && b.outgrown(s, now, b.lifetime):
			out = append(out, DefaultBuild{name, s.sole})
		case s.hasDefault && s.unsaved:
			out = append(out, DefaultBuild{name, s.defaultBuild})
		}
	}
	return out
}

// DefaultsUnknown reports whether the log should be asked for the defaults.
func (b *StreamBuilds) DefaultsUnknown() bool {
	for _, s := range b.services {
		if !s.hasDefault || s.inDoubt {
			return true
		}
	}
	return false
}

// LogReturned records that the log has returned from an older copy and may lack defaults.
func (b *StreamBuilds) LogReturned() {
	for _, s := range b.services {
		s.unsaved = s.hasDefault
	}
}

// Begin notes that a stream is sent to an endpoint of a build. It reports whether that must
// be recorded in the log before the stream's first event reaches the caller.
func (b *StreamBuilds) Begin(service, requestID, build string, now time.Duration) (StreamRecord, bool) {
	r := StreamRecord{StreamKey(service, requestID), BuildKey(build)}
	standard, known := b.Default(service)
	if known && standard == build {
		if _, recorded := b.lookUp(r.Stream); !recorded { // an earlier attempt at another build has no record
			return r, false
		}
	}
	b.AddRecords([]StreamRecord{r}, now)
	return r, true
}

// AddRecords adds records in the order of the log.
func (b *StreamBuilds) AddRecords(records []StreamRecord, now time.Duration) {
	if now-b.rotatedAt >= b.lifetime {
		b.older, b.recent, b.rotatedAt = b.recent, map[uint64]uint64{}, now
	}
	for _, r := range records {
		b.recent[r.Stream] = r.Build
	}
}

func (b *StreamBuilds) lookUp(stream uint64) (build uint64, ok bool) {
	if build, ok = b.recent[stream]; !ok {
		build, ok = b.older[stream]
	}
	return build, ok
}

// Recorded returns the key of the build that began a stream, if its record is known.
func (b *StreamBuilds) Recorded(service, requestID string) (build uint64, ok bool) {
	if requestID == "" { // the caller does not name the stream
		return 0, false
	}
	return b.lookUp(StreamKey(service, requestID))
}

// BuildOf returns the key of the build that began a stream, or false if it is not known. The
// argument complete states that all records and the defaults have been read since the caller
// sent the request.
func (b *StreamBuilds) BuildOf(service, requestID string, complete bool, now time.Duration) (build uint64, known bool) {
	if build, known = b.Recorded(service, requestID); known {
		return build, true
	}
	standard, known := b.Default(service)
	if known && (complete && requestID != "" || b.settled(service, now)) {
		return BuildKey(standard), true
	}
	return 0, false
}

// KeepBuild excludes the candidates of other builds than the one with the given key.
func KeepBuild(cs []Candidate, build uint64) {
	for i := range cs {
		cs[i].Excluded = cs[i].Excluded || BuildKey(cs[i].Endpoint.Build) != build
	}
}
