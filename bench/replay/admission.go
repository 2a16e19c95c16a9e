package replay

import "time"

// This file is the seam to core/admission: the replay uses fairAdmission, a small
// local implementation, until the product's admission policies are merged; then
// they take its place and this type goes.

// admission orders the work at one agent.
type admission interface {
	// offer takes the work, or refuses it because it can't meet its deadline.
	offer(w *work, engineAhead int, now time.Duration) bool
	// next returns the work to start, nil when there is none that may start.
	next(running int) *work
	// ahead returns the queued tokens that go before a request of the class.
	ahead(class int) int
	waiting() int
}

// Settings of the local admission, as in the deployments' configuration.
const (
	classes           = 3
	reservedSlots     = 2
	shareHorizon      = 200_000 // tokens after which a class's past counts half
	historyDecay      = 0.5
	interactiveClass  = 0
	standardClass     = 1
	batchClass        = 2
	standardMinShare  = 0.2
	batchMinShare     = 0.1
	decodeTokenWeight = 4 // a decoded token's cost in prefill tokens, for fairness
)

var minShares = [classes]float64{0, standardMinShare, batchMinShare}

// fairAdmission is start-time fair queueing over customers within classes.
type fairAdmission struct {
	slots  int
	rate   float64 // prefill tokens per second
	decode time.Duration
	queues [classes][]*work
	tokens [classes]int
	finish [classes]map[string]float64
	clock  [classes]float64
	served [classes]float64
}

func newFairAdmission(slots int, rate float64, decode time.Duration) *fairAdmission {
	a := &fairAdmission{slots: slots, rate: rate, decode: decode}
	for i := range a.finish {
		a.finish[i] = map[string]float64{}
	}
	return a
}

func (a *fairAdmission) offer(w *work, engineAhead int, now time.Duration) bool {
	tag := max(a.clock[w.class], a.finish[w.class][w.customer])
	before := engineAhead
	for class := range w.class {
		before += a.tokens[class]
	}
	for _, q := range a.queues[w.class] {
		if q.tag <= tag {
			before += q.tokens
		}
	}
	end := now + seconds(float64(before+w.tokens)/a.rate) + time.Duration(w.output)*a.decode
	if end > w.deadline {
		return false
	}
	w.tag = tag
	a.finish[w.class][w.customer] = tag + float64(w.tokens+decodeTokenWeight*w.output)
	a.queues[w.class] = append(a.queues[w.class], w)
	a.tokens[w.class] += w.tokens
	return true
}

// class picks the highest class with work, unless a lower one is below its share.
func (a *fairAdmission) class(running int) int {
	total := a.served[interactiveClass] + a.served[standardClass] + a.served[batchClass]
	chosen := -1
	for class := classes - 1; class >= 0; class-- {
		if len(a.queues[class]) == 0 || class > interactiveClass && running >= a.slots-reservedSlots {
			continue
		}
		if a.served[class] < minShares[class]*total {
			return class
		}
		chosen = class
	}
	return chosen
}

func (a *fairAdmission) next(running int) *work {
	if running >= a.slots {
		return nil
	}
	class := a.class(running)
	if class < 0 {
		return nil
	}
	queue, best := a.queues[class], 0
	for i, w := range queue {
		if w.tag < queue[best].tag {
			best = i
		}
	}
	w := queue[best]
	a.queues[class] = append(queue[:best], queue[best+1:]...)
	a.tokens[class] -= w.tokens
	a.clock[class] = max(a.clock[class], w.tag)
	a.served[class] += float64(w.tokens)
	if a.served[interactiveClass]+a.served[standardClass]+a.served[batchClass] > shareHorizon {
		for i := range a.served {
			a.served[i] *= historyDecay
		}
	}
	return w
}

func (a *fairAdmission) ahead(class int) int {
	n := 0
	for c := 0; c <= class; c++ {
		n += a.tokens[c]
	}
	return n
}

func (a *fairAdmission) waiting() int {
	n := 0
	for _, q := range a.queues {
		n += len(q)
	}
	return n
}
