// Package logsvc is a stand-in for the platform's append-only log service. It has
// streams with offsets, limited retention and a rate limit on appends, and it
// simulates outages, delayed appends and responses that are lost after the append
// took effect.
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

// Record is one record of a stream. JSON encodes Data as base64.
type Record struct {
	Offset int64  `json:"offset"`
	TimeMs int64  `json:"time_ms"` // when the log accepted the record, in Unix milliseconds
	Data   []byte `json:"data"`
}

// Page is the response to a read: the records from the requested offset on, the
// first offset that is still retained, and the offset of the next append.
type Page struct {
	FirstOffset int64    `json:"first"`
	NextOffset  int64    `json:"next"`
	Records     []Record `json:"records"`
}

// AppendResult is the response to an append.
type AppendResult struct {
	Offset int64 `json:"offset"`
	TimeMs int64 `json:"time_ms"`
}

// Faults selects the failures that the log simulates.
type Faults struct {
	Outage              bool  `json:"outage"`         // respond to every append and read with status 503
	LoseResponses       int   `json:"lose_answers"`   // the next n appends take effect, but the connection is closed without a response
	DelayMs             int64 `json:"delay_ms"`       // delay before each append takes effect and before each page is sent
	DelayedAppends      int   `json:"late_appends"`   // the connections of the next n appends are closed at once; the appends take effect later
	DelayedByMs         int64 `json:"late_by_ms"`     // time after which these appends take effect
	HangResponses       int   `json:"hang_answers"`   // the next n appends take effect, but get no response while the connection stays open
	MaxAppendsPerSecond int   `json:"per_second_max"` // limit on appends per second; 0 means no limit
}

type stream struct {
	firstOffset int64
	records     []Record
	changed     chan struct{} // closed and replaced at each append
}

// Log is the log service. Use New to create it.
type Log struct {
	mu            sync.Mutex
	streams       map[string]*stream
	faults        Faults
	retention     time.Duration
	now           func() time.Time
	appends       int64
	windowSecond  int64 // Unix second to which windowAppends applies
	windowAppends int
}

// New returns an empty log that keeps records for the retention period, or forever
// if retention is zero.
func New(retention time.Duration, now func() time.Time) *Log {
	return &Log{streams: map[string]*stream{}, retention: retention, now: now}
}

// SetFaults replaces the simulated faults.
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

func (l *Log) getOrCreateStream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Append adds a record to the stream.
func (l *Log) Append(name string, data []byte) AppendResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.getOrCreateStream(name)
	r := Record{Offset: s.firstOffset + int64(len(s.records)), TimeMs: l.now().UnixMilli(), Data: data}
	s.records = append(s.records, r)
	l.appends++
	close(s.changed)
	s.changed = make(chan struct{})
	return AppendResult{r.Offset, r.TimeMs}
}

// Trim drops the records before the offset, as happens when their retention
// period ends.
func (l *Log) Trim(name string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.getOrCreateStream(name).trim(before)
}

func (s *stream) trim(before int64) {
	n := min(max(0, before-s.firstOffset), int64(len(s.records)))
	s.records = append([]Record(nil), s.records[n:]...)
	s.firstOffset += n
}

// Read returns up to limit records from the offset on, and a channel that is closed
// at the next append to the stream.
func (l *Log) Read(name string, from int64, limit int) (Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.getOrCreateStream(name)
	if l.retention > 0 {
		cutoff := l.now().Add(-l.retention).UnixMilli()
		expired := 0
		for expired < len(s.records) && s.records[expired].TimeMs < cutoff {
			expired++
		}
		if expired > 0 {
			s.trim(s.firstOffset + int64(expired))
		}
	}
	p := Page{FirstOffset: s.firstOffset, NextOffset: s.firstOffset + int64(len(s.records))}
	i := min(max(0, from-s.firstOffset), int64(len(s.records)))
	j := min(i+int64(limit), int64(len(s.records)))
	p.Records = append([]Record{}, s.records[i:j]...)
	return p, s.changed
}

// consumeFaults counts one append against the rate limit and returns the faults
// that apply to it. Counted faults are used up.
func (l *Log) consumeFaults() (f Faults, loseResponse, delayAppend, hangResponse, overLimit bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f = l.faults
	if sec := l.now().Unix(); sec != l.windowSecond {
		l.windowSecond, l.windowAppends = sec, 0
	}
	l.windowAppends++
	overLimit = f.MaxAppendsPerSecond > 0 && l.windowAppends > f.MaxAppendsPerSecond
	switch {
	case f.Outage || overLimit:
	case f.DelayedAppends > 0:
		l.faults.DelayedAppends--
		delayAppend = true
	case f.LoseResponses > 0:
		l.faults.LoseResponses--
		loseResponse = true
	case f.HangResponses > 0:
		l.faults.HangResponses--
		hangResponse = true
	}
	return f, loseResponse, delayAppend, hangResponse, overLimit
}

// maxPageRecords is the maximum number of records in a page.
const maxPageRecords = 1000

// maxLongPoll is the longest that a read waits for new records.
const maxLongPoll = 30 * time.Second

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
	f, loseResponse, delayAppend, hangResponse, overLimit := l.consumeFaults()
	name := r.PathValue("name")
	switch {
	case f.Outage:
		httpjson.Error(w, http.StatusServiceUnavailable, "the log is unavailable")
		return
	case overLimit:
		httpjson.Error(w, http.StatusTooManyRequests, fmt.Sprintf("more than %d appends a second", f.MaxAppendsPerSecond))
		return
	case delayAppend:
		time.AfterFunc(time.Duration(f.DelayedByMs)*time.Millisecond, func() { l.Append(name, data) })
		panic(http.ErrAbortHandler)
	}
	if !waitDelay(r, f.DelayMs) {
		return
	}
	result := l.Append(name, data)
	if hangResponse {
		<-r.Context().Done()
	}
	if loseResponse || hangResponse {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	httpjson.Write(w, http.StatusOK, result)
}

// waitDelay waits for the given time. It returns false if the client disconnects
// first.
func waitDelay(r *http.Request, ms int64) bool {
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

func (l *Log) inOutage() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults.Outage
}

// handleRead sends a page. If there are no records at the offset, it first waits for
// an append for up to wait_ms (long poll).
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
	deadline := time.After(min(time.Duration(waitMs)*time.Millisecond, maxLongPoll))
	for {
		p, changed := l.Read(r.PathValue("name"), from, maxPageRecords)
		if len(p.Records) > 0 || waitMs <= 0 {
			if waitDelay(r, f.DelayMs) {
				httpjson.Write(w, http.StatusOK, p)
			}
			return
		}
		select {
		case <-changed:
			if l.inOutage() {
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
