// Package logsvc is a stand-in for the platform's append-only log service:
// streams with offsets, limited retention, a limit on appends, outages, and
// answers that are lost after the append took effect.
package logsvc

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/galenaweir/galenaweir/standin/httpjson"
)

// Record is one entry of a stream. Data is base64 in JSON.
type Record struct {
	Offset int64  `json:"offset"`
	TimeMs int64  `json:"time_ms"` // when the log took it, Unix milliseconds
	Data   []byte `json:"data"`
}

// Page answers a read: records from the offset asked for, the first offset that
// is still kept, and the offset that the next append will get.
type Page struct {
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// Appended answers an append.
type Appended struct {
	Offset int64 `json:"offset"`
	TimeMs int64 `json:"time_ms"`
}

// Faults switches the log's failures.
type Faults struct {
	Outage       bool  `json:"outage"`         // refuse everything with 503
	LoseAnswers  int   `json:"lose_answers"`   // the next n appends take effect but the connection is cut
	DelayMs      int64 `json:"delay_ms"`       // before each answer
	LateAppends  int   `json:"late_appends"`   // the next n appends are cut at once and take effect later
	LateByMs     int64 `json:"late_by_ms"`     // how much later
	HangAnswers  int   `json:"hang_answers"`   // the next n appends take effect and never answer
	PerSecondMax int   `json:"per_second_max"` // appends a second, 0 for no limit
}

type stream struct {
	first   int64
	records []Record
	changed chan struct{}
}

// Log is the service. Its zero value is not usable; see New.
type Log struct {
	mu        sync.Mutex
	streams   map[string]*stream
	faults    Faults
	retention time.Duration
	now       func() time.Time
	appends   int64
	window    int64 // second of the append limit
	inWindow  int
}

// New returns a log that keeps records for the retention, or for ever when it
// is zero.
func New(retention time.Duration, now func() time.Time) *Log {
	return &Log{streams: map[string]*stream{}, retention: retention, now: now}
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Append adds a record to the stream.
func (l *Log) Append(name string, data []byte) Appended {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	r := Record{Offset: s.first + int64(len(s.records)), TimeMs: l.now().UnixMilli(), Data: data}
	s.records = append(s.records, r)
	l.appends++
	close(s.changed)
	s.changed = make(chan struct{})
	return Appended{r.Offset, r.TimeMs}
}

// Trim drops the records before the offset, as the end of retention does.
func (l *Log) Trim(name string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(name).trim(before)
}

func (s *stream) trim(before int64) {
	n := min(max(0, before-s.first), int64(len(s.records)))
	s.records = append([]Record(nil), s.records[n:]...)
	s.first += n
}

// Read returns up to limit records from the offset on.
func (l *Log) Read(name string, from int64, limit int) (Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if l.retention > 0 {
		cut := l.now().Add(-l.retention).UnixMilli()
		n := 0
		for n < len(s.records) && s.records[n].TimeMs < cut {
			n++
		}
		if n > 0 {
			s.trim(s.first + int64(n))
		}
	}
	p := Page{First: s.first, Next: s.first + int64(len(s.records))}
	i := min(max(0, from-s.first), int64(len(s.records)))
	j := min(i+int64(limit), int64(len(s.records)))
	p.Records = append([]Record{}, s.records[i:j]...)
	return p, s.changed
}

// admit takes the faults that apply to one append.
func (l *Log) admit() (f Faults, lose, late, hang, over bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f = l.faults
	if sec := l.now().Unix(); sec != l.window {
		l.window, l.inWindow = sec, 0
	}
	l.inWindow++
	over = f.PerSecondMax > 0 && l.inWindow > f.PerSecondMax
	switch {
	case f.Outage || over:
	case f.LateAppends > 0:
		l.faults.LateAppends--
		late = true
	case f.LoseAnswers > 0:
		l.faults.LoseAnswers--
		lose = true
	case f.HangAnswers > 0:
		l.faults.HangAnswers--
		hang = true
	}
	return f, lose, late, hang, over
}

// maxReadRecords bounds one page.
const maxReadRecords = 1000

// maxWait bounds a long poll.
const maxWait = 30 * time.Second

// Handler serves the log over HTTP.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{name}/append", l.handleAppend)
	mux.HandleFunc("GET /v1/streams/{name}/records", l.handleRead)
	mux.HandleFunc("POST /v1/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if httpjson.Read(w, r, &f) {
			l.SetFaults(f)
			httpjson.Write(w, http.StatusOK, f)
		}
	})
	mux.HandleFunc("POST /v1/streams/{name}/trim", func(w http.ResponseWriter, r *http.Request) {
		before, err := strconv.ParseInt(r.FormValue("before"), 10, 64)
		if err != nil {
			httpjson.Error(w, http.StatusBadRequest, "before must be an offset")
			return
		}
		l.Trim(r.PathValue("name"), before)
		httpjson.Write(w, http.StatusOK, struct{}{})
	})
	return mux
}

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 8<<20))
	if err != nil {
		httpjson.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	f, lose, late, hang, over := l.admit()
	name := r.PathValue("name")
	switch {
	case f.Outage:
		httpjson.Error(w, http.StatusServiceUnavailable, "the log is unavailable")
		return
	case over:
		httpjson.Error(w, http.StatusTooManyRequests, fmt.Sprintf("more than %d appends a second", f.PerSecondMax))
		return
	case late:
		time.AfterFunc(time.Duration(f.LateByMs)*time.Millisecond, func() { l.Append(name, data) })
		panic(http.ErrAbortHandler)
	}
	if !pause(r, f.DelayMs) {
		return
	}
	a := l.Append(name, data)
	if hang {
		<-r.Context().Done()
	}
	if lose || hang {
		panic(http.ErrAbortHandler) // cuts the connection without an answer
	}
	httpjson.Write(w, http.StatusOK, a)
}

func pause(r *http.Request, ms int64) bool {
	if ms <= 0 {
		return true
	}
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (l *Log) outage() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults.Outage
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.Outage {
		httpjson.Error(w, http.StatusServiceUnavailable, "the log is unavailable")
		return
	}
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil {
		httpjson.Error(w, http.StatusBadRequest, "from must be an offset")
		return
	}
	waitMs, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	deadline := time.After(min(time.Duration(waitMs)*time.Millisecond, maxWait))
	for {
		p, changed := l.Read(r.PathValue("name"), from, maxReadRecords)
		if len(p.Records) > 0 || waitMs <= 0 {
			if pause(r, f.DelayMs) {
				httpjson.Write(w, http.StatusOK, p)
			}
			return
		}
		select {
		case <-changed:
			if l.outage() {
				httpjson.Error(w, http.StatusServiceUnavailable, "the log is unavailable")
				return
			}
		case <-deadline:
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}
