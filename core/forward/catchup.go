package forward

import (
	"maps"
	"time"
)

// rewriteLimit is the longest time after a return of the log for which its records count
// as incomplete because they are older than those known before.
const rewriteLimit = 10 * time.Second

// Knowledge is how new a process's knowledge of the operators' records is.
type Knowledge struct {
	ConfigVersion int64
	Weights       map[string]int64 // newest named weight version, by model
}

// covers reports whether k is as new as o.
func (k *Knowledge) covers(o Knowledge) bool {
	if k.ConfigVersion < o.ConfigVersion {
		return false
	}
	for model, version := range o.Weights {
		if k.Weights[model] < version {
			return false
		}
	}
	return true
}

// CatchUp tells, after the log has returned from an older copy, whether the log holds the
// operators' records again that were known before. Until then, a read that finds nothing
// new does not prove that nothing newer was written.
type CatchUp struct {
	pending bool
	since   time.Duration
	held    Knowledge // newest records read in the current era
}

// Begin records that the log has returned.
func (c *CatchUp) Begin(now time.Duration) { *c = CatchUp{pending: true, since: now} }

// Pending reports whether the log's records still count as incomplete.
func (c *CatchUp) Pending() bool { return c.pending }

// RecordConfig records a configuration that was read from the log.
func (c *CatchUp) RecordConfig(version int64) {
	c.held.ConfigVersion = max(c.held.ConfigVersion, version)
}

// RecordWeights records a named weight version that was read from the log.
func (c *CatchUp) RecordWeights(w WeightVersion) {
	if c.held.Weights == nil {
		c.held.Weights = map[string]int64{}
	}
	c.held.Weights[w.Model] = max(c.held.Weights[w.Model], w.Version)
}

// Check ends the catch-up once the log holds what is known, or after rewriteLimit. It
// reports whether this call ended it, and whether the log then held everything.
func (c *CatchUp) Check(known Knowledge, now time.Duration) (ended, complete bool) {
	if !c.pending {
		return false, false
	}
	complete = c.held.covers(known)
	c.pending = !complete && now < c.since+rewriteLimit
	return !c.pending, complete
}

// Merge returns the newer of each record of k and o.
func (k Knowledge) Merge(o Knowledge) Knowledge {
	out := Knowledge{ConfigVersion: max(k.ConfigVersion, o.ConfigVersion), Weights: map[string]int64{}}
	maps.Copy(out.Weights, k.Weights)
	for model, version := range o.Weights {
		out.Weights[model] = max(out.Weights[model], version)
	}
	return out
}

// Limits for a process that has just started and learns from its peers what the log may
// not hold.
const (
	peerWaitLimit    = 800 * time.Millisecond // how long a starting process waits for the first report of a peer
	peersAheadLimit  = 8 * time.Second        // how long it waits for a configuration that only its peers know
	levelConfirmTime = time.Second            // how long it must know as much as its peers until the start counts as complete
)

// StartState is the state of a process that has just read its first configuration.
type StartState int

// States of Startup.
const (
	StartComplete StartState = iota
	StartAwaitsPeers
	StartBehindPeers
)

// Startup decides whether a process that has just started may serve with the configuration
// that it has read. After a return of the log, the configuration that the log holds can be
// older than the one that running processes use.
type Startup struct {
	firstRead  time.Duration // when the first configuration was read
	levelSince time.Duration // since when the process knows as much as its peers
	complete   bool
	GaveUp     bool // served on with an older configuration than that of the peers
}

// Complete reports whether the start is complete.
func (s *Startup) Complete() bool { return s.complete }

// Check returns the state at the given time. The arguments are the era of the log, whether
// other members of the group exist, whether a report of one has arrived, and the versions of
// the configuration that this process and its peers have.
func (s *Startup) Check(era Era, hasPeers, heard bool, own, peers int64, now time.Duration) StartState {
	if s.complete || era == 0 {
		return StartComplete
	}
	if s.firstRead == 0 {
		s.firstRead = now
	}
	switch {
	case !heard && hasPeers && now < s.firstRead+peerWaitLimit:
		return StartAwaitsPeers
	case own < peers && now < s.firstRead+peersAheadLimit:
		s.levelSince = 0
		return StartBehindPeers
	case own < peers:
		s.complete, s.GaveUp = true, true
		return StartComplete
	}
	if s.levelSince == 0 {
		s.levelSince = now
	}
	s.complete = now >= s.levelSince+levelConfirmTime
	return StartComplete
}
