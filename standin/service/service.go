// Package service is a stand-in for a service other than an engine, such as a levy
// ledger. Payments change a balance, and lookups read it. The service counts how
// often each payment took effect, so that a test can detect duplicates.
package service

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/galenaweir/galenaweir/standin/httpjson"
)

// Ledger is the state that all replicas of a service share.
type Ledger struct {
	mu       sync.Mutex
	effects  map[string]int // number of times that each payment took effect, by reference
	balances map[string]int64
	history  map[string][]int64 // by account; element i is the balance at version i+1
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{effects: map[string]int{}, balances: map[string]int64{}, history: map[string][]int64{}}
}

// EffectCount returns how often the payment took effect.
func (l *Ledger) EffectCount(reference string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.effects[reference]
}

func (l *Ledger) applyPayment(p Payment) Balance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.effects[p.Reference]++
	l.balances[p.Account] += p.Amount
	l.history[p.Account] = append(l.history[p.Account], l.balances[p.Account])
	return Balance{Account: p.Account, Balance: l.balances[p.Account], Version: int64(len(l.history[p.Account]))}
}

// balanceBefore returns the account's balance without its last payments; behind is the
// number of payments to leave out.
func (l *Ledger) balanceBefore(account string, behind int) Balance {
	l.mu.Lock()
	defer l.mu.Unlock()
	history := l.history[account]
	version := max(0, len(history)-behind)
	b := Balance{Account: account, Version: int64(version)}
	if version > 0 {
		b.Balance = history[version-1]
	}
	return b
}

// Payment is the body of POST /payments.
type Payment struct {
	Reference string `json:"reference"`
	Account   string `json:"account"`
	Amount    int64  `json:"amount"` // in the smallest unit of the currency
}

// Balance is the response to payments and lookups.
type Balance struct {
	Account string `json:"account"`
	Balance int64  `json:"balance"`
	Version int64  `json:"version"`
}

// Faults selects the failures that a replica simulates.
type Faults struct {
	StaleBy          int   `json:"behind"`         // lookups omit the last n payments of the account
	DelayMs          int64 `json:"delay_ms"`       // delay before the payment or lookup
	HangAfterPayment bool  `json:"hang_after"`     // payments take effect but get no response
	CutAfterPayment  bool  `json:"cut_after"`      // payments take effect, but the connection is closed without a response
	ResponseDelayMs  int64 `json:"answer_wait_ms"` // delay between a payment and its response
}

// Replica is one endpoint of the service. Use NewReplica to create it.
type Replica struct {
	ledger *Ledger
	mu     sync.Mutex
	faults Faults
}

// NewReplica returns a replica of the ledger.
func NewReplica(l *Ledger) *Replica { return &Replica{ledger: l} }

// SetFaults replaces the simulated faults.
func (r *Replica) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

func (r *Replica) currentFaults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// versionHeader is the response header with the version of the returned resource.
const versionHeader = "Resource-Version"

func (r *Replica) writeBalance(w http.ResponseWriter, b Balance) {
	w.Header().Set(versionHeader, strconv.FormatInt(b.Version, 10))
	httpjson.Write(w, http.StatusOK, b)
}

func (r *Replica) handlePayment(w http.ResponseWriter, req *http.Request) {
	var p Payment
	if !httpjson.Read(w, req, &p) {
		return
	}
	f := r.currentFaults()
	time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
	b := r.ledger.applyPayment(p)
	time.Sleep(time.Duration(f.ResponseDelayMs) * time.Millisecond)
	if f.HangAfterPayment {
		<-req.Context().Done()
	}
	if f.HangAfterPayment || f.CutAfterPayment {
		panic(http.ErrAbortHandler)
	}
	r.writeBalance(w, b)
}

// Handler serves the replica over HTTP.
func (r *Replica) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /payments", r.handlePayment)
	mux.HandleFunc("GET /balances/{account}", func(w http.ResponseWriter, req *http.Request) {
		f := r.currentFaults()
		time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
		r.writeBalance(w, r.ledger.balanceBefore(req.PathValue("account"), f.StaleBy))
	})
	mux.HandleFunc("GET /effects/{reference}", func(w http.ResponseWriter, req *http.Request) {
		httpjson.Write(w, http.StatusOK, r.ledger.EffectCount(req.PathValue("reference")))
	})
	mux.HandleFunc("POST /echo", func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(w, req.Body) // fails only if the client has disconnected
	})
	mux.HandleFunc("POST /v1/faults", func(w http.ResponseWriter, req *http.Request) {
		var f Faults
		if httpjson.Read(w, req, &f) {
			r.SetFaults(f)
			httpjson.Write(w, http.StatusOK, f)
		}
	})
	return mux
}
