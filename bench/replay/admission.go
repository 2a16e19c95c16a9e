package replay

import (
	"time"

	"github.com/galenaweir/galenaweir/bench/trace"
	"github.com/galenaweir/galenaweir/core/admission"
	"github.com/galenaweir/galenaweir/core/admission/fair"
	_ "github.com/galenaweir/galenaweir/core/admission/fifo" // plug-in
	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/routing"
)

// Settings of the classes, as in the examples' configurations.
const (
	classes          = routing.NumClasses
	interactiveClass = 0
	standardClass    = 1
	batchClass       = 2
	reservedSlots    = 2
	standardMinShare = 0.2
	batchMinShare    = 0.1

	maxWaiting = 1000 // agent/gate.go
)

// classNames are the classes by their numbers.
var classNames = [classes]string{trace.Interactive, trace.Standard, trace.Batch}

// at is the virtual time as the product's code takes it.
func at(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

// queue is the product's admission policy before one engine.
type queue struct {
	policy admission.Policy
	work   map[*admission.Request]*work // that waits
	tokens [classes]int                 // of it, to prefill
}

// newQueue configures the policy as agent/gate.go does.
func (s *sim) newQueue() *queue {
	id := s.o.Admission
	if id == "" {
		id = fair.ID
	}
	p, err := kernel.New[admission.Policy](id)
	if err != nil {
		panic(err) // a wrong name in the calling code
	}
	d := s.t.Deployment
	p.Configure(admission.Options{
		Slots: d.Slots, MaxWaiting: maxWaiting,
		TokensPerSecond: max(d.PrefillRate/float64(d.Slots), float64(time.Second/millis(d.DecodeMs))),
		Classes: map[string]admission.Class{
			trace.Interactive: {Rank: 2, ReservedSlots: reservedSlots}, trace.Standard: {Rank: 1, MinShare: standardMinShare},
			trace.Batch: {MinShare: batchMinShare},
		},
	})
	return &queue{policy: p, work: map[*admission.Request]*work{}}
}

func (q *queue) offer(w *work, weight float64, now time.Duration) bool {
	w.admission = &admission.Request{
		Customer: w.customer, Weight: weight, Class: classNames[w.class], Tokens: w.prompt + w.output, Deadline: at(w.deadline),
	}
	if q.policy.Enqueue(w.admission, at(now)).Outcome != admission.Accepted {
		return false
	}
	q.work[w.admission] = w
	q.tokens[w.class] += w.tokens
	return true
}

// next returns the work to start, nil when there is none that may start.
func (q *queue) next(now time.Duration) *work {
	r := q.policy.Next(at(now))
	if r == nil {
		return nil
	}
	return q.remove(r)
}

func (q *queue) remove(r *admission.Request) *work {
	w := q.work[r]
	delete(q.work, r)
	q.tokens[w.class] -= w.tokens
	return w
}

// cancel takes back work that waits.
func (q *queue) cancel(w *work) {
	if q.policy.Cancel(w.admission) {
		q.remove(w.admission)
	}
}

// ahead returns the queued prefill tokens of the class and those above it.
func (q *queue) ahead(class int) int {
	n := 0
	for _, tokens := range q.tokens[:class+1] {
		n += tokens
	}
	return n
}
