// Package replay runs the product's decision code on a recorded trace in virtual
// time, against small fakes at its interfaces: engines, stores, links, lagging
// load reports and a directory with late hints. It is not a cluster simulator.
// The same input gives the same output, byte for byte.
package replay

import (
	"container/heap"
	"time"
)

// event is something that happens at an instant. Events of the same instant
// happen in the order in which they were scheduled.
type event struct {
	at  time.Duration
	seq int64
	run func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1].run = nil
	*q = old[:len(old)-1]
	return e
}

// clock is the virtual time with the events to come.
type clock struct {
	now   time.Duration
	seq   int64
	queue events
}

func (c *clock) at(t time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, event{max(t, c.now), c.seq, run})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now+d, run) }

// run lets everything happen.
func (c *clock) run() {
	for c.queue.Len() > 0 {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
