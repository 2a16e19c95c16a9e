package replay

import "time"

// Settings of the fake engine.
const (
	// chunkTokens is the unit of prefill: a more urgent request waits at most
	// for one chunk.
	chunkTokens = 1024
	// batchSlowdown is how much longer a decode step takes in a full batch.
	batchSlowdown = 0.25
)

// engine is a server with slots, one prefill unit and a prefix cache.
type engine struct {
	c       *clock
	slots   int
	rate    float64 // prefill tokens per second
	decode  time.Duration
	cache   *lru
	running int
	queues  [2 * classes][]*work // by class, customers above their share last
	backlog [classes]int         // prefill tokens
	busy    bool
	epoch   int // rises when the engine dies
}

// prefill computes the work's missing tokens and then calls done.
func (e *engine) prefill(w *work, done func()) {
	w.left, w.computed = max(1, w.prompt-w.cached), done
	q := 2 * w.class
	if w.over {
		q++
	}
	e.queues[q] = append(e.queues[q], w)
	e.backlog[w.class] += w.left
	e.pump()
}

func (e *engine) pump() {
	if e.busy {
		return
	}
	for q := range e.queues {
		if len(e.queues[q]) == 0 {
			continue
		}
		w := e.queues[q][0]
		n := min(w.left, chunkTokens)
		e.busy = true
		epoch := e.epoch
		e.c.after(seconds(float64(n)/e.rate), func() {
			if epoch != e.epoch {
				return
			}
			e.busy = false
			w.left -= n
			e.backlog[w.class] -= n
			if w.left == 0 {
				e.queues[q] = e.queues[q][1:]
				w.computed()
			}
			e.pump()
		})
		return
	}
}

// ahead returns the prefill tokens that go before a request of the class.
func (e *engine) ahead(class int) int {
	n := 0
	for c := 0; c <= class; c++ {
		n += e.backlog[c]
	}
	return n
}

// interval is the time between two tokens in the present batch.
func (e *engine) interval() time.Duration {
	return time.Duration(float64(e.decode) * (1 + batchSlowdown*float64(e.running)/float64(e.slots)))
}

func (e *engine) die() {
	e.epoch++
	e.busy, e.running = false, 0
	e.queues, e.backlog = [2 * classes][]*work{}, [classes]int{}
	e.cache.clear()
}
