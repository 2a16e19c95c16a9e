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

const engineTokens = 79_966 // memory of an engine of a small deployment

// Times of the case.
const (
	objective = 1600                    // ms to the first event; a caller waits four times as long for it
	saveAgain = 4100 * time.Millisecond // after the first request, whose part has not been saved by then
	storeDown = 200 * time.Millisecond  // from the store's crash until it is back
)

// storingEngine is a model server with a memory from which the least recently used parts yield, that
// fetches parts from a store and saves those that it has read.
type storingEngine struct {
	id, address string
	rec         *record
	store       *store
	server      *http.Server
	begin       chan struct{} // if not nil, it begins to read prompts only once this is closed

	mu     sync.Mutex
	beats  int64
	born   int64
	state  string
	memory []memoryPart // least recently used first
}

type memoryPart struct {
	key    string
	tokens int
}

func startStoringEngine(rec *record, id string, st *store, begin chan struct{}) (*storingEngine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &storingEngine{id: id, address: l.Addr().String(), rec: rec, store: st, begin: begin, born: time.Now().UnixMilli(), state: "ready"}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

func (e *storingEngine) setState(state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = state
}

func (e *storingEngine) listEntry() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beats++
	data, _ := json.Marshal(map[string]any{
		"service": "redactor", "addr": e.address, "zone": "a", "version": "v1", "slots": 64, "state": e.state, name("coldLeft"): 0, "seq": e.beats, "born": e.born,
		"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
	})
	return data
}

// use makes a part the most recently used one and reports whether it was in memory.
func (e *storingEngine) use(key string, tokens int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := slices.ContainsFunc(e.memory, func(p memoryPart) bool { return p.key == key })
	e.memory = append(slices.DeleteFunc(e.memory, func(p memoryPart) bool { return p.key == key }), memoryPart{key, tokens})
	total := 0
	for _, p := range e.memory {
		total += p.tokens
	}
	for total > engineTokens && len(e.memory) > 1 {
		total -= e.memory[0].tokens
		e.memory = e.memory[1:]
	}
	return found
}

func (e *storingEngine) has(key string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.memory, func(p memoryPart) bool { return p.key == key })
}

