package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case, from the sheet of ccg-cartas.
const (
	machines    = 4                      // front machines, one in each zone
	lost        = 3                      // of them; the sheet: "the loss of any number of them"
	memoryMb    = 134                    // of a front machine
	linkBytes   = 125_000_000            // a second, 1,000 Mbit/s, of a front machine
	legalEvery  = time.Second * 10 / 282 // between two requests of carta-legal
	smallPerS   = 104                    // requests of tono-check
	smallBytes  = 2400
	lostAt      = 4 * time.Second
	loadTime    = 12 * time.Second
	maxLost     = 3 // by the rule
	killedAfter = 10 * time.Millisecond

	rotationTime = 2 * time.Second // two checks, one a second
)

// link paces what all requesters send together as the machine's link would.
type link struct {
	mu   sync.Mutex
	free time.Time
}

func (l *link) take(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / linkBytes * float64(time.Second)))
	wait := l.free.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}

// runMemory kills all entries but one under the load of the sheet, and ends a process as the platform
// does if it exceeds its memory.
func runMemory(r *record, trouble bool, size int) (broken bool, err error) {
	d, err := newDeployment(r)
	defer d.close()
	if err != nil {
		return false, err
	}
	for i := range 6 {
		if err := d.startServer(fmt.Sprintf("i-%d", i), "llm", 250*time.Millisecond, 20, 40*time.Millisecond); err != nil {
			return false, err
		}
	}
	d.configure(1, "config.json")
	go d.beat()
	l := &load{record: r, ran: d.ran}
	for i := range machines {
		e, err := d.startEntry(fmt.Sprintf("front-%d", i))
		if err != nil {
			return false, err
		}
		l.fronts = append(l.fronts, &front{entry: e})
	}
	for _, f := range l.fronts {
		if err := f.awaitReady(); err != nil {
			return false, err
		}
		go f.watchMemory(r)
	}
	r.add("%d entries are ready", machines)
	for at := time.Duration(0); at < loadTime; at += legalEvery {
		l.later(at, fmt.Sprintf("legal-%.3f", at.Seconds()), size)
	}
	for at := time.Duration(0); at < loadTime; at += time.Second / smallPerS {
		l.later(at, fmt.Sprintf("small-%.3f", at.Seconds()), smallBytes)
	}
	time.Sleep(lostAt)
	if trouble {
		for _, f := range l.fronts[:lost] {
			r.add("%s is lost", f.front)
			f.lostSince = time.Now()
			f.lost.Store(true)
			_ = f.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
		}
	}
	l.wg.Wait()
	for _, f := range l.fronts {
		r.add("%s: peak %d MB of %d, killed for it: %t; %d requests passed on from a kept channel that was closed without an answer, lost by plan: %t", f.front, f.peak.Load(), memoryMb, f.exceeded.Load(), f.unanswered.Load(), f.lost.Load())
		broken = broken || !f.lost.Load() && f.unanswered.Load() > maxLost
	}
	r.add("%d answered, %d refused, %d cut before they were passed on", l.answered.Load(), l.refused.Load(), l.cut.Load())
	return broken, nil
}

// front is an entry and what the platform and the requesters see of it.
type front struct {
	*entry
	up             link
	lost, exceeded atomic.Bool
	lostSince      time.Time // set before lost
	peak           atomic.Int64
	unanswered     atomic.Int64
}

// watchMemory kills the process if it exceeds its memory.
func (f *front) watchMemory(r *record) {
	ended := f.ended
	for {
		select {
		case <-ended:
			return
		case <-time.After(killedAfter):
		}
		mb := anonymousMb(f.cmd.Process.Pid)
		f.peak.Store(max(f.peak.Load(), int64(mb)))
		if mb > memoryMb {
			r.add("%s has %.0f MB of memory, more than memoryMb (%d): the platform kills it", f.front, mb, memoryMb)
			f.exceeded.Store(true)
			_ = f.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
			return
		}
	}
}

// load is what the requesters send.
type load struct {
	fronts []*front
	record *record
	ran    func(id string) int
	wg     sync.WaitGroup
	next   atomic.Int64

	answered, refused, cut atomic.Int64
}

// later sends a request after a time, on a channel that has carried one before.
func (l *load) later(after time.Duration, id string, size int) {
	l.wg.Go(func() {
		time.Sleep(after)
		sent := time.Now()
		f := l.choose(nil)
		status, err := upload(f.front, id, size, &f.up)
		if errors.Is(err, syscall.ECONNREFUSED) { // the requester's one retry reaches another machine
			f = l.choose(f)
			status, err = upload(f.front, id, size, &f.up)
		}
		passedOn := l.ran(id) > 0
		l.record.add("%s sends %s, %d bytes: status %d, error %v, passed on %t, %d ms", f.front, id, size, status, err, passedOn, time.Since(sent).Milliseconds())
		switch {
		case err == nil && status == http.StatusOK:
			l.answered.Add(1)
		case err == nil:
			l.refused.Add(1)
		case passedOn:
			f.unanswered.Add(1)
		default:
			l.cut.Add(1)
		}
	})
}

// choose returns a front machine in rotation, another one than not if there is one. A machine is in
// rotation until it has missed two of the platform's checks.
func (l *load) choose(not *front) *front {
	for range machines {
		f := l.fronts[l.next.Add(1)%machines]
		if out := f.lost.Load() && time.Since(f.lostSince) > rotationTime; f != not && !out {
			return f
		}
	}
	return l.fronts[machines-1] // the one that isn't lost
}

// upload sends a request on a channel that has carried one before, and reads the answer.
func upload(address, id string, size int, up *link) (status int, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	br := bufio.NewReader(c)
	if _, err := exchange(c, br, id+"-first", 0, up); err != nil {
		return 0, fmt.Errorf("first request: %w", err)
	}
	return exchange(c, br, id, size, up)
}

func exchange(c net.Conn, br *bufio.Reader, id string, size int, up *link) (status int, err error) {
	if _, err := fmt.Fprintf(c, "POST /legal/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 15000\r\nContent-Length: %d\r\n\r\n", hostName, names["id"], id, names["deadline"], size); err != nil {
		return 0, err
	}
	piece := make([]byte, 16<<10)
	for sent := 0; sent < size; sent += len(piece) {
		up.take(len(piece))
		if _, err := c.Write(piece); err != nil {
			return 0, err
		}
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
