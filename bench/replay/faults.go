package replay

import (
	"math"
	"time"

	"github.com/galenaweir/galenaweir/bench/trace"
)

// fault schedules the fault and its end.
func (s *sim) fault(f trace.Fault) {
	begin, end := func() {}, func() {}
	switch f.Kind {
	case trace.StoreLost:
		st := s.storeByID(f.Target)
		begin, end = st.lose, func() { st.link.down = false }
	case trace.LinkSlow:
		l := s.storeByID(f.Target).link
		begin, end = func() { l.factor = f.Factor }, func() { l.factor = 1 }
	case trace.DomainLost:
		begin, end = func() { s.domain(f.Target, true) }, func() { s.domain(f.Target, false) }
	case trace.EntriesLost:
		lost := s.entries[:s.share(f.Factor)]
		begin, end = each(lost, (*entry).lose), each(lost, func(e *entry) { e.lost = false })
	case trace.EntriesSlow: // others than are lost, as far as there are
		slow := s.entries[len(s.entries)-s.share(f.Factor):]
		begin, end = each(slow, func(e *entry) { e.slow = true }), each(slow, func(e *entry) { e.slow = false })
	case trace.WeightRollout:
		begin = s.rollout
	}
	s.c.at(millis(f.AtMs), begin)
	if f.ForMs > 0 {
		s.c.at(millis(f.AtMs+f.ForMs), end)
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

// share returns the number of entries that a share of them is, rounded up.
func (s *sim) share(of float64) int { return int(math.Ceil(of * float64(len(s.entries)))) }

func each(es []*entry, f func(*entry)) func() {
	return func() {
		for _, e := range es {
			f(e)
		}
	}
}

// domain loses or restores the endpoints and entries of a failure domain. The
// stores stay, so that their loss is measured for itself.
func (s *sim) domain(id string, lost bool) {
	for i, a := range s.agents {
		if a.domain != id {
			continue
		}
		if lost {
			a.die()
			s.c.after(suspectAfter, func() { s.member(i, suspect, a.dead) })
			s.c.after(goneAfter, func() { s.member(i, gone, a.dead) })
		} else {
			a.dead, a.version = false, s.version
			s.c.after(liveAfter, func() { s.member(i, live, !a.dead) })
		}
	}
	for _, e := range s.entries {
		if e.domain != id {
			continue
		}
		if lost {
			e.lose()
		} else {
			e.lost = false
		}
	}
}

func (s *sim) member(i int, m member, still bool) {
	if still {
		s.members[i] = m
	}
}

// rollout loads new weights on all servers, at most MaxLoading at once. Running
// sequences go on; new work waits for the weights.
func (s *sim) rollout() {
	s.version++
	next := 0
	var load func()
	load = func() {
		if next == len(s.agents) {
			return
		}
		a := s.agents[next]
		next++
		a.loading = true
		s.c.after(time.Duration(s.t.Deployment.WeightLoadMs*float64(time.Millisecond)), func() {
			a.loading, a.version = false, s.version
			load()
		})
	}
	for range s.t.Deployment.MaxLoading {
		load()
	}
}
