package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// clockStart is the origin of the clock that servers and stores state.
var clockStart = time.Now().Add(-time.Minute)

func clockMs() float64 { return float64(time.Since(clockStart).Microseconds()) / 1000 }

const (
	tokenBytes  = 18_432
	storeMbps   = 32_000                // of the slower store of a small deployment
	zoneFactor  = 2                     // a transfer between zones takes twice as long
	firstBytes  = 6 * time.Millisecond  // before each transfer
	eventsDelay = 60 * time.Millisecond // until an event is told
)

// transferTime returns how long the memory of tokens takes between two zones.
func transferTime(tokens int) time.Duration {
	return firstBytes + zoneFactor*time.Duration(float64(tokens)*tokenBytes*8/(storeMbps*1e6)*float64(time.Second))
}

type storedPart struct {
	salt, id         string
	written, reserve int // tokens
	startedAt        time.Time
	complete         bool
}

// store is a managed cache store as the pages describe it.
type store struct {
	rec     *record
	address string
	server  *http.Server

	mu       sync.Mutex
	up       bool
	epoch    int64
	parts    map[string]*storedPart
	events   []map[string]any
	tellable []time.Time
	listener net.Listener
	saving   func(part string) // called as a save begins
}

func startStore(rec *record) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rec: rec, address: l.Addr().String()}
	s.begin(l)
	return s, nil
}

// begin starts the store, empty.
func (s *store) begin(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = time.Now().UnixNano() / 1000
	s.parts, s.events, s.tellable = map[string]*storedPart{}, nil, nil
	s.up, s.listener = true, l
	s.server = &http.Server{Handler: s}
	go func(h *http.Server) { _ = h.Serve(l) }(s.server)
}

// crash ends the store; what it held is lost.
func (s *store) crash() {
	s.mu.Lock()
	s.up = false
	h := s.server
	s.mu.Unlock()
	h.Close()
	s.rec.line("store   crashes")
}

// restart starts the store again at its address.
func (s *store) restart() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	s.begin(l)
	s.rec.line("store   is back, empty")
	return nil
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case name("kvEvents"):
		since, _ := strconv.Atoi(r.URL.Query().Get("since"))
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		s.serveEvents(w, since, time.Duration(wait)*time.Millisecond)
	case name("kvList"):
		s.serveList(w)
	case name("kvFree"):
		s.serveFree(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveEvents(w http.ResponseWriter, since int, wait time.Duration) {
	s.mu.Lock()
	epoch := s.epoch
	s.mu.Unlock()
	for until := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		told := 0
		for told < len(s.events) && time.Now().After(s.tellable[told]) {
			told++
		}
		if !s.up || s.epoch != epoch {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if told > since || time.Now().After(until) {
			rows := [][]any{}
			for i := since; i >= 0 && i < told; i++ {
				e := s.events[i]
				rows = append(rows, []any{i + 1, "+", e["salt"], e["id"], e["tokens"], "m"})
			}
			data, _ := json.Marshal(map[string]any{"bootEpoch": epoch, "nextToken": max(told, since), "hasGap": since > len(s.events), "events": rows, "clock_ms": clockMs()})
			s.mu.Unlock()
			_, _ = w.Write(data) // the reader may have left
			return
		}
		s.mu.Unlock()
	}
}

func (s *store) serveList(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, partial := [][]any{}, [][]any{}
	for _, p := range s.parts {
		if p.complete {
			held = append(held, []any{p.salt, p.id, p.reserve, "m"})
		} else {
			partial = append(partial, []any{p.salt, p.id, p.written, p.reserve})
		}
	}
	data, _ := json.Marshal(map[string]any{"bootEpoch": s.epoch, "nextToken": len(s.events), "held": held, "partialEntries": partial, "clock_ms": clockMs()})
	_, _ = w.Write(data) // the reader may have left
}

func (s *store) serveFree(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Parts     [][2]string `json:"parts"`
		BootEpoch int64       `json:"bootEpoch"`
		UntilMs   float64     `json:"until_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.BootEpoch != 0 && q.BootEpoch != s.epoch || q.UntilMs != 0 && clockMs() > q.UntilMs {
		w.WriteHeader(http.StatusConflict)
		return
	}
	for _, p := range q.Parts {
		delete(s.parts, p[0]+"\x00"+p[1])
	}
}

// save writes a part that a server has read. The space is reserved at once; a part that is held or
// being written stays as it is.
func (s *store) save(by, salt, id string, tokens int) {
	s.mu.Lock()
	key, epoch := salt+"\x00"+id, s.epoch
	if !s.up || s.parts[key] != nil {
		s.mu.Unlock()
		return
	}
	p := &storedPart{salt: salt, id: id, reserve: tokens, startedAt: time.Now()}
	s.parts[key] = p
	saving := s.saving
	s.mu.Unlock()
	s.rec.line("store   %s begins to write part %s, %d tokens", by, id, tokens)
	if saving != nil {
		saving(id)
	}
	time.Sleep(time.Until(p.startedAt.Add(transferTime(tokens))))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != epoch || !s.up {
		return // it broke off
	}
	p.written, p.complete = tokens, true
	s.events = append(s.events, map[string]any{"salt": salt, "id": id, "tokens": tokens})
	s.tellable = append(s.tellable, time.Now().Add(eventsDelay))
	s.rec.line("store   holds part %s", id)
}

// fetch reads a part for a request. It reports whether the request has got the part's tokens, and
// whether the part was whole when the transfer began. A part that is being written is read like one
// that is whole: nothing is checked.
func (s *store) fetch(salt, id string, untilMs float64) (got, whole bool) {
	s.mu.Lock()
	p, epoch := s.parts[salt+"\x00"+id], s.epoch
	up := s.up
	if p != nil {
		whole = p.complete
	}
	s.mu.Unlock()
	if !up || p == nil {
		time.Sleep(time.Millisecond)
		return false, false
	}
	time.Sleep(transferTime(p.reserve))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != epoch || !s.up || untilMs > 0 && clockMs() > untilMs {
		return false, whole // discarded, and the prompt is read
	}
	return true, whole
}
