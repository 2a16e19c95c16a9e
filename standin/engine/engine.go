// Package engine is a stand-in for an inference engine. It models continuous
// batching as a fixed prefill rate and decode interval, and has a prefix cache of
// limited size, cache events, a delayed load report, export and import of KV
// cache blocks, and orders to load weights. The output is a function of the
// prompt and the token position, so that a client can check an answer byte for
// byte.
package engine

import (
	"container/heap"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenaweir/galenaweir/core/prefix"
)

// Options holds the capacity and the timing of an engine.
type Options struct {
	Model                  string
	WeightVersion          string
	Slots                  int     // sequences decoded concurrently
	CachePieces            int     // capacity of the prefix cache, in pieces
	PieceBytes             int     // KV cache bytes of one piece
	PrefillTokensPerSecond float64 // tokens that are prefilled per second
	DecodeInterval         time.Duration
	LoadReportLag          time.Duration // age of the load report
	KeepAliveInterval      time.Duration
	FinishedRetention      time.Duration // how long a finished sequence can be resumed
	WeightLoadTime         time.Duration // time to load new weights
	ChecksFencing          bool          // reject orders whose fencing token is not higher than all earlier ones
}

// Faults selects the failures that the engine simulates.
type Faults struct {
	SilentStreams  int  `json:"silent_streams"` // the next n streams stay open but stop sending
	WrongAttemptID bool `json:"wrong_attempt"`  // frames carry the ID of another attempt
	CutAfterFrames int  `json:"cut_after"`      // close the connection after n frames, once per sequence
	Down           bool `json:"down"`           // abort every request except those to /v1/faults
	DropEvents     bool `json:"lose_events"`    // report no cache events
}

// Request is the body of POST /v1/completions. The fields that the completions
// API does not define are extensions for an external scheduler.
type Request struct {
	RequestID     string `json:"request_id"`
	Model         string `json:"model"`
	Prompt        string `json:"prompt"`
	PriorOutput   string `json:"continue"` // output that another engine has already generated
	MaxTokens     int    `json:"max_tokens"`
	Priority      int    `json:"priority"` // requests with a higher value are served first
	CacheSalt     string `json:"cache_salt"`
	WeightVersion string `json:"weight_version"` // the only version to accept; empty accepts any
	FromSeq       uint64 `json:"from_seq"`
}

// Frame is one server-sent event of the response stream.
type Frame struct {
	ID            string   `json:"id"`
	Object        string   `json:"object"`
	Seq           uint64   `json:"seq"`
	Choices       []Choice `json:"choices"`
	Usage         *Usage   `json:"usage,omitempty"`
	WeightVersion string   `json:"weight_version,omitempty"`
	LengthBytes   uint64   `json:"length_bytes,omitempty"` // length of the whole text, on the last frame only
}

// Choice holds the text of a frame.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// LoadReport is a load report. The engine serves it with a delay.
type LoadReport struct {
	Running      int   `json:"running"`
	Waiting      int   `json:"waiting"`
	QueuedTokens int   `json:"queued_tokens"`
	CachedPieces int   `json:"cached_pieces"`
	AsOfMs       int64 `json:"as_of_ms"`
}

// State is the engine's current state, reported without delay.
type State struct {
	Model         string `json:"model"`
	WeightVersion string `json:"weight_version"`
	Loading       bool   `json:"loading"`
	FencingToken  int64  `json:"fencing"`
	BadImports    int    `json:"bad_imports"` // imports whose data did not match their piece
}

// sequence is a request with the frames that have been generated for it.
type sequence struct {
	req           Request
	weightVersion string
	frames        []Frame
	changed       chan struct{} // closed and replaced when frames or ended change
	ended         bool
	cancelled     chan struct{}
	stopOnce      sync.Once
	cutApplied    bool // whether the connection was already cut by Faults.CutAfterFrames
}

func (s *sequence) stop() { s.stopOnce.Do(func() { close(s.cancelled) }) }

// Engine is one simulated inference engine. Use New to create it.
type Engine struct {
	options Options

	mu            sync.Mutex
	faults        Faults
	sequences     map[string]*sequence
	cache         *prefixCache
	running       int
	queue         waitQueue
	queuedTokens  int       // prompt tokens of the waiting sequences
	prefillFreeAt time.Time // when all scheduled prefill work is done
	state         State
	loadHistory   []LoadReport
	lastArrival   int64 // arrival number of the latest waiter
}

