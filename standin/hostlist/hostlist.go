// Package hostlist is a stand-in for the platform's list of live and leaving
// hosts, which readers see with a delay.
package hostlist

import (
	"net/http"
	"sync"
	"time"

	"github.com/galenaweir/galenaweir/standin/httpjson"
)

// Host describes one host of the list.
type Host struct {
	ID            string `json:"id"`
	Role          string `json:"role"`    // "entry" or "agent"
	Address       string `json:"address"` // address of galenaweir's process on the host
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Leaving       bool   `json:"leaving"`
}

// Snapshot is the list together with the time at which it was current.
type Snapshot struct {
	AsOfMs int64  `json:"as_of_ms"`
	Hosts  []Host `json:"hosts"`
}

type revision struct {
	changedAt time.Time
	hosts     []Host
}

// List keeps the revisions of the host list and serves the one that was current
// one lag ago.
type List struct {
	mu        sync.Mutex
	revisions []revision
	lag       time.Duration
	outage    bool
	now       func() time.Time
}

// New returns a list with the given initial hosts. Readers see each change after
// lag.
func New(hosts []Host, lag time.Duration, now func() time.Time) *List {
	return &List{revisions: []revision{{time.Time{}, hosts}}, lag: lag, now: now}
}

// Set replaces the hosts. Readers see the change after the lag.
func (l *List) Set(hosts []Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revisions = append(l.revisions, revision{l.now(), hosts})
}

// SetOutage starts or ends an outage, during which every read fails.
func (l *List) SetOutage(outage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = outage
}

// Current returns the list that a reader sees now. It returns false during an
// outage.
func (l *List) Current() (Snapshot, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cutoff := l.now().Add(-l.lag)
	i := len(l.revisions) - 1
	for i > 0 && l.revisions[i].changedAt.After(cutoff) {
		i--
	}
	return Snapshot{AsOfMs: cutoff.UnixMilli(), Hosts: l.revisions[i].hosts}, !l.outage
}

// Handler serves the list over HTTP.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		snapshot, ok := l.Current()
		if !ok {
			httpjson.Error(w, http.StatusServiceUnavailable, "the host list is unavailable")
			return
		}
		httpjson.Write(w, http.StatusOK, snapshot)
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
