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

// Times of the store. Its transfers run one after another.
const (
	storeFirstDelay  = 6 * time.Millisecond  // added to each transfer
	storeEventLag    = 60 * time.Millisecond // until an event can be read
	maxTransferWait  = 2 * time.Second       // a transfer that would wait longer is not started
	storeEpoch       = 77120
	maxSilencedParts = 3
)

var clockStart = time.Now().Add(-time.Hour)

// clockMs returns the servers' clock, which all servers and stores share.
func clockMs() float64 { return float64(time.Since(clockStart).Microseconds()) / 1000 }

type partID struct{ salt, id string }

// storedPart is a part in the store, or one that is being written to it.
type storedPart struct {
	id       partID
	tokens   int
	complete bool
	freed    bool
	silenced bool // the event of its completion never arrives
}

type storeEvent struct {
	sign    string
	part    *storedPart
	at      time.Time
	dropped bool
}

// store is a stand-in for a managed store of kept KV cache.
type store struct {
	address     string
	rec         *record
	tokensPerMs float64

	mu        sync.Mutex
	parts     map[partID]*storedPart
	events    []storeEvent
	busyUntil time.Time
	silence   bool                                 // the completions of parts that the next list shows as partial are not told
	silenced  []*storedPart                        // those parts
	onList    func(held, partial int, from string) // called with the mutex held
	frees     int
	violated  []string
}

func startStore(host string, tokensPerMs float64, rec *record) (*store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), rec: rec, tokensPerMs: tokensPerMs, parts: map[partID]*storedPart{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+name("kvList"), s.serveList)
	mux.HandleFunc("GET "+name("kvEvents"), s.serveEvents)
	mux.HandleFunc("POST "+name("kvFree"), s.serveFree)
	go func() { _ = http.Serve(l, mux) }() // until the process ends
	return s, nil
}

// beginTransfer returns when a transfer of tokens begins and ends, and false if it would wait too long.
// The caller holds the mutex.
func (s *store) beginTransfer(tokens int) (begin, end time.Time, ok bool) {
	now := time.Now()
	begin = now
	if s.busyUntil.After(now) {
		begin = s.busyUntil
	}
	if begin.Sub(now) > maxTransferWait {
		return begin, begin, false
	}
	end = begin.Add(storeFirstDelay + time.Duration(float64(tokens)/s.tokensPerMs*float64(time.Millisecond)))
	s.busyUntil = end
	return begin, end, true
}

// save writes a part. It reserves its space at once.
func (s *store) save(id partID, tokens int) {
	s.mu.Lock()
	if s.parts[id] != nil {
		s.mu.Unlock()
		return // a part that the store holds stays as it was first made
	}
	_, end, ok := s.beginTransfer(tokens)
	if !ok {
		s.mu.Unlock()
		return
	}
	p := &storedPart{id: id, tokens: tokens}
	s.parts[id] = p
	s.mu.Unlock()
	time.Sleep(time.Until(end))
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.freed {
		return
	}
	p.complete = true
	s.events = append(s.events, storeEvent{"+", p, time.Now(), p.silenced})
	if p.silenced {
		s.rec.logf("store: part %s is complete; the event of it never arrives", id.id)
	}
}

// fetch reads a part for a request. It looks the part up when the transfer's turn comes, and reports
// whether the request got it before the deadline on the servers' clock.
func (s *store) fetch(id partID, requestID string, untilMs float64) bool {
	s.mu.Lock()
	known := s.parts[id]
	if known == nil {
		s.mu.Unlock()
		time.Sleep(time.Millisecond)
		return false
	}
	begin, end, ok := s.beginTransfer(known.tokens)
	s.mu.Unlock()
	if !ok {
		return false
	}
	time.Sleep(time.Until(begin))
	s.mu.Lock()
	p := s.parts[id]
	if p == nil {
		s.mu.Unlock()
		return false // a miss
	}
	whole := p.complete
	s.mu.Unlock()
	time.Sleep(time.Until(end))
	endMs := clockMs()
	s.mu.Lock()
	defer s.mu.Unlock()
	if untilMs > 0 && endMs > untilMs {
		return false // thrown away
	}
	if !whole {
		s.violate("request %s took part %s from the store while it was not whole there", requestID, id.id)
	}
	if p.freed {
		s.violate("request %s took part %s from the store, which was freed before the fetch had ended", requestID, id.id)
	}
	return true
}

func (s *store) violate(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	s.violated = append(s.violated, line)
	s.rec.logf("VIOLATION: %s", line)
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, partial := []any{}, []any{}
	for _, p := range s.parts {
		if p.complete {
			held = append(held, []any{p.id.salt, p.id.id, p.tokens, modelName})
			continue
		}
		partial = append(partial, []any{p.id.salt, p.id.id, 0, p.tokens})
		if s.silence && p.tokens == sessionTokens && len(s.silenced) < maxSilencedParts {
			p.silenced = true
			s.silenced = append(s.silenced, p)
		}
	}
	if len(partial) > 0 {
		s.silence = false
	}
	s.rec.logf("store: list requested by %s: %d parts held, %d being written", r.RemoteAddr, len(held), len(partial))
	if s.onList != nil {
		s.onList(len(held), len(partial), r.RemoteAddr)
	}
	writeJSON(w, map[string]any{"bootEpoch": storeEpoch, "nextToken": s.readable(), "clock_ms": clockMs(), "held": held, "partialEntries": partial})
}

// readable returns the number of the last event that can be read. The caller holds the mutex.
func (s *store) readable() int {
	n := len(s.events)
	for n > 0 && time.Since(s.events[n-1].at) < storeEventLag {
		n--
	}
	return n
}

func (s *store) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since")) // 0 when it is absent
	waitMs, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	deadline := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		next := s.readable()
		rows := []any{}
		for i := since; i < next; i++ {
			if e := s.events[i]; !e.dropped {
				rows = append(rows, []any{i + 1, e.sign, e.part.id.salt, e.part.id.id, e.part.tokens, modelName})
			}
		}
		s.mu.Unlock()
		if len(rows) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			writeJSON(w, map[string]any{"bootEpoch": storeEpoch, "nextToken": max(next, since), "clock_ms": clockMs(), "hasGap": false, "events": rows})
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *store) serveFree(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Parts     [][2]string `json:"parts"`
		BootEpoch *int64      `json:"bootEpoch"`
		UntilMs   *float64    `json:"until_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if q.BootEpoch != nil && *q.BootEpoch != storeEpoch || q.UntilMs != nil && clockMs() > *q.UntilMs {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range q.Parts {
		id := partID{row[0], row[1]}
		p := s.parts[id]
		if p == nil {
			continue
		}
		s.rec.logf("store: %s frees part %s (complete: %t)", r.RemoteAddr, id.id, p.complete)
		p.freed = true
		delete(s.parts, id)
		s.events = append(s.events, storeEvent{"-", p, time.Now(), false})
		s.frees++
	}
	writeJSON(w, map[string]any{})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller may have disconnected
}
