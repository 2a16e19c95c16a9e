// Package replay runs the product's decision code on a recorded trace in virtual
// time. Small fakes stand in for the engines, stores and links, for the delayed
// load reports and for the directory with its delayed hints. It is not a full
// cluster simulator. The same input gives the same output, byte for byte.
package replay

import (
	"container/heap"
	"time"
)

// event is a function that runs at a point in virtual time. Events at the same time
// run in the order in which they were scheduled.
type event struct {
	at  time.Duration
	seq int64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1].run = nil
	*q = old[:len(old)-1]
	return e
}

// clock holds the virtual time and the scheduled events.
type clock struct {
	now   time.Duration
	seq   int64
	queue eventQueue
}

func (c *clock) at(t time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, event{max(t, c.now), c.seq, run})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now+d, run) }

// run executes the events in order until none is left.
func (c *clock) run() {
	for c.queue.Len() > 0 {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
