package forward

import (
	"cmp"
	"slices"
	"time"
)

// Bounds on the prompts that wait at an entry for room at the endpoints.
const (
	maxLineLength = 64 // prompts of one service

	// lineTargetShare is the share of a route's latency target for which a prompt may wait. The rest is
	// for its prefill.
	lineTargetShare = 0.7

	// lineTimeShare is the share of the time to its deadline for which a prompt may wait.
	lineTimeShare = 0.25

	// hopelessTime is how long after a prompt has waited in vain others of its rank, and of less urgent
	// ones, are refused at once if the line isn't empty: they would wait in vain too.
	hopelessTime = 300 * time.Millisecond

	// urgentShare is the share of the latency target of more urgent routes up to which less urgent
	// prompts fill the queue of an endpoint. An urgent prompt is refused from maxWaitShare of its target
	// on, so what it finds must be well below that.
	urgentShare = 0.2
)

// LinePlace is the place of a prompt in a line.
type LinePlace struct {
	rank      int
	overShare bool // the customer has placed more than its share
	number    uint64
}

func (p *LinePlace) compare(o *LinePlace) int {
	return cmp.Or(cmp.Compare(p.rank, o.rank), cmp.Compare(boolInt(p.overShare), boolInt(o.overShare)), cmp.Compare(p.number, o.number))
}

// Line orders the prompts of a service that wait at this entry: by rank, then those of customers within
// their share, then by arrival. The line of each entry follows the same loads of the endpoints, so no
// message passes between entries for it. The zero value is empty.
//
// Load pattern: a burst of long patient prompts beside short urgent ones, together below what the
// engines can prefill. An engine prefills prompts in the order in which it takes them while its memory
// lasts. If the long ones go to the engines at once, the urgent ones find queues longer than they can
// wait for; if they wait here, the engines stay busy with short queues.
type Line struct {
	places     []*LinePlace // sorted
	next       uint64
	waitedVain [RankCount]time.Duration
	inVain     [RankCount]bool // waitedVain is set
}

// Len returns the number of prompts that wait.
func (l *Line) Len() int { return len(l.places) }

// MustWait reports whether a prompt of the given rank has to wait because others of its rank, or of a
// more urgent one, do.
func (l *Line) MustWait(rank int) bool { return len(l.places) > 0 && l.places[0].rank <= rank }

// Join adds a prompt. It returns nil if the prompt would wait in vain.
func (l *Line) Join(rank int, overShare bool, now time.Duration) *LinePlace {
	if len(l.places) >= maxLineLength || l.hopeless(rank, now) {
		return nil
	}
	l.next++
	p := &LinePlace{rank: rank, overShare: overShare, number: l.next}
	i, _ := slices.BinarySearchFunc(l.places, p, (*LinePlace).compare)
	l.places = slices.Insert(l.places, i, p)
	return p
}

// hopeless reports whether a prompt of the same or a more urgent rank has just waited in vain, and
// others like it still wait.
func (l *Line) hopeless(rank int, now time.Duration) bool {
	if !l.MustWait(rank) {
		return false
	}
	for r := range rank + 1 {
		if l.inVain[r] && now < l.waitedVain[r]+hopelessTime {
			return true
		}
	}
	return false
}

// First returns the prompt that is placed next, nil if none waits.
func (l *Line) First() *LinePlace {
	if len(l.places) == 0 {
		return nil
	}
	return l.places[0]
}

// Leave removes a prompt. inVain states that it has waited for as long as it may.
func (l *Line) Leave(p *LinePlace, inVain bool, now time.Duration) {
	if i := slices.Index(l.places, p); i >= 0 {
		l.places = slices.Delete(l.places, i, i+1)
	}
	if inVain {
		l.waitedVain[p.rank], l.inVain[p.rank] = now, true
	}
}

// LineTime returns for how long a prompt may wait, given its route's latency target and the time to
// its deadline, 0 if it may not.
func LineTime(target, left time.Duration) time.Duration {
	if target <= 0 {
		return 0
	}
	return min(time.Duration(lineTargetShare*float64(target)), time.Duration(lineTimeShare*float64(left)))
}

// LeavesRoom reports whether a prompt with the choice c leaves room for the more urgent prompts of its
// service, whose shortest latency target is urgentTarget, 0 if there are none.
func LeavesRoom(c Choice, urgentTarget time.Duration) bool {
	return urgentTarget <= 0 || float64(c.QueueWait) <= urgentShare*float64(urgentTarget)
}

// UrgentTarget returns the shortest latency target of the routes with prompts for the service that are
// more urgent than r, 0 if there are none.
func (t *Table) UrgentTarget(service string, r *Route) time.Duration {
	shortest := time.Duration(0)
	for i := range t.Config.Routes {
		o := &t.Config.Routes[i]
		if !o.CarriesPrompts || o.Priority >= r.Priority || o.LatencyTarget <= 0 || !slices.ContainsFunc(o.Targets, func(x Target) bool { return x.Service == service }) {
			continue
		}
		if shortest == 0 || o.LatencyTarget < shortest {
			shortest = o.LatencyTarget
		}
	}
	return shortest
}