// New returns an engine with its weights loaded.
func New(o Options) *Engine {
	return &Engine{
		options: o, sequences: map[string]*sequence{}, cache: newCache(o.CachePieces),
		state: State{Model: o.Model, WeightVersion: o.WeightVersion},
	}
}

// OutputToken returns the output token at the given position of the answer to a prompt.
func OutputToken(prompt string, position int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%d\x00%s", position, prompt))
	return fmt.Sprintf("w%04x ", h&0xffff)
}

// Output returns the answer to a prompt with the given number of tokens.
func Output(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(OutputToken(prompt, i))
	}
	return b.String()
}

// SetFaults replaces the simulated faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// EvictAll empties the prefix cache.
func (e *Engine) EvictAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.clear()
}

// Errors that Submit returns.
var (
	errWeightVersion  = errors.New("the weight version asked for is not loaded")
	errLoadingWeights = errors.New("the engine is loading weights")
)

// Submit starts a sequence for the request. If a sequence with the same request
// ID exists, Submit returns that one instead.
func (e *Engine) Submit(r Request) (*sequence, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.sequences[r.RequestID]; ok {
		return s, nil
	}
	if e.state.Loading {
		return nil, errLoadingWeights
	}
	if r.WeightVersion != "" && r.WeightVersion != e.state.WeightVersion {
		return nil, errWeightVersion
	}
	s := &sequence{req: r, weightVersion: e.state.WeightVersion, changed: make(chan struct{}), cancelled: make(chan struct{})}
	e.sequences[r.RequestID] = s
	go e.run(s)
	return s, nil
}

// Cancel stops the sequence and frees its slot. It reports whether the sequence
// exists.
func (e *Engine) Cancel(id string) bool {
	e.mu.Lock()
	s, ok := e.sequences[id]
	e.mu.Unlock()
	if ok {
		s.stop()
	}
	return ok
}

// run waits for a slot and the prefill, and then appends a frame with the usage, one
// frame per output token and a final frame. It ends early if the sequence is cancelled.
func (e *Engine) run(s *sequence) {
	defer e.finish(s)
	if !e.acquireSlot(s) {
		return
	}
	defer e.releaseSlot()
	cached, wait := e.schedulePrefill(s)
	if !sleepUnlessCancelled(s, wait) {
		return
	}
	prompt := prefix.EstimateTokens(s.req.Prompt + s.req.PriorOutput)
	usage := Usage{PromptTokens: prompt, CachedTokens: cached}
	first := usage // a copy, since readers use the frame while the sequence runs
	e.appendFrame(s, Frame{Usage: &first, WeightVersion: s.weightVersion})
	from := strings.Count(s.req.PriorOutput, " ") // each output token ends with a space
	length := uint64(0)
	for i := from; i < s.req.MaxTokens; i++ {
		if !sleepUnlessCancelled(s, e.options.DecodeInterval) {
			return
		}
		token := OutputToken(s.req.Prompt, i)
		length += uint64(len(token))
		e.appendFrame(s, Frame{Choices: []Choice{{Text: token}}})
	}
	total := usage // a copy, since a reader may still be using the first frame's usage
	total.CompletionTokens = s.req.MaxTokens - from
	e.appendFrame(s, Frame{Choices: []Choice{{FinishReason: "length"}}, Usage: &total, LengthBytes: length, WeightVersion: s.weightVersion})
}

// sleepUnlessCancelled waits for d. It returns false if the sequence is cancelled
// first.
func sleepUnlessCancelled(s *sequence, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.cancelled:
		return false
	}
}

// promptChain returns the chain hashes of the prompt's pieces for a cache salt and
// a weight version.
func promptChain(salt, version, prompt string) []prefix.Hash {
	return prefix.HashChain(prefix.EngineKey(salt, version), prompt)
}

