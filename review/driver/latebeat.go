package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the case late-beat.
const (
	drainBound   = 2 * time.Second         // drainMs of the settings
	stableAfter  = 3100 * time.Millisecond // from the lost answer to the draining; contactMs is 3 s
	lateBy       = 2500 * time.Millisecond // from the draining until the unanswered heartbeat is carried out
	exitAfter    = 3500 * time.Millisecond // from the confirmed draining to the end of the server
	payInterval  = 12 * time.Millisecond
	payWork      = 60 * time.Millisecond
	leavingIndex = 0
)

// lateBeat checks that a server that drains gets no request later than drainMs after that was
// confirmed. The disruption: the answer to one heartbeat of the server, from before, is lost, and the
// store carries the call out seconds later.
func lateBeat(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.close()
	var servers []*server
	for i := range 3 {
		s, err := startServer(host, fmt.Sprintf("i-%d", i), plainService, rec)
		if err != nil {
			return false, err
		}
		s.plain, s.workTime = true, payWork
		servers = append(servers, s)
		d.publish(s, "ready")
	}
	d.log.Put(name("topicOp"), "config", mustJSON(payConfig()))
	e, err := d.addEntry("entry-a")
	if err != nil {
		return false, err
	}
	if err := e.awaitReady(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	var callers sync.WaitGroup
	tally := &payTally{statuses: map[string]int{}}
	callers.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			callers.Go(func() { d.pay(e, fmt.Sprintf("pay-%04d", n), tally) })
			time.Sleep(payInterval)
		}
	})
	time.Sleep(4 * time.Second)

	leaving := servers[leavingIndex]
	unanswered := leaving.beat("ready") // sent, and not answered
	time.Sleep(stableAfter)
	d.publish(leaving, "draining")
	drainedAt := time.Now()
	rec.logf("the store confirms that %s drains; the heartbeat before, %s, has had no answer", leaving.id, unanswered)
	if trouble {
		time.AfterFunc(lateBy, func() {
			d.log.Put(name("topicServers"), leaving.id, unanswered)
			rec.logf("the store carries out the unanswered heartbeat of %s", leaving.id)
		})
	}
	time.Sleep(time.Until(drainedAt.Add(exitAfter)))
	d.withdraw(leaving)
	leaving.end()
	rec.logf("%s ends", leaving.id)
	callers.Wait()

	late := 0
	for _, a := range leaving.arrivalsAfter(drainedAt.Add(drainBound)) {
		rec.logf("VIOLATION: request %s reached %s %d ms after its draining was confirmed", a.id, leaving.id, a.at.Sub(drainedAt).Milliseconds())
		late++
	}
	rec.logf("requests that reached the leaving server too late: %d; answers: %v", late, tally.statuses)
	return late > 0, nil
}

type payTally struct {
	mu       sync.Mutex
	statuses map[string]int
}

func (t *payTally) add(status string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statuses[status]++
}

// pay sends a payment, once.
func (d *deployment) pay(e *entryProcess, id string, tally *payTally) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+"/pay/x", strings.NewReader("{}"))
	if err != nil {
		return
	}
	req.Host = routeHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+customerKey)
	req.Header.Set(name("deadline"), "1000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		tally.add("none")
		d.rec.logf("%s: no answer: %v", id, err)
		return
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	tally.add(resp.Status)
	d.rec.logf("%s: %d from %q", id, resp.StatusCode, resp.Header.Get(name("seal")))
	if resp.StatusCode != http.StatusOK {
		d.rec.logf("%s: %s", id, body)
	}
}

func payConfig() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "pay", "host": routeHost, name("prefixField"): "/pay/", "kind": "unsafe", "service": plainService, "timeoutMs": 1000, "latencyTargetMs": 150, "maxAttempts": 2, "priority": 2,
		}},
		"services": []any{map[string]any{"name": plainService, "healthPath": "/health", "maxConns": 110}},
		"tenants":  []any{map[string]any{"name": "one", "keys": []string{customerKey}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
	}
}
