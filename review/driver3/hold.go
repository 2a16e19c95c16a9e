package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the case.
const (
	crashes      = 2 // of all servers of the model
	downTime     = time.Second
	upTime       = 450 * time.Millisecond // between two crashes
	promptTime   = 500 * time.Millisecond // until the first event
	soundBefore  = 10 * time.Second       // with requests, before the first crash
	soundAfter   = 5 * time.Second        // from the last crash to the final fault
	finalDown    = 660 * time.Millisecond // of the killed entries
	recoverTime  = 12 * time.Second       // by the rule
	measured     = 12 * time.Second       // after that
	promptPause  = 100 * time.Millisecond
	subjects     = 40
	minMeasured  = 50
	promptBudget = 8 * time.Second
)

// Phases of the case.
const (
	beforeFault = iota
	recovering
	afterRecovery
	phases
)

// outcomes counts prompts by the phase in which they were sent.
type outcomes struct {
	mu           sync.Mutex
	phase        int
	sent, served [phases]int
}

func (o *outcomes) enter(phase int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.phase = phase
}

// runHold has the servers of a model crash together, as in a loss of power that comes back twice, and
// then kills all entries once. The servers are sound from the second crash on.
func runHold(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r)
	defer d.close()
	if err != nil {
		return false, err
	}
	for i := range 2 {
		if err := d.startServer(fmt.Sprintf("i-%d", i), "llm", promptTime, 3, 5*time.Millisecond); err != nil {
			return false, err
		}
		d.servers[i].headFirst = true
	}
	d.configure(1, "config-prompts.json")
	go d.beat()
	for i := range 2 {
		if _, err := d.startEntry(fmt.Sprintf("front-%d", i)); err != nil {
			return false, err
		}
	}
	for _, e := range d.entries {
		if err := e.awaitReady(); err != nil {
			return false, err
		}
	}
	o := &outcomes{}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(promptPause):
			}
			wg.Go(func() { o.send(r, d.entries[n%len(d.entries)].front, n) })
		}
	})
	defer wg.Wait()
	defer close(done)
	time.Sleep(soundBefore)
	for range crashes {
		if err := d.crashServers(r, trouble); err != nil {
			return false, err
		}
	}
	r.add("the servers are sound from now on")
	time.Sleep(soundAfter)
	r.add("final fault: all entries are killed")
	o.enter(recovering)
	for _, e := range d.entries {
		e.kill()
	}
	time.Sleep(finalDown)
	for _, e := range d.entries {
		if err := e.start(); err != nil {
			return false, err
		}
	}
	r.add("the entries are started again")
	time.Sleep(recoverTime)
	o.enter(afterRecovery)
	time.Sleep(measured)
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, name := range []string{"before the final fault", "during the recovery", "after the recovery"} {
		r.add("%s: %d of %d prompts served", name, o.served[i], o.sent[i])
	}
	if 4*o.served[beforeFault] < o.sent[beforeFault] || o.sent[afterRecovery] < minMeasured {
		return false, errors.New("too few prompts were served before the final fault, or measured after it")
	}
	return 4*o.served[afterRecovery] < o.sent[afterRecovery], nil
}

// crashServers crashes all servers and starts them again. Without trouble it only takes the time.
func (d *deployment) crashServers(r *record, trouble bool) error {
	if !trouble {
		time.Sleep(downTime + upTime)
		return nil
	}
	for _, s := range d.servers {
		s.crash()
		r.add("%s crashes", s.id)
	}
	time.Sleep(downTime)
	for _, s := range d.servers {
		if err := s.restart(); err != nil {
			return err
		}
		r.add("%s is back", s.id)
	}
	d.writeServers()
	time.Sleep(upTime)
	return nil
}

// send sends a prompt that has its first part in common with all others. Its outcome counts for the
// phase in which it was sent, if it ends before the case does.
func (o *outcomes) send(r *record, address string, n int) {
	o.mu.Lock()
	phase := o.phase
	o.mu.Unlock()
	status, whole, err := prompt(address, n)
	r.add("prompt %d: status %d, whole %t, error %v", n, status, whole, err)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent[phase]++
	if err == nil && status == http.StatusOK && whole {
		o.served[phase]++
	}
}

func prompt(address string, n int) (status int, whole bool, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, false, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(promptBudget)); err != nil {
		return 0, false, err
	}
	if _, err := fmt.Fprintf(c, "POST /legal/x HTTP/1.1\r\nHost: %s\r\n%s: p-%d\r\n%s: %d\r\n%s: m\r\n%s: 2112,64\r\n%s: 5c1e07a2:512,%08x:1200,%08x:400\r\nContent-Length: 2\r\n\r\n{}",
		hostName, names["id"], n, names["deadline"], promptBudget.Milliseconds(), names["model"], names["tokens"], names["prefix"], 0x1000+n%subjects, 0x10000+n); err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.Contains(string(body), "id: 3\n"), err
}
