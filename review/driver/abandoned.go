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

// Sizes of the case abandoned-part. The prompts are like those of the users' drafting requests.
const (
	systemTokens   = 1024
	sessionTokens  = 8098
	ownTokens      = 2870
	documentCount  = 9
	documentTokens = 16
	savingTime     = 15 * time.Second
	engineCount    = 1
	engineTokens   = 32_000 // of the memory of a model server
	saverCount     = 8
	returnerCount  = 2
	linkMbps       = linkTokens * 18432 * 8 / 1000
	others         = 6    // sessions that come back beside those of the lost events
	linkTokens     = 30.0 // of the store, per ms
)

// abandonedPart checks that no request takes a part from a store that is freed before the fetch has
// ended. The disruption: the events of up to three parts never arrive.
func abandonedPart(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.close()
	st, err := startStore(host, linkTokens, rec)
	if err != nil {
		return false, err
	}
	for i := range engineCount {
		s, err := startServer(host, fmt.Sprintf("i-%d", i), engineService, rec)
		if err != nil {
			return false, err
		}
		s.stores[st.address], s.capacity = st, engineTokens
		d.publish(s, "ready")
	}
	d.log.Put(name("topicOp"), "config", mustJSON(storeConfig(st.address)))
	d.log.Put(name("topicOp"), "version/"+modelName, mustJSON(map[string]any{"model": modelName, "version": 1}))
	first, err := d.addEntry("entry-a")
	if err != nil {
		return false, err
	}
	if err := first.awaitReady(); err != nil {
		return false, err
	}

	listed := make(chan struct{})
	var once sync.Once
	st.mu.Lock()
	began := time.Now()
	st.onList = func(held, partial int, _ string) {
		if partial > 0 && time.Since(began) > savingTime {
			once.Do(func() { close(listed) })
		}
	}
	st.mu.Unlock()
	saving, stop := context.WithCancel(context.Background())
	var savers sync.WaitGroup
	for i := range saverCount {
		savers.Go(func() {
			for n := 0; saving.Err() == nil; n++ {
				session := fmt.Sprintf("%02d%04d", i, n)
				d.prompt(saving, first, fmt.Sprintf("a-%d-%d", i, n), session, documents(session)...)
			}
		})
	}
	time.Sleep(time.Until(began.Add(savingTime)))
	st.mu.Lock()
	st.silence = trouble
	st.mu.Unlock()
	select {
	case <-listed:
	case <-time.After(30 * time.Second):
		stop()
		return false, fmt.Errorf("no list of the store was requested while parts were being written")
	}
	listedAt := time.Now()
	stop()
	savers.Wait()
	time.Sleep(time.Until(listedAt.Add(4500 * time.Millisecond)))
	rec.logf("entry-b starts")
	second, err := d.addEntry("entry-b")
	if err != nil {
		return false, err
	}
	if err := second.awaitReady(); err != nil {
		return false, err
	}
	sessions := st.chooseSessions()
	rec.logf("sessions that come back: %v", sessions)
	coming, end := context.WithTimeout(context.Background(), time.Until(listedAt.Add(9500*time.Millisecond)))
	defer end()
	var mu sync.Mutex
	turn := 0
	var returners sync.WaitGroup
	for i := range returnerCount {
		returners.Go(func() {
			for n := 0; coming.Err() == nil; n++ {
				mu.Lock()
				session := sessions[turn%len(sessions)]
				turn++
				mu.Unlock()
				d.prompt(coming, second, fmt.Sprintf("b-%d-%d", i, n), session)
			}
		})
	}
	returners.Wait()
	st.mu.Lock()
	defer st.mu.Unlock()
	total, lost := 0, 0
	for _, e := range st.events {
		total++
		lost += boolInt(e.dropped)
	}
	rec.logf("events of the store: %d, never arrived: %d; parts freed: %d; requests served: %d", total, lost, st.frees, len(rec.runs))
	return len(st.violated) > 0, nil
}

// chooseSessions returns in which order sessions come back: those of parts whose events were lost,
// then one of the others, and so on.
func (s *store) chooseSessions() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var held, out []string
	for _, e := range s.events {
		if len(held) < others && e.sign == "+" && !e.dropped && e.part.tokens == sessionTokens {
			held = append(held, e.part.id.id)
		}
	}
	for _, h := range held {
		for _, p := range s.silenced {
			out = append(out, p.id.id)
		}
		out = append(out, h)
	}
	return out
}

const systemPart = "5e5e"

// documents returns the IDs of the small parts that follow a new session's part.
func documents(session string) []string {
	var out []string
	for n := range documentCount {
		out = append(out, fmt.Sprintf("d%s%d", session, n))
	}
	return out
}

// prompt sends a prompt of a session, with the documents that follow it.
func (d *deployment) prompt(ctx context.Context, e *entryProcess, id, session string, parts ...string) {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+"/draft/x", strings.NewReader("{}"))
	if err != nil {
		return
	}
	req.Host = routeHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Model", modelName)
	req.Header.Set("Authorization", "Bearer "+customerKey)
	req.Header.Set(name("deadline"), "15000")
	req.Header.Set(name("tokenCount"), fmt.Sprintf("%d,%d", systemTokens+sessionTokens+len(parts)*documentTokens+ownTokens, eventCount))
	prefix := []string{fmt.Sprintf("%s:%d", systemPart, systemTokens), fmt.Sprintf("%s:%d", session, sessionTokens)}
	for _, p := range parts {
		prefix = append(prefix, fmt.Sprintf("%s:%d", p, documentTokens))
	}
	req.Header.Set(name("prefix"), strings.Join(append(prefix, fmt.Sprintf("0f%x:%d", id, ownTokens)), ","))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	d.rec.logf("%s answers %s: %d, %d bytes", e.id, id, resp.StatusCode, len(body))
	if resp.StatusCode != http.StatusOK {
		time.Sleep(100 * time.Millisecond)
	}
}

func storeConfig(storeAddress string) map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "draft", "host": routeHost, name("prefixField"): "/draft/", "kind": "stream", "service": engineService, "timeoutMs": 15000, "latencyTargetMs": 1000,
			"gapTargetMs": 500, "maxAttempts": 2, "priority": 1, "sticky": true, "resumable": true,
		}},
		"services": []any{
			map[string]any{"name": engineService, "healthPath": "/health", "maxConns": 370, "engine": map[string]any{
				"slots": 64, name("kvCapacity"): engineTokens, name("bytesField"): 18432, "linkMbps": 550_000, "managed": true, "models": []any{map[string]any{"name": modelName}},
			}},
			map[string]any{"name": "vault", "kvStoreAddr": storeAddress, "zone": zoneName, name("kvCapacity"): 1_071_442, "managed": true, "linkMbps": linkMbps, "first_ms": 6.0},
		},
		"tenants": []any{map[string]any{"name": "one", "keys": []string{customerKey}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
