package gateway

import (
	"errors"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/forward"
)

// errEvacuated is returned when the failure domain of the endpoint that a request was placed on has
// been evacuated since.
var errEvacuated = errors.New("the endpoint's failure domain is evacuated")

// applyEvacuation applies an operators' record. The caller holds the state's mutex.
func (s *state) applyEvacuation(c forward.EvacuationChange, now time.Duration) {
	if !s.evacuations.Apply(c, now) {
		return
	}
	if c.Ended {
		s.evacuationEnded(c.Domain, now)
	} else {
		s.evacuationBegun(c.Domain, now)
	}
}

// snapshotEvacuations applies all evacuations that the log holds. The caller holds the state's mutex.
func (s *state) snapshotEvacuations(records []forward.OperatorChange, now time.Duration) {
	var domains []string
	for _, r := range records {
		if r.Evacuation != nil && !r.Evacuation.Ended {
			domains = append(domains, r.Evacuation.Domain)
		}
	}
	older := s.catchUp.Pending()
	before := len(s.evacuations.List())
	s.logEvacuations(s.evacuations.Snapshot(domains, older, now))
	if older && (before > 0 || len(domains) > 0) {
		log.Warn().Str("event", "evacuations_kept").Strs("in_log", domains).Int("in_force", before).Msg("the log has returned from an older copy; evacuations stay as they are until it holds all known records again")
	}
}

// settleEvacuations applies what was read while the log lacked known records. The caller holds the
// state's mutex.
func (s *state) settleEvacuations(now time.Duration) { s.logEvacuations(s.evacuations.Settle(now)) }

func (s *state) logEvacuations(begun, ended []string) {
	now := s.clock()
	for _, d := range ended {
		s.evacuationEnded(d, now)
	}
	for _, d := range begun {
		s.evacuationBegun(d, now)
	}
}

func (s *state) evacuationBegun(domain string, now time.Duration) {
	inside := s.endpointsIn(domain, now)
	if len(inside) == 0 && s.endpointListRead {
		log.Warn().Str("event", "evacuation_of_unknown_domain").Str("domain", domain).Msg("no endpoint is in this failure domain; check the name and delete the record if it is wrong")
		return
	}
	log.Info().Str("event", "evacuation_begun").Str("domain", domain).Int("endpoints", len(inside)).Msg("nothing more is sent to the endpoints of the failure domain")
}

// evacuationEnded lets requests go to the domain again. Its endpoints may have become cold shortly
// before the evacuation, or during it.
func (s *state) evacuationEnded(domain string, now time.Duration) {
	inside := s.endpointsIn(domain, now)
	for i := range inside {
		s.presumeWarmUp(&inside[i], "evacuation", now)
	}
	log.Info().Str("event", "evacuation_ended").Str("domain", domain).Int("endpoints", len(inside)).Msg("the endpoints of the failure domain get requests again; they count as warming up until their records say otherwise")
}

// endpointsIn returns the listed endpoints of a failure domain.
func (s *state) endpointsIn(domain string, now time.Duration) []forward.Endpoint {
	return slices.DeleteFunc(slices.Clone(s.listedEndpoints(now)), func(e forward.Endpoint) bool { return e.FailureDomain != domain })
}

// EvacuatedDomain is a failure domain to whose endpoints this process sends nothing.
type EvacuatedDomain struct {
	Domain  string `json:"domain"`
	SinceMs int64  `json:"since_ms"` // time since this process has known of the evacuation
}

// evacuated returns the evacuated failure domains. The caller holds the state's mutex.
func (s *state) evacuated(now time.Duration) []EvacuatedDomain {
	out := []EvacuatedDomain{}
	for _, e := range s.evacuations.List() {
		out = append(out, EvacuatedDomain{e.Domain, (now - e.Since).Milliseconds()})
	}
	return out
}
