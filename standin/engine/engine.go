// Package engine is a stand-in for a model engine: continuous batching as a
// rate, a prefix cache of limited size, cache events, a lagging load report,
// export and import of KV cache, and orders. Output is a function of the prompt
// and the position, so that a reader can check an answer to the byte.
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

// Options sets an engine's size and speed.
type Options struct {
	Model             string
	WeightVersion     string
	Slots             int     // sequences decoded at once
	CachePieces       int     // capacity of the prefix cache
	PieceBytes        int     // KV bytes of one piece
	PrefillPerSecond  float64 // tokens
	DecodeInterval    time.Duration
	LoadLag           time.Duration
	KeepAliveInterval time.Duration
	KeepFinished      time.Duration // how long an ended sequence can be resumed
	LoadTime          time.Duration // of new weights
	ChecksFencing     bool
}

// Faults switches the engine's failures.
type Faults struct {
	SilentStreams int  `json:"silent_streams"` // the next n streams stop sending while open
	WrongAttempt  bool `json:"wrong_attempt"`  // streams name another attempt
	CutAfter      int  `json:"cut_after"`      // cut each stream after n frames, once for each sequence
	Down          bool `json:"down"`           // refuse everything
	LoseEvents    bool `json:"lose_events"`    // publish no cache events
}

// Request is the body of POST /v1/completions. Fields beyond the usual ones are
// extensions that engines have for schedulers in front of them.
type Request struct {
	RequestID     string `json:"request_id"`
	Model         string `json:"model"`
	Prompt        string `json:"prompt"`
	Continue      string `json:"continue"` // output already generated elsewhere
	MaxTokens     int    `json:"max_tokens"`
	Priority      int    `json:"priority"` // higher first
	CacheSalt     string `json:"cache_salt"`
	WeightVersion string `json:"weight_version"` // refuse any other; empty for any
	FromSeq       uint64 `json:"from_seq"`
}

// Frame is one event of the stream.
type Frame struct {
	ID            string   `json:"id"`
	Object        string   `json:"object"`
	Seq           uint64   `json:"seq"`
	Choices       []Choice `json:"choices"`
	Usage         *Usage   `json:"usage,omitempty"`
	WeightVersion string   `json:"weight_version,omitempty"`
	LengthBytes   uint64   `json:"length_bytes,omitempty"` // of the whole text, on the last frame
}

// Choice is the text of a frame.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Load is the lagging load report.
type Load struct {
	Running      int   `json:"running"`
	Waiting      int   `json:"waiting"`
	QueuedTokens int   `json:"queued_tokens"`
	CachedPieces int   `json:"cached_pieces"`
	AsOfMs       int64 `json:"as_of_ms"`
}

// State is what the engine says of itself, without a lag.
type State struct {
	Model         string `json:"model"`
	WeightVersion string `json:"weight_version"`
	Loading       bool   `json:"loading"`
	Fencing       int64  `json:"fencing"`
	BadImports    int    `json:"bad_imports"` // imports whose data wasn't that of their piece
}

type sequence struct {
	req      Request
	version  string
	frames   []Frame
	changed  chan struct{}
	ended    bool
	cancel   chan struct{}
	stopOnce sync.Once
	cutDone  bool
}

func (s *sequence) stop() { s.stopOnce.Do(func() { close(s.cancel) }) }

// Engine is one server. Create it with New.
type Engine struct {
	o Options

	mu          sync.Mutex
	faults      Faults
	seqs        map[string]*sequence
	cache       *cache
	running     int
	queue       waitQueue
	queued      int // prompt tokens of waiting sequences
	prefillFree time.Time
	state       State
	loads       []Load
	arrivals    int64
}

// New returns an engine with its weights loaded.
func New(o Options) *Engine {
	return &Engine{
		o: o, seqs: map[string]*sequence{}, cache: newCache(o.CachePieces),
		state: State{Model: o.Model, WeightVersion: o.WeightVersion},
	}
}

// Word returns the output token at a position of the answer to a prompt.
func Word(prompt string, position int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%d\x00%s", position, prompt))
	return fmt.Sprintf("w%04x ", h&0xffff)
}

// Answer returns the whole answer to a prompt.
func Answer(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Word(prompt, i))
	}
	return b.String()
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Evict empties the prefix cache.
func (e *Engine) Evict() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.clear()
}

// Errors of Submit.
var (
	errVersion = errors.New("the weight version asked for is not loaded")
	errLoading = errors.New("the engine is loading weights")
)

// Submit starts the sequence, or returns the one with the same ID.
func (e *Engine) Submit(r Request) (*sequence, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.seqs[r.RequestID]; ok {
		return s, nil
	}
	if e.state.Loading {
		return nil, errLoading
	}
	if r.WeightVersion != "" && r.WeightVersion != e.state.WeightVersion {
		return nil, errVersion
	}
	s := &sequence{req: r, version: e.state.WeightVersion, changed: make(chan struct{}), cancel: make(chan struct{})}
	e.seqs[r.RequestID] = s
	go e.run(s)
	return s, nil
}

