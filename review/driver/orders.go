package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Times of a server's orders.
const (
	loadTime   = 200 * time.Millisecond // as the project's own stand-in
	lateOrders = 8 * time.Second        // until an order without an answer is carried out
)

// order is an order that reached a server.
type order struct {
	Holder       string `json:"holder"`
	Fence        int64  `json:"fence"`
	Version      int64  `json:"version"`
	Precondition *int64 `json:"precondition"`

	at time.Time
}

// serveOrder carries an order out, or with onOrder set leaves the first one without an answer and
// carries it out seconds later, if its condition still holds.
func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.at = time.Now()
	s.mu.Lock()
	s.orders = append(s.orders, o)
	first, tell := len(s.orders) == 1, s.onOrder
	s.mu.Unlock()
	s.rec.logf("%s: order of %s, fence %d, version %d", s.id, o.Holder, o.Fence, o.Version)
	if tell != nil && first {
		tell(o)
		time.AfterFunc(lateOrders, func() { s.accept(o) })
		<-r.Context().Done() // no answer
		return
	}
	w.WriteHeader(s.accept(o))
}

// accept carries an order out and returns the status for it.
func (s *server) accept(o order) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.version >= o.Version:
		return http.StatusOK
	case s.loading || o.Precondition != nil && *o.Precondition != s.seq:
		return http.StatusConflict
	}
	s.seq++
	s.loading = true
	time.AfterFunc(loadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.loading, s.version = false, o.Version
	})
	return http.StatusAccepted
}

func (s *server) ordersSoFar() []order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}

// holds returns the servers to which an entry may send orders, as its metrics show them.
func (e *entryProcess) holds() []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.metrics+"/debug/vars", nil)
	if err != nil {
		return nil
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var vars struct {
		Galenaweir struct {
			Forwarding struct {
				Holds []string `json:"holds"`
			} `json:"forwarding"`
		} `json:"galenaweir"`
	}
	if json.NewDecoder(resp.Body).Decode(&vars) != nil {
		return nil
	}
	return vars.Galenaweir.Forwarding.Holds
}

// Times of the case two-holders.
const (
	leaseTime     = 3 * time.Second // leaseMs of the rules
	expiryTime    = 3 * beatInterval
	namingAfter   = 3200 * time.Millisecond // from the cut
	killAfter     = 50 * time.Millisecond   // from the unanswered order
	removalAfter  = 100 * time.Millisecond
	returnAfter   = 1100 * time.Millisecond // from the removal of the server's entry
	settleTime    = 6 * time.Second
	ownersLimit   = 30 * time.Second
	observeTime   = 7 * time.Second
	modelServers  = 5 // one of them is a share of 0.2
	secondVersion = 2
)

// twoHolders checks that orders of two holders don't reach a server within leaseMs. The disruption:
// a server is cut off from the store, leaves an order unanswered, and the entry that sent it is
// killed.
func twoHolders(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.close()
	var servers []*server
	for i := range modelServers {
		s, err := startServer(host, fmt.Sprintf("i-%d", i), engineService, rec)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
		d.publish(s, "ready")
	}
	d.log.Put(name("topicOp"), "config", mustJSON(storeConfig("127.0.0.1:9")))
	d.log.Put(name("topicOp"), "version/"+modelName, mustJSON(map[string]any{"model": modelName, "version": 1}))
	var entries []*entryProcess
	for _, id := range []string{"entry-a", "entry-b"} {
		e, err := d.addEntry(id)
		if err != nil {
			return false, err
		}
		entries = append(entries, e)
	}
	for began := time.Now(); len(entries[0].holds())+len(entries[1].holds()) < modelServers; time.Sleep(200 * time.Millisecond) {
		if time.Since(began) > ownersLimit {
			return false, fmt.Errorf("the entries don't hold all servers after %s", ownersLimit)
		}
	}
	time.Sleep(settleTime)
	chosen := servers[0]
	holder := slices.IndexFunc(entries, func(e *entryProcess) bool { return slices.Contains(e.holds(), chosen.id) })
	if holder < 0 {
		return false, fmt.Errorf("no entry holds %s", chosen.id)
	}
	first := entries[holder]
	rec.logf("entry-a holds %v, entry-b holds %v", entries[0].holds(), entries[1].holds())
	cutAt := time.Now()
	if trouble {
		d.silence(chosen)
		rec.logf("%s is cut off from the store", chosen.id)
		chosen.mu.Lock()
		chosen.onOrder = func(o order) {
			time.AfterFunc(killAfter, func() {
				first.kill()
				rec.logf("%s is killed", first.id)
			})
			removal := max(time.Until(cutAt.Add(expiryTime)), removalAfter)
			time.AfterFunc(removal, func() {
				d.log.Put(name("topicServers"), chosen.id, nil)
				rec.logf("the entry of %s is removed after %d ms of silence", chosen.id, time.Since(cutAt).Milliseconds())
			})
			time.AfterFunc(removal+returnAfter, func() {
				d.publish(chosen, "ready")
				rec.logf("%s reaches the store again", chosen.id)
			})
		}
		chosen.mu.Unlock()
	}
	time.Sleep(time.Until(cutAt.Add(namingAfter)))
	d.log.Put(name("topicOp"), "version/"+modelName, mustJSON(map[string]any{"model": modelName, "version": secondVersion}))
	rec.logf("version %d is named", secondVersion)
	time.Sleep(observeTime)

	broken := false
	for _, s := range servers {
		orders := s.ordersSoFar()
		for i := 1; i < len(orders); i++ {
			a, b := orders[i-1], orders[i]
			if gap := b.at.Sub(a.at); a.Holder != b.Holder && gap < leaseTime {
				rec.logf("VIOLATION: %s got an order of %s and %d ms later one of %s", s.id, a.Holder, gap.Milliseconds(), b.Holder)
				broken = true
			}
		}
	}
	return broken, nil
}