func (e *storingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if v := r.Header.Get(name("expectInstance")); v != "" && v != e.id {
		h.Set(name("instance"), e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/report" {
		h.Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"active":0,"clock_ms":%.1f}`, clockMs())
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get(name("requestID"))
	e.rec.line("%s gets    %s  fetch %q  save %q", e.id, id, r.Header.Get(name("kvFetch")), r.Header.Get(name("kvSave")))
	if e.begin != nil {
		select {
		case <-e.begin:
		case <-r.Context().Done():
			e.rec.line("%s drops   %s, its channel is closed", e.id, id)
			return
		}
	}
	e.read(r, id)
	h.Set(name("requestID"), id)
	h.Set(name("seal"), "seal-"+id)
	h.Set(name("weightVersions"), "1")
	h.Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for n := 1; n <= 3; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// read fetches or reads the parts of a prompt and saves what it has read.
func (e *storingEngine) read(r *http.Request, id string) {
	salt := r.Header.Get(name("salt"))
	fetch, save := strings.Split(r.Header.Get(name("kvFetch")), ","), strings.Split(r.Header.Get(name("kvSave")), ",")
	until, _ := strconv.ParseFloat(r.Header.Get(name("kvUntil")), 64)
	at := func(list []string, i int) bool { return i < len(list) && list[i] == e.store.address }
	hit := true
	for i, entry := range strings.Split(r.Header.Get(name("prefix")), ",") {
		part, text, _ := strings.Cut(entry, ":")
		tokens, _ := strconv.Atoi(text)
		key := salt + "\x00" + part
		if hit && e.has(key) {
			e.use(key, tokens)
			continue
		}
		if hit && at(fetch, i) {
			if got, whole := e.store.fetch(salt, part, until); got {
				e.rec.line("%s runs    %s  with part %s fetched from the store, whole %t", e.id, id, part, whole)
				if !whole {
					e.rec.violation("MIXED: request %s takes part %s from the store while it was being written", id, part)
				}
				e.use(key, tokens)
				continue
			}
		}
		hit = false
		time.Sleep(time.Duration(tokens/55) * time.Millisecond)
		e.use(key, tokens)
		if at(save, i) {
			go e.store.save(e.id, salt, part, tokens)
		}
	}
	e.rec.line("%s runs    %s", e.id, id)
}

// mixed plays a store that crashes and is back, empty, while a server that drains is still to save a
// part that the store held before. The rule MIXED is broken if a request takes the part while it is
// being written.
func mixed(rec *record, trouble bool) error {
	d, err := newDeployment(rec, nil)
	if err != nil {
		return err
	}
	defer d.close()
	st, err := startStore(rec)
	if err != nil {
		return err
	}
	defer func() { st.server.Close() }()
	begin := make(chan struct{})
	slow, err := startStoringEngine(rec, "i-slow", st, begin)
	if err != nil {
		return err
	}
	defer slow.server.Close()
	other, err := startStoringEngine(rec, "i-other", st, nil)
	if err != nil {
		return err
	}
	defer other.server.Close()
	listed := []*storingEngine{slow}
	var mu sync.Mutex
	beat := func() {
		mu.Lock()
		defer mu.Unlock()
		for _, e := range listed {
			d.log.Put(name("servers"), e.id, e.listEntry())
		}
	}
	stop := make(chan struct{})
	var beats sync.WaitGroup
	beats.Go(func() {
		for {
			beat()
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
			}
		}
	})
	defer beats.Wait()
	defer close(stop)
	d.putOperators("version/m", map[string]any{"model": "m", "version": 1})
	c := wallConfig(1, false)
	c["services"] = append(c["services"].([]map[string]any), map[string]any{
		"name": "memoria-b", "kvStoreAddr": st.address, "zone": "b", name("capacity"): 1_071_442, "linkMbps": storeMbps, "managed": true,
	})
	c["routes"].([]map[string]any)[0]["latencyTargetMs"] = objective
	d.putOperators("config", c)
	if _, err := d.startEntry(31); err != nil {
		return err
	}
	if err := d.awaitReady(recoverTime); err != nil {
		return err
	}
	time.Sleep(4500 * time.Millisecond) // nothing is saved to a store that was just found
	const subject = "91bd3f06:8610"
	caller := d.entries[0].caller
	send := func(id, prefix string) chan int {
		done := make(chan int, 1)
		go func() { done <- prompt(rec, caller, id, "key-of-agency-a", prefix) }()
		return done
	}
	firstAt := time.Now()
	first := send("first", subject+",00000001:900")
	time.Sleep(300 * time.Millisecond)
	slow.setState("draining")
	mu.Lock()
	listed = append(listed, other)
	mu.Unlock()
	beat()
	rec.line("i-slow  drains, with a queue; i-other is ready")
	time.Sleep(time.Until(firstAt.Add(saveAgain)))
	if s := <-send("second", subject+",00000002:900"); s != http.StatusOK {
		return fmt.Errorf("%w: the second request got %d", errCannotRun, s)
	}
	time.Sleep(100 * time.Millisecond)
	if s := <-send("large", "0badcafe:72000,00000003:900"); s != http.StatusOK { // takes the memory of i-other
		return fmt.Errorf("%w: the large request got %d", errCannotRun, s)
	}
	began := make(chan struct{}, 8)
	st.mu.Lock()
	st.saving = func(part string) {
		if part == "91bd3f06" {
			began <- struct{}{}
		}
	}
	st.mu.Unlock()
	if trouble {
		st.crash()
	}
	time.Sleep(storeDown / 2)
	close(begin)
	time.Sleep(storeDown / 2)
	if trouble {
		if err := st.restart(); err != nil {
			return err
		}
	}
	select {
	case <-began:
	case <-time.After(500 * time.Millisecond):
	}
	third := send("third", subject+",00000004:900")
	if s := <-third; s != http.StatusOK {
		return fmt.Errorf("%w: the third request got %d", errCannotRun, s)
	}
	rec.line("the first request got %d after %d ms", <-first, time.Since(firstAt).Milliseconds())
	return nil
}
