// Package service is a stand-in for a plain service beside the engines, such as
// a levy ledger: payments that change a balance, and lookups that read it. It
// counts the effect of each payment, so that a test can tell a doubled one.
package service

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/galenaweir/galenaweir/standin/httpjson"
)

// Ledger is the state that the replicas of a service share.
type Ledger struct {
	mu       sync.Mutex
	effects  map[string]int // by payment reference
	balances map[string]int64
	history  map[string][]int64 // balance at version i+1
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{effects: map[string]int{}, balances: map[string]int64{}, history: map[string][]int64{}}
}

// Effects returns how many times the payment took effect.
func (l *Ledger) Effects(reference string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.effects[reference]
}

func (l *Ledger) pay(p Payment) Balance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.effects[p.Reference]++
	l.balances[p.Account] += p.Amount
	l.history[p.Account] = append(l.history[p.Account], l.balances[p.Account])
	return Balance{Account: p.Account, Balance: l.balances[p.Account], Version: int64(len(l.history[p.Account]))}
}

func (l *Ledger) balance(account string, behind int) Balance {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history[account]
	v := max(0, len(h)-behind)
	b := Balance{Account: account, Version: int64(v)}
	if v > 0 {
		b.Balance = h[v-1]
	}
	return b
}

// Payment is the body of POST /payments.
type Payment struct {
	Reference string `json:"reference"`
	Account   string `json:"account"`
	Amount    int64  `json:"amount"` // in the smallest unit of the currency
}

// Balance answers payments and lookups.
type Balance struct {
	Account string `json:"account"`
	Balance int64  `json:"balance"`
	Version int64  `json:"version"`
}

// Faults switches the replica's failures.
type Faults struct {
	Behind       int   `json:"behind"`         // lookups miss the last n payments
	DelayMs      int64 `json:"delay_ms"`       // before the effect
	HangAfter    bool  `json:"hang_after"`     // take effect, never answer
	CutAfter     bool  `json:"cut_after"`      // take effect, cut the connection
	AnswerWaitMs int64 `json:"answer_wait_ms"` // between effect and answer
}

// Replica is one endpoint of the service.
type Replica struct {
	ledger *Ledger
	mu     sync.Mutex
	faults Faults
}

// NewReplica returns a replica of the ledger.
func NewReplica(l *Ledger) *Replica { return &Replica{ledger: l} }

// SetFaults replaces the faults.
func (r *Replica) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

func (r *Replica) current() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// versionHeader carries the version of the resource that the answer shows.
const versionHeader = "Resource-Version"

func (r *Replica) answer(w http.ResponseWriter, b Balance) {
	w.Header().Set(versionHeader, strconv.FormatInt(b.Version, 10))
	httpjson.Write(w, http.StatusOK, b)
}

func (r *Replica) handlePayment(w http.ResponseWriter, req *http.Request) {
	var p Payment
	if !httpjson.Read(w, req, &p) {
		return
	}
	f := r.current()
	time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
	b := r.ledger.pay(p)
	time.Sleep(time.Duration(f.AnswerWaitMs) * time.Millisecond)
	if f.HangAfter {
		<-req.Context().Done()
	}
	if f.HangAfter || f.CutAfter {
		panic(http.ErrAbortHandler)
	}
	r.answer(w, b)
}

// Handler serves the replica over HTTP.
func (r *Replica) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /payments", r.handlePayment)
	mux.HandleFunc("GET /balances/{account}", func(w http.ResponseWriter, req *http.Request) {
		f := r.current()
		time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
		r.answer(w, r.ledger.balance(req.PathValue("account"), f.Behind))
	})
	mux.HandleFunc("GET /effects/{reference}", func(w http.ResponseWriter, req *http.Request) {
		httpjson.Write(w, http.StatusOK, r.ledger.Effects(req.PathValue("reference")))
	})
	mux.HandleFunc("POST /echo", func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(w, req.Body) // the caller has gone if this fails
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
