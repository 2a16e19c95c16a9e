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

// Settings of the priority classes, as in the example configurations.
const (
	classCount       = routing.NumClasses
	interactiveClass = 0
	standardClass    = 1
	batchClass       = 2
	reservedSlots    = 2
	standardMinShare = 0.2
	batchMinShare    = 0.1

	maxWaiting = 1000 // agent/gate.go
)

// classNames maps the class numbers to their names.
var classNames = [classCount]string{trace.Interactive, trace.Standard, trace.Batch}

// wallTime converts virtual time to the time.Time that the product's code expects.
func wallTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

// admissionQueue is the queue in front of one engine, ordered by the product's
// admission policy.
type admissionQueue struct {
	policy        admission.Policy
	waiting       map[*admission.Request]*workItem // items that wait for a slot
	waitingTokens [classCount]int                  // prefill tokens of the waiting items, by class
}

// newQueue configures the policy as agent/gate.go does.
func (s *sim) newQueue() *admissionQueue {
	id := s.options.Admission
	if id == "" {
		id = fair.ID
	}
	p, err := kernel.New[admission.Policy](id)
	if err != nil {
		panic(err) // the caller passed an unknown policy ID
	}
	d := s.trace.Deployment
	p.Configure(admission.Options{
		Slots: d.Slots, MaxWaiting: maxWaiting,
		TokensPerSecond: max(d.PrefillTokensPerSecond/float64(d.Slots), float64(time.Second/millis(d.DecodeMsPerToken))),
		Classes: map[string]admission.Class{
			trace.Interactive: {Rank: 2, ReservedSlots: reservedSlots}, trace.Standard: {Rank: 1, MinShare: standardMinShare},
			trace.Batch: {MinShare: batchMinShare},
		},
	})
	return &admissionQueue{policy: p, waiting: map[*admission.Request]*workItem{}}
}

// offer enqueues the item. It returns false if the admission policy refuses it.
func (q *admissionQueue) offer(w *workItem, weight float64, now time.Duration) bool {
	w.admission = &admission.Request{
		Customer: w.customer, Weight: weight, Class: classNames[w.class], Tokens: w.promptTokens + w.outputTokens, Deadline: wallTime(w.deadline),
	}
	if q.policy.Enqueue(w.admission, wallTime(now)).Outcome != admission.Accepted {
		return false
	}
	q.waiting[w.admission] = w
	q.waitingTokens[w.class] += w.prefillTokens
	return true
}

// next removes and returns the next item to start, or nil if none may start.
func (q *admissionQueue) next(now time.Duration) *workItem {
	r := q.policy.Next(wallTime(now))
	if r == nil {
		return nil
	}
	return q.remove(r)
}

func (q *admissionQueue) remove(r *admission.Request) *workItem {
	w := q.waiting[r]
	delete(q.waiting, r)
	q.waitingTokens[w.class] -= w.prefillTokens
	return w
}

// cancel removes an item that is still waiting.
func (q *admissionQueue) cancel(w *workItem) {
	if q.policy.Cancel(w.admission) {
		q.remove(w.admission)
	}
}

// tokensAhead returns the queued prefill tokens of the class and of all classes
// with a higher priority.
func (q *admissionQueue) tokensAhead(class int) int {
	n := 0
	for _, tokens := range q.waitingTokens[:class+1] {
		n += tokens
	}
	return n
}
