package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes of the case large-bodies.
const (
	memoryMb       = 284     // of a front machine, as in the settings
	maxBodyBytes   = 4 << 20 // as in the configuration
	usualBodyBytes = 600
	userCount      = 64
	userSpacing    = 25 * time.Millisecond // between the posts of two users
	firstWait      = 2 * time.Second       // of a stream, until its first event
	streamEvents   = 20
	streamGap      = 30 * time.Millisecond
	maxLost        = 3
	rssInterval    = 5 * time.Millisecond
)

// largeBodies checks that requests which have been passed on from kept channels are answered. The
// disruption: many users come at once, with bodies of the size that the configuration allows.
func largeBodies(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.close()
	var servers []*server
	for i := range 3 {
		s, err := startServer(host, fmt.Sprintf("i-%d", i), engineService, rec)
		if err != nil {
			return false, err
		}
		s.firstWait, s.events, s.eventGap = firstWait, streamEvents, streamGap
		servers = append(servers, s)
		d.publish(s, "ready")
	}
	d.log.Put(name("topicOp"), "config", mustJSON(bodyConfig()))
	e, err := d.addEntry("entry-a")
	if err != nil {
		return false, err
	}
	if err := e.awaitReady(); err != nil {
		return false, err
	}
	watching, stop := context.WithCancel(context.Background())
	defer stop()
	killed := make(chan struct{})
	peak := 0
	go func() { // the platform's part
		for watching.Err() == nil {
			mb := e.residentMb()
			peak = max(peak, mb)
			if mb > memoryMb {
				rec.logf("%s holds %d MB; a process that exceeds %d MB is killed", e.id, mb, memoryMb)
				e.kill()
				close(killed)
				return
			}
			time.Sleep(rssInterval)
		}
	}()

	size := usualBodyBytes
	if trouble {
		size = maxBodyBytes
	}
	body := bytes.Repeat([]byte("x"), size)
	var mu sync.Mutex
	unanswered := map[string]bool{}
	var users sync.WaitGroup
	ready, start := sync.WaitGroup{}, make(chan struct{})
	for i := range userCount {
		ready.Add(1)
		users.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
			_, err := d.post(client, e, fmt.Sprintf("first-%02d", i), []byte("{}"))
			ready.Done()
			if err != nil {
				return
			}
			<-start
			time.Sleep(time.Duration(i) * userSpacing)
			id := fmt.Sprintf("large-%02d", i)
			status, err := d.post(client, e, id, body)
			if status > 0 {
				rec.logf("%s: %d, %v", id, status, err)
				return
			}
			rec.logf("%s: no answer: %v", id, err)
			mu.Lock()
			defer mu.Unlock()
			unanswered[id] = true
		})
	}
	ready.Wait()
	rec.logf("%d users post %d bytes each on kept channels", userCount, size)
	close(start)
	users.Wait()
	select {
	case <-killed:
	default:
		rec.logf("%s held %d MB at most", e.id, peak)
	}
	lost := 0
	for _, s := range servers {
		for _, a := range s.arrivalsAfter(time.Time{}) {
			if unanswered[a.id] {
				rec.logf("VIOLATION: request %s was passed on to %s, and its kept channel closed without an answer", a.id, s.id)
				lost++
			}
		}
	}
	rec.logf("requests passed on and not answered: %d", lost)
	return lost > maxLost, nil
}

// post sends a request for a stream and returns the status of the answer, 0 if
// there was none.
func (d *deployment) post(client *http.Client, e *entryProcess, id string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+"/draft/x", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return 0, err
	}
	req.ContentLength = int64(len(body))
	req.Host = routeHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+customerKey)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func bodyConfig() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "draft", "host": routeHost, name("prefixField"): "/draft/", "kind": "stream", "service": engineService, "timeoutMs": 15000, "latencyTargetMs": 1000,
			"gapTargetMs": 500, "maxAttempts": 2, "priority": 1, "resumable": true,
		}},
		"services": []any{map[string]any{"name": engineService, "healthPath": "/health", "maxConns": 370}},
		"tenants":  []any{map[string]any{"name": "one", "keys": []string{customerKey}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
	}
}

// residentMb returns the memory of the process, 0 if it has ended.
func (e *entryProcess) residentMb() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(v)[0])
			return kb / 1024
		}
	}
	return 0
}
