package replay

import "time"

// Settings of the fake engine.
const (
	// prefillChunkTokens is the size of a prefill chunk. A more urgent request
	// waits for at most one chunk.
	prefillChunkTokens = 1024
	// fullBatchSlowdown is the relative increase of the decode step's duration in
	// a full batch.
	fullBatchSlowdown = 0.25
)

// engine is a fake engine with slots, one prefill unit and a prefix cache.
type engine struct {
	clock          *clock
	slots          int
	prefillRate    float64 // tokens per second
	decodeInterval time.Duration
	cache          *lru
	running        int
	queues         [2 * classCount][]*workItem // two per class; the second is for customers above their share
	backlogTokens  [classCount]int             // queued prefill tokens by class
	prefilling     bool
	epoch          int // incremented when the engine crashes; work scheduled in an earlier epoch is dropped
}

// prefill computes the item's tokens that are not cached and then calls done.
func (e *engine) prefill(w *workItem, done func()) {
	w.remainingTokens, w.onPrefilled = max(1, w.promptTokens-w.cachedTokens), done
	q := 2 * w.class
	if w.overPrefillShare {
		q++
	}
	e.queues[q] = append(e.queues[q], w)
	e.backlogTokens[w.class] += w.remainingTokens
	e.runNextChunk()
}

// runNextChunk prefills one chunk of the first item in the most urgent queue and then
// continues with the next chunk. It does nothing while a chunk is in progress.
func (e *engine) runNextChunk() {
	if e.prefilling {
		return
	}
	for q := range e.queues {
		if len(e.queues[q]) == 0 {
			continue
		}
		w := e.queues[q][0]
		n := min(w.remainingTokens, prefillChunkTokens)
		e.prefilling = true
		epoch := e.epoch
		e.clock.after(seconds(float64(n)/e.prefillRate), func() {
			if epoch != e.epoch {
				return
			}
			e.prefilling = false
			w.remainingTokens -= n
			e.backlogTokens[w.class] -= n
			if w.remainingTokens == 0 {
				e.queues[q] = e.queues[q][1:]
				w.onPrefilled()
			}
			e.runNextChunk()
		})
		return
	}
}

// tokensAhead returns the prefill tokens that are served before a new request of
// the class.
func (e *engine) tokensAhead(class int) int {
	n := 0
	for c := 0; c <= class; c++ {
		n += e.backlogTokens[c]
	}
	return n
}

// tokenInterval returns the time between two tokens at the current batch size.
func (e *engine) tokenInterval() time.Duration {
	return time.Duration(float64(e.decodeInterval) * (1 + fullBatchSlowdown*float64(e.running)/float64(e.slots)))
}

func (e *engine) crash() {
	e.epoch++
	e.prefilling, e.running = false, 0
	e.queues, e.backlogTokens = [2 * classCount][]*workItem{}, [classCount]int{}
	e.cache.clear()
}
