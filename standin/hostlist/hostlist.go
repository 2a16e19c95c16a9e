// Package hostlist is a stand-in for the platform's lagging list of live and
// leaving hosts.
package hostlist

import (
	"net/http"
	"sync"
	"time"

	"github.com/galenaweir/galenaweir/standin/httpjson"
)

// Host is one entry of the list.
type Host struct {
	ID            string `json:"id"`
	Role          string `json:"role"`    // entry or agent
	Address       string `json:"address"` // of the system's process on the host
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Leaving       bool   `json:"leaving"`
}

// Answer is the list and its age.
type Answer struct {
	AsOfMs int64  `json:"as_of_ms"`
	Hosts  []Host `json:"hosts"`
}

type version struct {
	at    time.Time
	hosts []Host
}

// List serves the hosts as they were one lag ago.
type List struct {
	mu       sync.Mutex
	versions []version
	lag      time.Duration
	outage   bool
	now      func() time.Time
}

// New returns a list that starts with the hosts.
func New(hosts []Host, lag time.Duration, now func() time.Time) *List {
	return &List{versions: []version{{time.Time{}, hosts}}, lag: lag, now: now}
}

// Set changes the list; readers see the change after the lag.
func (l *List) Set(hosts []Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{l.now(), hosts})
}

// SetOutage makes every read fail.
func (l *List) SetOutage(out bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = out
}

// Current returns what a reader sees now.
func (l *List) Current() (Answer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cut := l.now().Add(-l.lag)
	i := len(l.versions) - 1
	for i > 0 && l.versions[i].at.After(cut) {
		i--
	}
	return Answer{AsOfMs: cut.UnixMilli(), Hosts: l.versions[i].hosts}, !l.outage
}

// Handler serves the list over HTTP.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		a, ok := l.Current()
		if !ok {
			httpjson.Error(w, http.StatusServiceUnavailable, "the host list is unavailable")
			return
		}
		httpjson.Write(w, http.StatusOK, a)
	})
	mux.HandleFunc("PUT /v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		var hosts []Host
		if httpjson.Read(w, r, &hosts) {
			l.Set(hosts)
			httpjson.Write(w, http.StatusOK, struct{}{})
		}
	})
	mux.HandleFunc("POST /v1/faults", func(w http.ResponseWriter, r *http.Request) {
		var f struct {
			Outage bool `json:"outage"`
		}
		if httpjson.Read(w, r, &f) {
			l.SetOutage(f.Outage)
			httpjson.Write(w, http.StatusOK, f)
		}
	})
	return mux
}
