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

func sendFirstPrompt(ctx context.Context, d *local.Deployment) error {
	a, err := callers.Complete(ctx, callers.New(d, 0, roadways, nil), "Permit history of GJ-06-AX-4411: "+history(200), answerTokens, nil)
	if err != nil {
		return err
	}
	fmt.Printf("first prompt: %d tokens from %s, first token after %d ms, answer whole\n", answerTokens, a.Endpoint, a.TimeToFirstToken.Milliseconds())
	return nil
}

// maxReturns is the maximum number of times that the conversation is resumed until it
// is routed to an endpoint that has its context.
const maxReturns = 8

// resumeConversation compares a new conversation with a resumed one, both while an
// engine holds its context and after all engines have evicted it.
func resumeConversation(ctx context.Context, d *local.Deployment) error {
	c := callers.New(d, 0, haulage, nil)
	text := "Dispute of GJ-12-BT-9034: " + history(600)
	ask := func(what string) (a callers.Answer, err error) {
		a, err = callers.Complete(ctx, c, text, answerTokens, nil)
		if err == nil {
			fmt.Printf("conversation, %s: %s, %.0f%% of the prompt cached, first token after %d ms\n", what, a.Endpoint, 100*a.CachedShare(), a.TimeToFirstToken.Milliseconds())
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
	for _, e := range d.EngineAddresses {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e+"/v1/evict", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return fmt.Errorf("evict caches: %w", err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode/100 != 2 {
			return fmt.Errorf("evict caches: status %d", resp.StatusCode)
		}
	}
	return nil
}

// silenceConnections makes the connections between agents and engines silently drop all
// data while an answer is being streamed.
func silenceConnections(ctx context.Context, d *local.Deployment) error {
	const tokens = 200
	silenced := 0
	start := time.Now()
	_, err := callers.Complete(ctx, callers.New(d, 1, roadways, nil), "Toll booth eligibility of GJ-01-CC-7120", tokens, func(callers.Answer) {
		for _, f := range d.Forwarders {
			silenced += f.Blackhole(true, true)
		}
	})
	if err != nil {
		return err
	}
	silent := 0
	for _, f := range d.Forwarders {
		silent += f.Blackholed()
	}
	fmt.Printf("silent connection: %d connections between agents and engines went silent, answer whole after %d ms; %d of them are idle and are found out at their next use\n", silenced, time.Since(start).Milliseconds(), silent)
	return nil
}

// stopAgent sends SIGTERM to an agent under load and checks that no answer is lost.
func stopAgent(ctx context.Context, d *local.Deployment) error {
	const (
		requests    = 60
		tokens      = 150
		stopAt      = requests / 3 // number of started answers after which the agent is stopped
		exitTimeout = 20 * time.Second
	)
	leaving := d.Processes["agent-3"]
	var (
		mu           sync.Mutex
		started      int
		errs         []error
		requestGroup sync.WaitGroup
	)
	onFirstToken := func(callers.Answer) {
		mu.Lock()
		defer mu.Unlock()
		if started++; started == stopAt {
			leaving.Signal(syscall.SIGTERM)
		}
	}
	for i := range requests {
		requestGroup.Go(func() {
			_, err := callers.Complete(ctx, callers.New(d, i%len(d.CallerAddresses), roadways, nil), fmt.Sprintf("Permit %d", i), tokens, onFirstToken)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
		time.Sleep(10 * time.Millisecond) // 100 requests per second
	}
	requestGroup.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if !leaving.Wait(exitTimeout) || leaving.ExitCode() != 0 {
		return fmt.Errorf("agent-3 did not exit with code 0 after SIGTERM:\n%s", d.Log("agent-3"))
	}
	fmt.Printf("leaving agent: agent-3 got SIGTERM after %d of %d answers had begun, none was cut or refused, and it ended by itself\n", stopAt, requests)
	return nil
}
