package forward

import (
	"cmp"
	"slices"
	"time"
)

const maxTargets = 8 // versions to keep for each model

type target struct {
	version   int64
	previous  int64         // version that was the newest when this one was set, 0 if none, unknownVersion if unknown
	setAt     time.Duration // earliest time at which the version may have been set
	learnedAt time.Duration // when a process learned of it, not before it was set
}

// unknownVersion stands for a previous version that is not known.
const unknownVersion = -1

// UnknownNamingTime is the time of a target that may have been set long ago: the period
// in which older versions are allowed counts as over.
const UnknownNamingTime = -time.Hour

const (
	minRetireDelay = 4500 * time.Millisecond
	// retireShare is the share of the time within which endpoints get newer weights. By
	// then most have them, and the stores' memory is needed for the parts of these.
	retireShare = 0.6
)

// RetireDelayFor returns the RetireDelay for the bound within which requests on older weights
// must have ended. All processes must use the same one.
func RetireDelayFor(versionBound time.Duration) time.Duration {
	return max(minRetireDelay, time.Duration(retireShare*float64(versionBound)))
}

// AddTarget adds a target version that was read from the log. It was set at setAt or
// later and is learned now; setAt is UnknownNamingTime for a version that the first read
// found. It returns false if the version is not newer than the current target.
func (r *Rollout) AddTarget(w WeightVersion, setAt, now time.Duration) bool {
	ts := r.targets[w.Model]
	previous := int64(0)
	if n := len(ts); n > 0 {
		if previous = ts[n-1].version; previous >= w.Version {
			return false
		}
	}
	if setAt == UnknownNamingTime {
		previous = unknownVersion
	}
	r.insertTarget(w.Model, target{w.Version, previous, setAt, now})
	return true
}

// insertTarget adds a target in the order of versions and drops the oldest beyond
// maxTargets.
func (r *Rollout) insertTarget(model string, t target) {
	ts := r.targets[model]
	i, _ := slices.BinarySearchFunc(ts, t.version, func(t target, v int64) int { return cmp.Compare(t.version, v) })
	ts = slices.Insert(ts, i, t)
	if len(ts) > maxTargets {
		ts = slices.Delete(ts, 0, 1)
	}
	r.targets[model] = ts
}

// Naming tells when a weight version was named, as far as known.
type Naming struct {
	WeightVersion
	Previous int64         // version that was the newest before, 0 if none
	SetAt    time.Duration // earliest time at which the version may have been named
	KnownAt  time.Duration // latest time at which it may have been named
}

// RecordNaming adds what a peer, or an earlier run of the deployment, knew of a target. It
// reports whether the version is newer than all targets before. Each time is a bound, so the
// latest SetAt and the earliest KnownAt are the closest.
func (r *Rollout) RecordNaming(n Naming, now time.Duration) bool {
	ts := r.targets[n.Model]
	i, found := slices.BinarySearchFunc(ts, n.Version, func(t target, v int64) int { return cmp.Compare(t.version, v) })
	if !found {
		r.insertTarget(n.Model, target{n.Version, n.Previous, n.SetAt, min(n.KnownAt, now)})
		return i == len(ts)
	}
	t := &ts[i]
	if n.Previous < n.Version {
		t.previous = max(t.previous, n.Previous) // SetAt bounds no version between n.Previous and this one
	}
	t.setAt, t.learnedAt = max(t.setAt, n.SetAt), min(t.learnedAt, n.KnownAt)
	return false
}

// SetAt returns the earliest time at which a target version may have been set, and false if
// the version is no target or the time is not known.
func (r *Rollout) SetAt(w WeightVersion) (time.Duration, bool) {
	for _, t := range r.targets[w.Model] {
		if t.version == w.Version {
			return t.setAt, t.setAt != UnknownNamingTime
		}
	}
	return 0, false
}

// Namings returns the targets that were named after the given time.
func (r *Rollout) Namings(after time.Duration) []Naming {
	var out []Naming
	for model, ts := range r.targets {
		for _, t := range ts {
			if t.setAt > after && t.previous != unknownVersion {
				out = append(out, Naming{WeightVersion{model, t.version}, t.previous, t.setAt, t.learnedAt})
			}
		}
	}
	slices.SortFunc(out, func(a, b Naming) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// NamingsUnknown reports whether the naming time of a target is not known.
func (r *Rollout) NamingsUnknown() bool {
	for _, ts := range r.targets {
		if slices.ContainsFunc(ts, func(t target) bool { return t.setAt == UnknownNamingTime }) {
			return true
		}
	}
	return false
}

// OutdatedSince reports whether the endpoint's version of the model is older than a target
// version, and when the first such target was set. Each version has its own deadline,
// which a newer target does not extend.
func (r *Rollout) OutdatedSince(models []ModelState, model string) (time.Duration, bool) {
	for _, m := range models {
		if m.Name == model {
			return r.RetiredSince(model, m.Version)
		}
	}
	return 0, false
}

// pendingTarget returns the first model that has an older version than its newest
// target, with that target.
func (r *Rollout) pendingTarget(models []ModelState) (string, int64, bool) {
	for _, m := range models {
		ts := r.targets[m.Name]
		if len(ts) > 0 && m.Version < ts[len(ts)-1].version {
			return m.Name, ts[len(ts)-1].version, true
		}
	}
	return "", 0, false
}

// IsBehind reports whether one of the models has an older version than its newest target.
func (r *Rollout) IsBehind(models []ModelState) bool {
	_, _, behind := r.pendingTarget(models)
	return behind
}

// NewestTargets returns the newest target version of each model.
func (r *Rollout) NewestTargets() map[string]int64 {
	out := map[string]int64{}
	for model, ts := range r.targets {
		out[model] = ts[len(ts)-1].version
	}
	return out
}

// Targets returns all targets in force.
func (r *Rollout) Targets() []WeightVersion {
	var out []WeightVersion
	for model, ts := range r.targets {
		for _, t := range ts {
			out = append(out, WeightVersion{model, t.version})
		}
	}
	return out
}
