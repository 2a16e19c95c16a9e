package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the case.
const (
	crashes      = 8
	downTime     = time.Second            // of a crashed server
	upTime       = 450 * time.Millisecond // between two crashes
	soundBefore  = 16 * time.Second       // with requests, before the first crash
	soundAfter   = 5 * time.Second        // from the last crash to the final fault
	finalDown    = 660 * time.Millisecond // of the killed entries
	measured     = 12 * time.Second       // after the bound of the recovery
	requestPause = 100 * time.Millisecond // between two requests
	readPerMs    = 55                     // prompt tokens
)

// crashingEngine is a model server that reads one prompt after the other and can crash.
type crashingEngine struct {
	id, address string
	rec         *record
	reading     sync.Mutex // held while a prompt is read

	mu     sync.Mutex
	server *http.Server // nil while it is down
	born   int64
	beats  int64
	cached map[string]bool
}

func newCrashingEngine(rec *record, id string) (*crashingEngine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &crashingEngine{id: id, address: l.Addr().String(), rec: rec}
	e.begin(l)
	return e, nil
}

func (e *crashingEngine) begin(l net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born, e.beats, e.cached = time.Now().UnixMilli(), 0, map[string]bool{}
	e.server = &http.Server{Handler: e}
	go func(h *http.Server) { _ = h.Serve(l) }(e.server)
}

func (e *crashingEngine) crash() {
	e.mu.Lock()
	h := e.server
	e.server = nil
	e.mu.Unlock()
	if h != nil {
		h.Close() // also ends the requests' contexts
		e.rec.line("%s     crashes", e.id)
	}
}

func (e *crashingEngine) restart() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	e.begin(l)
	e.rec.line("%s     is back", e.id)
	return nil
}

// listEntry is the server's record in the list of servers, nil while it is down.
func (e *crashingEngine) listEntry() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return nil
	}
	e.beats++
	data, _ := json.Marshal(map[string]any{
		"service": "redactor", "addr": e.address, "zone": "a", "version": "v1", "slots": 64, "state": "ready", name("coldLeft"): 0, "seq": e.beats, "born": e.born,
		"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
	})
	return data
}

func (e *crashingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	e.mu.Lock()
	boot := e.server
	e.mu.Unlock()
	e.reading.Lock()
	ok := e.read(r)
	e.reading.Unlock()
	e.mu.Lock()
	same := e.server == boot && boot != nil
	e.mu.Unlock()
	if !ok || !same {
		panic(http.ErrAbortHandler) // it has crashed, or the caller has left
	}
	id := r.Header.Get(name("requestID"))
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

// read reads the parts that are not cached. It reports false if the channel was closed meanwhile.
func (e *crashingEngine) read(r *http.Request) bool {
	for entry := range strings.SplitSeq(r.Header.Get(name("prefix")), ",") {
		part, text, _ := strings.Cut(entry, ":")
		tokens, _ := strconv.Atoi(text)
		e.mu.Lock()
		cached := e.cached[part]
		e.mu.Unlock()
		if cached {
			continue
		}
		t := time.NewTimer(time.Duration(tokens/readPerMs) * time.Millisecond)
		select {
		case <-t.C:
		case <-r.Context().Done():
			t.Stop()
			return false
		}
		e.mu.Lock()
		e.cached[part] = true
		e.mu.Unlock()
	}
	return r.Context().Err() == nil
}

// outcomes counts requests by when they were sent.
type outcomes struct {
	mu           sync.Mutex
	sent, served map[string]int // by phase
}

func (o *outcomes) add(phase string, served bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent[phase]++
	if served {
		o.served[phase]++
	}
}

// hold plays model servers that crash again and again for some seconds and are sound afterwards, then
// the loss of all entries. The rule RECOVER is broken if less than a quarter of the requests that are
// sent later than its bound after the entries are back is served, though a quarter or more was before
// the final fault.
func hold(rec *record, trouble bool) error {
	d, err := newDeployment(rec, nil)
	if err != nil {
		return err
	}
	defer d.close()
	var engines []*crashingEngine
	for i := range 2 {
		e, err := newCrashingEngine(rec, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return err
		}
		defer e.crash()
		engines = append(engines, e)
	}
	var beating sync.Mutex
	beat := func() {
		beating.Lock()
		defer beating.Unlock()
		for _, e := range engines {
			if data := e.listEntry(); data != nil {
				d.log.Put(name("servers"), e.id, data)
			}
		}
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	defer running.Wait()
	defer close(stop)
	running.Go(func() {
		for {
			beat()
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
			}
		}
	})
	d.putOperators("version/m", map[string]any{"model": "m", "version": 1})
	d.putOperators("config", wallConfig(1, false))
	for host := range 2 {
		if _, err := d.startEntry(51 + host); err != nil {
			return err
		}
	}
	if err := d.awaitReady(recoverTime); err != nil {
		return err
	}
	var mu sync.Mutex
	phase := "before the final fault"
	o := outcomes{sent: map[string]int{}, served: map[string]int{}}
	running.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(requestPause):
			}
			mu.Lock()
			at := phase
			mu.Unlock()
			subject := n % 40 // each is asked for every four seconds
			running.Go(func() {
				s := prompt(rec, d.entries[n%2].caller, fmt.Sprintf("r%d", n), "key-of-agency-a", fmt.Sprintf("5c1e07a2:512,%08x:20000,%08x:5000", 0x1000+subject, 0x2000+subject))
				o.add(at, s == http.StatusOK)
			})
		}
	})
	time.Sleep(soundBefore)
	for range crashes {
		if !trouble {
			time.Sleep(downTime + upTime)
			continue
		}
		for _, e := range engines {
			e.crash()
		}
		time.Sleep(downTime)
		for _, e := range engines {
			if err := e.restart(); err != nil {
				return err
			}
		}
		beat()
		time.Sleep(upTime)
	}
	rec.line("the servers stay up from now on")
	time.Sleep(soundAfter)
	rec.line("final fault: all entries are killed")
	setPhase := func(p string) {
		mu.Lock()
		defer mu.Unlock()
		phase = p
	}
	setPhase("during the recovery")
	for _, e := range d.entries {
		_ = e.cmd.Process.Kill()
		_ = e.cmd.Wait()
	}
	time.Sleep(finalDown)
	for _, e := range d.entries {
		if err := d.run(e); err != nil {
			return err
		}
	}
	time.Sleep(recoverTime)
	setPhase("after the recovery")
	time.Sleep(measured)
	setPhase("at the end")
	time.Sleep(2 * time.Second)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range []string{"before the final fault", "during the recovery", "after the recovery"} {
		rec.line("%s: %d of %d requests served", p, o.served[p], o.sent[p])
	}
	before, after := "before the final fault", "after the recovery"
	if 4*o.served[before] < o.sent[before] || o.sent[after] < 50 {
		return fmt.Errorf("%w: too few requests were served before the final fault", errCannotRun)
	}
	if 4*o.served[after] < o.sent[after] {
		rec.violation("RECOVER: %d of %d requests were served that were sent later than %s after all entries were back", o.served[after], o.sent[after], recoverTime)
	}
	return nil
}
