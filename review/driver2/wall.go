package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// wall plays a tenant that becomes dedicated by a new configuration after it has shared a part of its
// prompts. The rule WALL is broken if a request of another tenant, sent later than the bound of the
// configuration after the confirmation, uses a part that a request of the dedicated tenant made, or
// the other way round.
func wall(rec *record, trouble bool) error {
	var mu sync.Mutex
	dedicated := map[string]bool{} // in the configuration in force everywhere
	onUse := func(user, maker, part, salt string) {
		mu.Lock()
		defer mu.Unlock()
		if user != maker && (dedicated[user] || dedicated[maker]) {
			rec.violation("WALL: a request of %s uses part %s, which a request of %s made, under the salt %q", user, part, maker, salt)
		}
	}
	d, err := newDeployment(rec, nil)
	if err != nil {
		return err
	}
	defer d.close()
	eng, err := startEngine(rec, "i-1", onUse)
	if err != nil {
		return err
	}
	defer eng.server.Close()
	stop := make(chan struct{})
	var beats sync.WaitGroup
	beats.Go(func() {
		for {
			d.log.Put(name("servers"), eng.id, eng.listEntry("redactor"))
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
			}
		}
	})
	defer beats.Wait()
	defer close(stop)
	d.putOperators("version/m", map[string]any{"model": "m", "version": 1})
	d.putOperators("config", wallConfig(1, false))
	for host := range 2 {
		if _, err := d.startEntry(21 + host); err != nil {
			return err
		}
	}
	if err := d.awaitReady(recoverTime); err != nil {
		return err
	}
	const shared = "5c1e07a2:800"
	send := func(n int, tenant string) error {
		for i, e := range d.entries {
			id := fmt.Sprintf("%s-%d-%d", tenant, n, i)
			if s := prompt(rec, e.caller, id, "key-of-"+tenant, fmt.Sprintf("%s,%08x:100", shared, n*100+i)); s != http.StatusOK {
				return fmt.Errorf("%w: request %s got %d", errCannotRun, id, s)
			}
		}
		return nil
	}
	if err := send(1, "agency-a"); err != nil {
		return err
	}
	if err := send(2, "agency-b"); err != nil {
		return err
	}
	if trouble {
		d.putOperators("config", wallConfig(2, true))
		rec.line("confirmed: version 2, in which agency-a is dedicated")
		time.Sleep(configApply + time.Second)
		mu.Lock()
		dedicated["agency-a"] = true
		mu.Unlock()
	} else {
		time.Sleep(configApply + time.Second)
	}
	for n := 3; n < 6; n++ {
		if err := send(n, "agency-b"); err != nil {
			return err
		}
		if err := send(n+10, "agency-a"); err != nil {
			return err
		}
	}
	return nil
}

func wallConfig(version int, dedicated bool) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "carta", "host": "letters.example", name("routePrefix"): "/draft/", "kind": "stream", "service": "redactor", "timeoutMs": 15000, "latencyTargetMs": 1000,
			"gapTargetMs": 500, "maxAttempts": 2, "priority": 1, "resumable": true, "sticky": true,
		}},
		"services": []map[string]any{{
			"name": "redactor", "healthPath": "/health", "maxConns": 360,
			"engine": map[string]any{"slots": 64, name("capacity"): 79966, name("tokenSize"): 18432, "linkMbps": 550000.0, "managed": true, "models": []map[string]any{{"name": "m"}}},
		}},
		"tenants": []map[string]any{
			{"name": "agency-a", "keys": []string{"key-of-agency-a"}, "dedicated": dedicated},
			{"name": "agency-b", "keys": []string{"key-of-agency-b"}, "dedicated": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
	}
}
