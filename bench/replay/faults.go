package replay

import (
	"math"
	"time"

	"github.com/galenaweir/galenaweir/bench/trace"
)

// scheduleFault schedules the start and the end of the fault.
func (s *sim) scheduleFault(f trace.Fault) {
	begin, end := func() {}, func() {}
	switch f.Kind {
	case trace.StoreLost:
		st := s.storeByID(f.Target)
		begin, end = st.fail, func() { st.link.down = false }
	case trace.LinkSlow:
		l := s.storeByID(f.Target).link
		begin, end = func() { l.rateFactor = f.Factor }, func() { l.rateFactor = 1 }
	case trace.DomainLost:
		begin, end = func() { s.setDomainLost(f.Target, true) }, func() { s.setDomainLost(f.Target, false) }
	case trace.EntriesLost:
		lost := s.entries[:s.entryCount(f.Factor)]
		begin, end = forEach(lost, (*entry).crash), forEach(lost, func(e *entry) { e.lost = false })
	case trace.EntriesSlow: // taken from the end, so that they differ from the lost ones if possible
		slow := s.entries[len(s.entries)-s.entryCount(f.Factor):]
		begin, end = forEach(slow, func(e *entry) { e.slow = true }), forEach(slow, func(e *entry) { e.slow = false })
	case trace.WeightRollout:
		begin = s.rollOutWeights
	}
	s.clock.at(millis(f.AtMs), begin)
	if f.DurationMs > 0 {
		s.clock.at(millis(f.AtMs+f.DurationMs), end)
	}
}

func (s *sim) storeByID(id string) *store {
	for _, st := range s.stores {
		if st.id == id {
			return st
		}
	}
	return s.stores[0]
}

// entryCount returns the number of entries in the given share of them, rounded up.
func (s *sim) entryCount(share float64) int { return int(math.Ceil(share * float64(len(s.entries)))) }

func forEach(es []*entry, f func(*entry)) func() {
	return func() {
		for _, e := range es {
			f(e)
		}
	}
}

// setDomainLost fails or restores the endpoints and entries of a failure domain.
// The stores are not affected, so that their loss is measured separately.
func (s *sim) setDomainLost(id string, lost bool) {
	for i, a := range s.agents {
		if a.failureDomain != id {
			continue
		}
		if lost {
			a.crash()
			s.clock.after(suspectAfter, func() { s.setMemberIf(i, memberSuspect, a.dead) })
			s.clock.after(goneAfter, func() { s.setMemberIf(i, memberGone, a.dead) })
		} else {
			a.dead, a.weightVersion = false, s.weightVersion
			s.clock.after(liveAfter, func() { s.setMemberIf(i, memberLive, !a.dead) })
		}
	}
	for _, e := range s.entries {
		if e.failureDomain != id {
			continue
		}
		if lost {
			e.crash()
		} else {
			e.lost = false
		}
	}
}

// setMemberIf sets the membership state of agent i if the condition holds.
func (s *sim) setMemberIf(i int, state memberState, condition bool) {
	if condition {
		s.members[i] = state
	}
}

// rollOutWeights loads new weights on all agents, at most MaxLoading at a time.
// Running sequences continue. A loading agent refuses new work.
func (s *sim) rollOutWeights() {
	s.weightVersion++
	next := 0
	var loadNext func()
	loadNext = func() {
		if next == len(s.agents) {
			return
		}
		a := s.agents[next]
		next++
		a.loadingWeights = true
		s.clock.after(time.Duration(s.trace.Deployment.WeightLoadMs*float64(time.Millisecond)), func() {
			a.loadingWeights, a.weightVersion = false, s.weightVersion
			loadNext()
		})
	}
	for range s.trace.Deployment.MaxLoading {
		loadNext()
	}
}