// Cancel stops the sequence and frees its slot.
func (e *Engine) Cancel(id string) bool {
	e.mu.Lock()
	s, ok := e.seqs[id]
	e.mu.Unlock()
	if ok {
		s.stop()
	}
	return ok
}

func (e *Engine) run(s *sequence) {
	defer e.finish(s)
	if !e.acquire(s) {
		return
	}
	defer e.release()
	cached, wait := e.prefill(s)
	if !sleep(s, wait) {
		return
	}
	prompt := prefix.EstimateTokens(s.req.Prompt + s.req.Continue)
	usage := Usage{PromptTokens: prompt, CachedTokens: cached}
	first := usage // frames are read while the sequence runs, so each has its own
	e.emit(s, Frame{Usage: &first, WeightVersion: s.version})
	from := strings.Count(s.req.Continue, " ")
	length := uint64(0)
	for i := from; i < s.req.MaxTokens; i++ {
		if !sleep(s, e.o.DecodeInterval) {
			return
		}
		w := Word(s.req.Prompt, i)
		length += uint64(len(w))
		e.emit(s, Frame{Choices: []Choice{{Text: w}}})
	}
	total := usage // the first frame's usage may still be on its way to a reader
	total.CompletionTokens = s.req.MaxTokens - from
	e.emit(s, Frame{Choices: []Choice{{FinishReason: "length"}}, Usage: &total, LengthBytes: length, WeightVersion: s.version})
}

func sleep(s *sequence, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.cancel:
		return false
	}
}

// chainOf returns the chain of the prompt under the sequence's salt and version.
func chainOf(salt, version, prompt string) []prefix.Hash {
	return prefix.HashChain(prefix.EngineKey(salt, version), prompt)
}

// prefill books the prefill of the tokens that the cache lacks; it returns the
// cached tokens and the wait until the first token.
func (e *Engine) prefill(s *sequence) (cached int, wait time.Duration) {
	chain := chainOf(s.req.CacheSalt, s.version, s.req.Prompt)
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.version == e.state.WeightVersion {
		cached = e.cache.matched(chain) * prefix.PieceTokens
		for _, h := range chain {
			e.cache.add(h)
		}
	}
	missing := prefix.EstimateTokens(s.req.Prompt+s.req.Continue) - cached
	d := time.Duration(float64(missing) / e.o.PrefillPerSecond * float64(time.Second))
	now := time.Now()
	start := now
	if e.prefillFree.After(now) {
		start = e.prefillFree
	}
	e.prefillFree = start.Add(d)
	return cached, e.prefillFree.Sub(now)
}

func (e *Engine) emit(s *sequence, f Frame) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f.ID, f.Object, f.Seq = s.req.RequestID, "text_completion", uint64(len(s.frames))
	s.frames = append(s.frames, f)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (e *Engine) finish(s *sequence) {
	e.mu.Lock()
	s.ended = true
	close(s.changed)
	s.changed = make(chan struct{})
	e.mu.Unlock()
	time.AfterFunc(e.o.KeepFinished, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.seqs, s.req.RequestID)
	})
}

// waiting is a sequence without a slot.
type waiting struct {
	s       *sequence
	arrival int64
	grant   chan struct{}
}

// waitQueue orders by priority, then by arrival.
type waitQueue []*waiting

func (q waitQueue) Len() int { return len(q) }
func (q waitQueue) Less(i, j int) bool {
	if q[i].s.req.Priority != q[j].s.req.Priority {
		return q[i].s.req.Priority > q[j].s.req.Priority
	}
	return q[i].arrival < q[j].arrival
}
func (q waitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) { *q = append(*q, x.(*waiting)) }

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	return w
}

// acquire waits for a slot; it returns false when the sequence was cancelled.
func (e *Engine) acquire(s *sequence) bool {
	e.mu.Lock()
	if e.running < e.o.Slots {
		e.running++
		e.mu.Unlock()
		return true
	}
	e.arrivals++
	tokens := prefix.EstimateTokens(s.req.Prompt)
	w := &waiting{s, e.arrivals, make(chan struct{})}
	heap.Push(&e.queue, w)
	e.queued += tokens
	e.mu.Unlock()
	granted := true
	select {
	case <-w.grant:
	case <-s.cancel:
		granted = e.withdraw(w)
	}
	e.mu.Lock()
	e.queued -= tokens
	e.mu.Unlock()
	return granted
}

// withdraw removes a waiting sequence; it returns true when a slot had already
// been granted, which the caller must release.
func (e *Engine) withdraw(w *waiting) bool {
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

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queue.Len() > 0 {
		close(heap.Pop(&e.queue).(*waiting).grant)
		return
	}
	e.running--
}

// Load returns the load as it was one lag ago.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.loads = append(e.loads, Load{e.running, e.queue.Len(), e.queued, e.cache.order.Len(), now.UnixMilli()})
	cut := now.Add(-e.o.LoadLag).UnixMilli()
	i := len(e.loads) - 1
	for i > 0 && e.loads[i].AsOfMs > cut {
		i--
	}
	e.loads = append([]Load(nil), e.loads[i:]...)
	return e.loads[0]
}

// Running returns the number of sequences that hold a slot now.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}
