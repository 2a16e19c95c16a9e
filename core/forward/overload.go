package forward

import (
	"math"
	"time"
)

// How the share of the requests that are placed follows the samples of the processor.
const (
	lateCut     = 0.7  // of the share that is left after a late sample
	timelyGain  = 0.03 // of the share that is added after a sample in time, once more for each one before in a row
	maxGain     = 0.5
	minAccepted = 0.02 // some are placed always, to learn when there is room again
	// fullFrom is the share of refused placements from which a service is shed before others.
	fullFrom = 0.4
	// placedMargin is how many requests are left to the placement for each that finds room: enough
	// to use the endpoints up, and so few that less than fullFrom of them are refused.
	placedMargin = 1.5

	spreadTime = 2 * time.Second // after a late sample; those that were spread come back by then
	// maxSpread bounds by how much the callers of a service with hardly any room are spread.
	maxSpread = 16
)

// ServiceDemand is what became of the requests for one service at this entry.
type ServiceDemand struct {
	placed, refused Rate // decisions of the placement
	shed            Rate // refused before that
	accepted        float64
}

// RecordPlacement records whether a request was refused for lack of room at the endpoints.
func (d *ServiceDemand) RecordPlacement(refused bool, now time.Duration) {
	if refused {
		d.refused.Add(now)
	} else {
		d.placed.Add(now)
	}
}

// full reports whether the endpoints have no room for a large part of the requests.
func (d *ServiceDemand) full(now time.Duration) bool {
	refused := d.refused.PerSecond(now)
	return refused >= fullFrom*max(refused+d.placed.PerSecond(now), 1)
}

// worthPlacing returns the share of the requests that the endpoints may have room for.
func (d *ServiceDemand) worthPlacing(now time.Duration) float64 {
	placed := d.placed.PerSecond(now)
	all := placed + d.refused.PerSecond(now) + d.shed.PerSecond(now)
	return min(placedMargin*max(placed, 1)/max(all, 1), 1)
}

// Shedder decides which requests are refused before they are placed, while the entry has more of
// them than processor time. A refusal after the placement costs several times as much.
type Shedder struct {
	services map[string]*ServiceDemand
	timely   int // samples in time since the last late one
	lateAt   time.Duration
	wasLate  bool // lateAt is set
}

// Service returns the demand for a service.
func (s *Shedder) Service(name string) *ServiceDemand {
	d := s.services[name]
	if d == nil {
		if s.services == nil {
			s.services = map[string]*ServiceDemand{}
		}
		d = &ServiceDemand{accepted: 1}
		s.services[name] = d
	}
	return d
}

// Adjust takes a sample of the processor into account: late says whether tasks that could run waited
// for it. Requests that would be refused anyway are shed first, and only then those of all services.
func (s *Shedder) Adjust(late bool, now time.Duration) {
	if s.timely++; late {
		s.timely, s.lateAt, s.wasLate = 0, now, true
	}
	anyFull := false
	for _, d := range s.services {
		anyFull = anyFull || d.full(now)
	}
	for _, d := range s.services {
		switch {
		case !late:
			d.accepted = min(d.accepted*(1+min(timelyGain*float64(s.timely), maxGain)), 1)
		case d.full(now):
			d.accepted = max(d.accepted*lateCut, min(d.worthPlacing(now), d.accepted), minAccepted)
		case !anyFull:
			d.accepted = max(d.accepted*lateCut, minAccepted)
		}
	}
}

// Sheds decides about a request for a service by a random number from 0 to 1.
func (s *Shedder) Sheds(service string, random float64, now time.Duration) bool {
	d := s.Service(service)
	if random < d.accepted {
		return false
	}
	d.shed.Add(now)
	return true
}

// Spread returns the time after which callers come back that were refused for lack of room: base
// while the entry has processor time to spare, as places become free all the time. Else it is base
// for each request that is refused beside one that is placed: all that come back at once would cost
// the entry the time for those that it could serve.
func (s *Shedder) Spread(service string, base, now time.Duration) time.Duration {
	if !s.wasLate || now >= s.lateAt+spreadTime {
		return base
	}
	d := s.Service(service)
	refused, placed := d.refused.PerSecond(now)+d.shed.PerSecond(now), d.placed.PerSecond(now)
	return time.Duration(float64(base) * min(max(refused/max(placed, 1), 1), maxSpread))
}

// Shares returns the share of the requests that are shed for each service with any, rounded.
func (s *Shedder) Shares() map[string]float64 {
	out := map[string]float64{}
	for name, d := range s.services {
		if d.accepted < 1 {
			out[name] = math.Round((1-d.accepted)*100) / 100
		}
	}
	return out
}
