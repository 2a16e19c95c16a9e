package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Speed of a model server.
const (
	prefillTokensPerMs = 55.0
	stepTime           = 3 * time.Millisecond
)

// server is a stand-in for a model server, or with plain set for a server of a plain service.
type server struct {
	id, service, zone string
	address           string
	plain             bool
	workTime          time.Duration // of a request at a plain service
	rec               *record
	http              *http.Server
	stores            map[string]*store // by address
	capacity          int               // tokens of its memory

	prefill sync.Mutex // prompts are read one after another

	mu      sync.Mutex
	born    int64
	beats   int64
	version int64
	loading bool
	seq     int64 // number of orders accepted
	orders  []order
	onOrder func(o order)  // called with the first order, if it is left unanswered
	memory  []residentPart // least recently used first
	arrived []arrival
}

type residentPart struct {
	id     partID
	tokens int
}

// arrival is a request that reached a server.
type arrival struct {
	id string
	at time.Time
}

// arrivalsAfter returns the requests that reached the server after a time.
func (s *server) arrivalsAfter(t time.Time) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []arrival
	for _, a := range s.arrived {
		if a.at.After(t) {
			out = append(out, a)
		}
	}
	return out
}

// end ends the server: it closes its listener and all its connections.
func (s *server) end() { _ = s.http.Close() }

func startServer(host, id, service string, rec *record) (*server, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zoneName, address: l.Addr().String(), rec: rec, stores: map[string]*store{}, born: time.Now().UnixMilli(), version: 1}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }() // until the server or the process ends
	return s, nil
}

// beat returns the record that the server writes to the list of servers.
func (s *server) beat(state string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats++
	doc := map[string]any{
		"service": s.service, "addr": s.address, "zone": s.zone, "version": "1", "slots": 64, "state": state, name("cold"): 0, "seq": s.beats, "born": s.born,
	}
	if !s.plain {
		doc["stage"], doc["models"] = "both", []any{map[string]any{"name": modelName, "version": s.version, "adapters": []string{}}}
	}
	return mustJSON(doc)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(name("instance"), s.id)
	if v := r.Header.Get(name("expectInstance")); v != "" && v != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	switch {
	case r.URL.Path == "/report":
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, map[string]any{"stage": "both", "models": []any{map[string]any{"name": modelName, "version": s.version}}, "busy": s.loading, "seq": s.seq, "clock_ms": clockMs()})
		return
	case r.URL.Path == "/order":
		s.serveOrder(w, r)
		return
	case id == "":
		w.Header().Set(name("notRun"), "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.arrived = append(s.arrived, arrival{id, time.Now()})
	s.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set(name("seal"), s.id)
	if s.plain {
		s.servePlain(w, r, id)
		return
	}
	s.serveStream(w, r, id)
}

func (s *server) servePlain(w http.ResponseWriter, r *http.Request, id string) {
	s.rec.logf("%s: runs %s", s.id, id)
	time.Sleep(s.workTime)
	if r.Context().Err() == nil {
		fmt.Fprintf(w, "answer to %s", id)
	}
}

// serveStream reads the prompt, with what the store has of it, and streams a few events.
func (s *server) serveStream(w http.ResponseWriter, r *http.Request, id string) {
	if v := r.Header.Get(name("expectVersion")); v != "" && v != strconv.FormatInt(s.version, 10) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	parts := parsePrefix(r.Header.Get(name("prefix")))
	fetch, save := splitList(r.Header.Get(name("fetch")), len(parts)), splitList(r.Header.Get(name("save")), len(parts))
	until, _ := strconv.ParseFloat(r.Header.Get(name("until")), 64) // 0 when it is absent
	salt := r.Header.Get(name("salt"))
	total, _ := strconv.Atoi(strings.Split(r.Header.Get(name("tokenCount")), ",")[0])
	have, prefix := 0, true
	for i, p := range parts {
		key := partID{salt, p.id}
		switch {
		case !prefix:
		case s.resident(key):
			have += p.tokens
		case s.stores[fetch[i]] != nil && s.stores[fetch[i]].fetch(key, id, until):
			s.rec.logf("%s: request %s took part %s from the store", s.id, id, p.id)
			have += p.tokens
		default:
			prefix = false
		}
	}
	s.prefill.Lock()
	time.Sleep(time.Duration(float64(total-have) / prefillTokensPerMs * float64(time.Millisecond)))
	s.prefill.Unlock()
	for i, p := range parts {
		s.remember(partID{salt, p.id}, p.tokens)
		if st := s.stores[save[i]]; st != nil {
			go st.save(partID{salt, p.id}, p.tokens)
		}
	}
	if r.Context().Err() != nil {
		return
	}
	s.rec.countRun(id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(name("weights"), strconv.FormatInt(s.version, 10))
	for n := 1; n <= eventCount; n++ {
		time.Sleep(stepTime)
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		_ = http.NewResponseController(w).Flush() // the caller may have disconnected
	}
}

func (s *server) resident(id partID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.memory, func(p residentPart) bool { return p.id == id })
}

// remember makes a part the one that was used last. The least recently used parts yield.
func (s *server) remember(id partID, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memory = append(slices.DeleteFunc(s.memory, func(p residentPart) bool { return p.id == id }), residentPart{id, tokens})
	used := 0
	for _, p := range s.memory {
		used += p.tokens
	}
	for used > s.capacity && len(s.memory) > 1 {
		used -= s.memory[0].tokens
		s.memory = s.memory[1:]
	}
}

type promptPart struct {
	id     string
	tokens int
}

func parsePrefix(v string) []promptPart {
	var out []promptPart
	for entry := range strings.SplitSeq(v, ",") {
		id, tokens, _ := strings.Cut(entry, ":")
		n, _ := strconv.Atoi(tokens)
		out = append(out, promptPart{id, n})
	}
	return out
}

// splitList splits the addresses for the parts of a prompt, of which there are at least n.
func splitList(v string, n int) []string {
	out := strings.Split(v, ",")
	for len(out) < n {
		out = append(out, "-")
	}
	return out
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // all values can be encoded
	}
	return b
}
