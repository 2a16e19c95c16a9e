package main

import (
	"bytes"
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

// cachedPart is a part in the memory of an engine.
type cachedPart struct {
	tokens int
	tenant string // that made it
}

// engine is a model server that keeps the parts of prompts by salt, as the pages say.
type engine struct {
	id, address string
	rec         *record
	server      *http.Server
	onUse       func(user, maker, part, salt string)

	mu     sync.Mutex
	beats  int64
	born   int64
	cached map[string]cachedPart // by salt and part
}

func startEngine(rec *record, id string, onUse func(user, maker, part, salt string)) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, address: l.Addr().String(), rec: rec, onUse: onUse, born: time.Now().UnixMilli(), cached: map[string]cachedPart{}}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// listEntry is the server's record in the list of servers.
func (e *engine) listEntry(service string) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beats++
	data, err := json.Marshal(map[string]any{
		"service": service, "addr": e.address, "zone": "a", "version": "v1", "slots": 64, "state": "ready", name("coldLeft"): 0, "seq": e.beats, "born": e.born,
		"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if v := r.Header.Get(name("expectInstance")); v != "" && v != e.id {
		h.Set(name("instance"), e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/report" {
		h.Set("Content-Type", "application/json")
		fmt.Fprint(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"active":0}`)
		return
	}
	if v := r.Header.Get(name("expectVersion")); v != "" && v != "1" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !strings.HasPrefix(r.URL.Path, "/draft/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id, tenant, salt := r.Header.Get(name("requestID")), r.Header.Get(name("tenant")), r.Header.Get(name("salt"))
	used := e.read(tenant, salt, r.Header.Get(name("prefix")))
	e.rec.line("%s runs    %s  tenant %s  salt %q  used parts [%s]", e.id, id, tenant, salt, strings.Join(used, ", "))
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

// read reads a prompt: parts that are cached under the salt are used if all parts before them are
// cached too, the others are made.
func (e *engine) read(tenant, salt, prefix string) (used []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	hit := true
	for entry := range strings.SplitSeq(prefix, ",") {
		id, tokens, _ := strings.Cut(entry, ":")
		key := salt + "\x00" + id
		p, cached := e.cached[key]
		if hit = hit && cached; hit {
			used = append(used, id+" made by "+p.tenant)
			e.onUse(tenant, p.tenant, id, salt)
			continue
		}
		n, _ := strconv.Atoi(tokens)
		e.cached[key] = cachedPart{n, tenant}
	}
	return used
}

// prompt sends a prompt and returns the status; 0 if there was none.
func prompt(rec *record, caller, id, key, prefix string) int {
	body := bytes.Repeat([]byte("x"), 900)
	req, err := http.NewRequest(http.MethodPost, "http://"+caller+"/draft/1", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = "letters.example"
	req.Header.Set(name("requestID"), id)
	req.Header.Set(name("deadline"), "15000")
	req.Header.Set(name("model"), "m")
	req.Header.Set(name("tokenCount"), "900,3")
	req.Header.Set(name("prefix"), prefix)
	req.Header.Set("Authorization", "Bearer "+key)
	c := http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rec.line("sent    %s  key %s  prefix %s", id, key, prefix)
	resp, err := c.Do(req)
	if err != nil {
		rec.line("answer  %s  %v", id, err)
		return 0
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	rec.line("answer  %s  %d  %d bytes  %v", id, resp.StatusCode, len(data), err)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}