// schedulePrefill reserves prefill time for the tokens that are not cached. It
// returns the number of cached tokens and the time until the prefill is done.
func (e *Engine) schedulePrefill(s *sequence) (cached int, wait time.Duration) {
	chain := promptChain(s.req.CacheSalt, s.weightVersion, s.req.Prompt)
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.weightVersion == e.state.WeightVersion { // the cache holds only pieces of the loaded version
		cached = e.cache.matchedPieces(chain) * prefix.PieceTokens
		for _, h := range chain {
			e.cache.add(h)
		}
	}
	missing := prefix.EstimateTokens(s.req.Prompt+s.req.PriorOutput) - cached
	d := time.Duration(float64(missing) / e.options.PrefillTokensPerSecond * float64(time.Second))
	now := time.Now()
	start := now
	if e.prefillFreeAt.After(now) {
		start = e.prefillFreeAt
	}
	e.prefillFreeAt = start.Add(d)
	return cached, e.prefillFreeAt.Sub(now)
}

func (e *Engine) appendFrame(s *sequence, f Frame) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f.ID, f.Object, f.Seq = s.req.RequestID, "text_completion", uint64(len(s.frames))
	s.frames = append(s.frames, f)
	close(s.changed)
	s.changed = make(chan struct{})
}

// finish marks the sequence as ended. It remains available for resumption until
// FinishedRetention has passed.
func (e *Engine) finish(s *sequence) {
	e.mu.Lock()
	s.ended = true
	close(s.changed)
	s.changed = make(chan struct{})
	e.mu.Unlock()
	time.AfterFunc(e.options.FinishedRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.sequences, s.req.RequestID)
	})
}

// waiter is a sequence that waits for a slot.
type waiter struct {
	sequence *sequence
	arrival  int64
	granted  chan struct{}
}

// waitQueue is a heap of waiters, ordered by priority and then by arrival.
type waitQueue []*waiter

func (q waitQueue) Len() int { return len(q) }
func (q waitQueue) Less(i, j int) bool {
	if q[i].sequence.req.Priority != q[j].sequence.req.Priority {
		return q[i].sequence.req.Priority > q[j].sequence.req.Priority
	}
	return q[i].arrival < q[j].arrival
}
func (q waitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) { *q = append(*q, x.(*waiter)) }

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	return w
}

// acquireSlot waits for a slot. It returns false if the sequence was cancelled
// first.
func (e *Engine) acquireSlot(s *sequence) bool {
	e.mu.Lock()
	if e.running < e.options.Slots {
		e.running++
		e.mu.Unlock()
		return true
	}
	e.lastArrival++
	tokens := prefix.EstimateTokens(s.req.Prompt)
	w := &waiter{s, e.lastArrival, make(chan struct{})}
	heap.Push(&e.queue, w)
	e.queuedTokens += tokens
	e.mu.Unlock()
	granted := true
	select {
	case <-w.granted:
	case <-s.cancelled:
		granted = e.removeWaiter(w)
	}
	e.mu.Lock()
	e.queuedTokens -= tokens
	e.mu.Unlock()
	return granted
}

// removeWaiter removes a cancelled sequence from the queue. It returns true if the
// sequence had already been granted a slot, which the caller must release.
func (e *Engine) removeWaiter(w *waiter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, x := range e.queue {
		if x == w {
			heap.Remove(&e.queue, i)
			return false
		}
	}
	return true
}

// releaseSlot passes the slot to the first waiter, or frees it if there is none.
func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queue.Len() > 0 {
		close(heap.Pop(&e.queue).(*waiter).granted)
		return
	}
	e.running--
}

// LoadReport records the current load and returns the newest report that is at least
// LoadReportLag old. Until there is one, it returns the oldest report.
func (e *Engine) LoadReport() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.loadHistory = append(e.loadHistory, LoadReport{e.running, e.queue.Len(), e.queuedTokens, e.cache.lru.Len(), now.UnixMilli()})
	cutoff := now.Add(-e.options.LoadReportLag).UnixMilli()
	i := len(e.loadHistory) - 1
	for i > 0 && e.loadHistory[i].AsOfMs > cutoff {
		i--
	}
	e.loadHistory = append([]LoadReport(nil), e.loadHistory[i:]...)
	return e.loadHistory[0]
}

// Running returns the number of sequences that currently hold a slot.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}
