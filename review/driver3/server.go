package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a sound server: it reads a request, works on it and answers it.
type server struct {
	id, service, addr string
	born              atomic.Int64
	work              time.Duration // before the first byte of the answer
	events            int           // of a stream, 0 for an answer with a length
	gap               time.Duration // between two events
	record            *record
	down              atomic.Bool // it has crashed

	mu   sync.Mutex
	http *http.Server
	runs map[string]int // by request
}

func (d *deployment) startServer(id, service string, work time.Duration, events int, gap time.Duration) error {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return err
	}
	s := &server{id: id, service: service, addr: l.Addr().String(), work: work, events: events, gap: gap, record: d.record, runs: map[string]int{}}
	s.serve(l)
	d.cleanups = append(d.cleanups, s.crash)
	d.servers = append(d.servers, s)
	return nil
}

func (s *server) serve(l net.Listener) {
	srv := &http.Server{Handler: s}
	s.mu.Lock()
	s.http = srv
	s.mu.Unlock()
	s.born.Store(time.Now().UnixMilli())
	s.down.Store(false)
	go func() { _ = srv.Serve(l) }() // returns on Close
}

// crash closes all connections and the listener.
func (s *server) crash() {
	s.down.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.http.Close()
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names["id"])
	w.Header().Set(names["id"], id)
	w.Header().Set(names["instance"], s.id)
	w.Header().Set(names["weights"], "1")
	if v := r.Header.Get(names["expect"]); v != "" && v != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.record.add("server %s runs %s (%d bytes)", s.id, id, n)
	w.Header().Set(names["seal"], s.id+"."+id)
	if s.events > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done(): // the caller has left, or this server has crashed
		return
	}
	if s.events == 0 {
		fmt.Fprintf(w, "done %s", id)
		return
	}
	for i := 1; i <= s.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(s.gap)
	}
}

func (d *deployment) ran(id string) int {
	n := 0
	for _, s := range d.servers {
		s.mu.Lock()
		n += s.runs[id]
		s.mu.Unlock()
	}
	return n
}
