package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/galenaweir/galenaweir/bench/callers"
	"github.com/galenaweir/galenaweir/bench/local"
)

const answerTokens = 40

func history(sentences int) string {
	return strings.Repeat("crossed checkpoint, levy paid. ", sentences)
}

func firstPrompt(ctx context.Context, d *local.Deployment) error {
	a, err := callers.Ask(ctx, callers.New(d, 0, roadways, nil), "Permit history of GJ-06-AX-4411: "+history(200), answerTokens, nil)
	if err != nil {
		return err
	}
	fmt.Printf("first prompt: %d tokens from %s, first token after %d ms, answer whole\n", answerTokens, a.Endpoint, a.First.Milliseconds())
	return nil
}

// maxReturns bounds how often the conversation returns until it is routed to an
// endpoint that has its context.
const maxReturns = 8

// returningConversation compares a cold conversation with its return, while its
// context is in an engine and after it was evicted from all engines.
func returningConversation(ctx context.Context, d *local.Deployment) error {
	c := callers.New(d, 0, haulage, nil)
	text := "Dispute of GJ-12-BT-9034: " + history(600)
	ask := func(what string) (a callers.Answer, err error) {
		a, err = callers.Ask(ctx, c, text, answerTokens, nil)
		if err == nil {
			fmt.Printf("conversation, %s: %s, %.0f%% of the prompt cached, first token after %d ms\n", what, a.Endpoint, 100*a.CachedShare(), a.First.Milliseconds())
		}
		return a, err
	}
	if _, err := ask("cold"); err != nil {
		return err
	}
	for range maxReturns {
		a, err := ask("returning")
		if err != nil {
			return err
		}
		if a.CachedTokens > 0 {
			break
		}
	}
	if err := evict(ctx, d); err != nil {
		return err
	}
	_, err := ask("returning after its eviction")
	return err
}

// evict empties the prefix caches of all engines.
func evict(ctx context.Context, d *local.Deployment) error {
	for _, e := range d.Engines {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e+"/v1/evict", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return fmt.Errorf("evict: %w", err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode/100 != 2 {
			return fmt.Errorf("evict: status %d", resp.StatusCode)
		}
	}
	return nil
}

// silentConnection makes the connections between agents and engines lose their
// state while an answer runs.
func silentConnection(ctx context.Context, d *local.Deployment) error {
	const tokens = 200
	silenced := 0
	begun := time.Now()
	_, err := callers.Ask(ctx, callers.New(d, 1, roadways, nil), "Toll booth eligibility of GJ-01-CC-7120", tokens, func(callers.Answer) {
		for _, f := range d.ToEngine {
			silenced += f.Blackhole(true, true)
		}
	})
	if err != nil {
		return err
	}
	open := 0
	for _, f := range d.ToEngine {
		open += f.BlackholedCount()
	}
	fmt.Printf("silent connection: %d connections between agents and engines went silent, answer whole after %d ms; %d of them are idle and are found out at their next use\n", silenced, time.Since(begun).Milliseconds(), open)
	return nil
}

// leavingAgent stops an agent under load with SIGTERM.
func leavingAgent(ctx context.Context, d *local.Deployment) error {
	const (
		requests = 60
		tokens   = 150
		stopAt   = requests / 3 // when so many answers have begun
		patience = 20 * time.Second
	)
	leaving := d.Processes["agent-3"]
	var (
		mu    sync.Mutex
		begun int
		errs  []error
		all   sync.WaitGroup
	)
	started := func(callers.Answer) {
		mu.Lock()
		defer mu.Unlock()
		if begun++; begun == stopAt {
			leaving.Signal(syscall.SIGTERM)
		}
	}
	for i := range requests {
		all.Go(func() {
			_, err := callers.Ask(ctx, callers.New(d, i%len(d.CallerAddress), roadways, nil), fmt.Sprintf("Permit %d", i), tokens, started)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
		time.Sleep(10 * time.Millisecond) // 100 requests a second
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if !leaving.Wait(patience) || leaving.ExitCode() != 0 {
		return fmt.Errorf("agent-3 did not end by itself:\n%s", d.Log("agent-3"))
	}
	fmt.Printf("leaving agent: agent-3 got SIGTERM after %d of %d answers had begun, none was cut or refused, and it ended by itself\n", stopAt, requests)
	return nil
}
