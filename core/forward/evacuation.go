package forward

import (
	"maps"
	"slices"
	"time"
)

// EvacuationChange says that the operators evacuate a failure domain, or that an evacuation has ended.
type EvacuationChange struct {
	Domain string
	Ended  bool
}

// Evacuation is an evacuated failure domain.
type Evacuation struct {
	Domain string
	Since  time.Duration // when this process learned of it
}

// Evacuations holds the failure domains to whose endpoints nothing is sent. The zero value holds
// none.
type Evacuations struct {
	active   map[string]time.Duration
	deferred map[string]bool // by the log's records, while those may lack or repeat newer ones; nil otherwise
}

// Active reports whether a failure domain is evacuated.
func (e *Evacuations) Active(domain string) bool {
	_, ok := e.active[domain]
	return ok
}

// List returns the evacuated failure domains, sorted by name.
func (e *Evacuations) List() []Evacuation {
	var out []Evacuation
	for _, d := range slices.Sorted(maps.Keys(e.active)) {
		out = append(out, Evacuation{d, e.active[d]})
	}
	return out
}

// Apply applies a change and reports whether it changed anything.
func (e *Evacuations) Apply(c EvacuationChange, now time.Duration) bool {
	if e.deferred != nil {
		e.deferred[c.Domain] = !c.Ended
	}
	return e.set(c.Domain, !c.Ended, now)
}

func (e *Evacuations) set(domain string, evacuated bool, now time.Duration) bool {
	if e.active == nil {
		e.active = map[string]time.Duration{}
	}
	if e.Active(domain) == evacuated {
		return false
	}
	if evacuated {
		e.active[domain] = now
	} else {
		delete(e.active, domain)
	}
	return true
}

// Snapshot applies all evacuations that the log holds, and returns the domains that are evacuated
// from now on and those that no longer are. If the log may be older than what is known, nothing
// changes until Settle: an evacuation that is missing may have been lost, and one that is there may
// have ended.
func (e *Evacuations) Snapshot(domains []string, older bool, now time.Duration) (begun, ended []string) {
	e.deferred = map[string]bool{}
	for _, d := range domains {
		e.deferred[d] = true
	}
	if older {
		return nil, nil
	}
	return e.Settle(now)
}

// Settle applies a snapshot that was put off, once the log holds all known records again.
func (e *Evacuations) Settle(now time.Duration) (begun, ended []string) {
	if e.deferred == nil {
		return nil, nil
	}
	for _, d := range slices.Sorted(maps.Keys(e.active)) {
		if !e.deferred[d] && e.set(d, false, now) {
			ended = append(ended, d)
		}
	}
	for _, d := range slices.Sorted(maps.Keys(e.deferred)) {
		if e.deferred[d] && e.set(d, true, now) {
			begun = append(begun, d)
		}
	}
	e.deferred = nil
	return begun, ended
}
