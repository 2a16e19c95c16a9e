package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Sizes of the case grey-refusal.
const (
	paymentServers = 7 // one of them is a share of 0.14
	greyEvery      = 3 // of the requests that the grey server runs, one in so many fails
	paymentCount   = 400
	paymentWork    = 30 * time.Millisecond
)

// greyRefusal checks that no payment that has run is answered with 503, which promises that it has
// not. The disruption: one server fails part of its requests after it has run them, with 503 and
// without the header that states "not run".
func greyRefusal(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.close()
	var servers []*server
	for i := range paymentServers {
		s, err := startServer(host, fmt.Sprintf("i-%d", i), plainService, rec)
		if err != nil {
			return false, err
		}
		s.plain, s.workTime = true, paymentWork
		servers = append(servers, s)
		d.publish(s, "ready")
	}
	if trouble {
		servers[0].failEvery = greyEvery
	}
	d.log.Put(name("topicOp"), "config", mustJSON(payConfig()))
	e, err := d.addEntry("entry-a")
	if err != nil {
		return false, err
	}
	if err := e.awaitReady(); err != nil {
		return false, err
	}
	tally := &payTally{statuses: map[string]int{}, refused: map[string]bool{}}
	var callers sync.WaitGroup
	for n := range paymentCount {
		callers.Go(func() {
			payment := fmt.Sprintf(`{"payment":%d}`, n)
			if d.pay(e, fmt.Sprintf("pay-%04d", n), payment, tally) == http.StatusServiceUnavailable {
				d.pay(e, fmt.Sprintf("pay-%04d-again", n), payment, tally) // it was promised that it has not run
			}
		})
		time.Sleep(payInterval)
	}
	callers.Wait()
	broken, effects, doubled := 0, map[string]int{}, 0
	for _, s := range servers {
		for _, r := range s.ranSoFar() {
			if tally.refused[r.id] {
				rec.logf("VIOLATION: request %s ran at %s, and its requester got 503", r.id, s.id)
				broken++
			}
			if effects[r.body]++; effects[r.body] == 2 {
				doubled++
			}
		}
	}
	rec.logf("requests that ran and were refused with 503: %d; payments that took effect twice: %d; answers: %v", broken, doubled, tally.statuses)
	return broken > 0, nil
}
