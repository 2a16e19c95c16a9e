package forward

import (
	"cmp"
	"slices"
	"time"
)

// NamingProof is the record of a read of the log which showed that no version of a model
// newer than the given one was named before an instant.
type NamingProof struct {
	WeightVersion
	At Stamp
}

// NamingRecords are the log's records of when weight versions were named.
type NamingRecords struct {
	Namings []StoredNaming
	Proofs  []NamingProof
}

// MayProve reports whether the reads of a process prove that nothing newer was named. After
// a return of the log from an older copy, the log lacks versions that were named, and a process
// that has started since doesn't know them; it proves nothing until they have been written
// again.
func MayProve(era Era, catchUp *CatchUp, firstRead, now time.Duration) bool {
	return !catchUp.Pending() && (era == 0 || now >= firstRead+rewriteLimit)
}

// Proofs returns, for each model with a target, the proof that a read gives which showed
// nothing newer and started at the time asOf.
func (r *Rollout) Proofs(now Instant, asOf time.Duration) []NamingProof {
	var out []NamingProof
	for model, version := range r.NewestTargets() {
		out = append(out, NamingProof{WeightVersion{model, version}, now.NotAfter(asOf)})
	}
	slices.SortFunc(out, func(a, b NamingProof) int { return cmp.Compare(a.Model, b.Model) })
	return out
}

// Bound returns the naming of a version that no record names. Its lower bound is the last
// instant at which the newest older version with a proof was the newest of all. It returns
// false if there is no such proof, or if a record names the version.
func (rs *NamingRecords) Bound(w WeightVersion, now Instant) (Naming, bool) {
	if slices.ContainsFunc(rs.Namings, func(n StoredNaming) bool { return n.WeightVersion == w }) {
		return Naming{}, false
	}
	n := Naming{WeightVersion: w, KnownAt: now.Time}
	for _, p := range rs.Proofs {
		if p.Model != w.Model || p.Version >= w.Version || p.Version < max(n.Previous, 1) || now.Latest.precedes(p.At) {
			continue
		}
		setAt := now.Time - now.Latest.ElapsedSince(p.At)
		if p.Version == n.Previous {
			setAt = max(setAt, n.SetAt)
		}
		n.Previous, n.SetAt = p.Version, setAt
	}
	return n, n.Previous > 0
}

// precedes reports whether the time of day is before another stamp's by more than its error, so
// that the other stamp can't be an earlier one.
func (s Stamp) precedes(other Stamp) bool {
	return other.UnixMs > s.UnixMs+maxWallClockError.Milliseconds()
}
