package capacity

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaweir/galenaweir/bench/local"
)

// The runs with separate processes: one entry, and agents with an engine each.
const (
	streamAgents   = 4
	streamCustomer = "capacity"
	promptBytes    = 8192
	streamTokens   = 2000 // long enough that no stream ends during a run
	rampTime       = 3 * time.Second
	streamTime     = 4 * time.Second
	decodeInterval = "32ms" // targetBetweenTokens
	manySlots      = "4096"
	documentSlots  = 4096 // so that the agent's gate holds nothing back
	clockTicks     = 100  // of /proc, per second
	kibibyte       = 1024
)

// usage is what a process has used so far.
type usage struct {
	cpu time.Duration
	rss float64 // MiB
}

func usageOf(pid int) (u usage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// Fields after the name in parentheses; user and system time are the 12th
	// and 13th of them.
	const utime, stime = 11, 12
	_, rest, _ := strings.Cut(string(stat), ") ")
	f := strings.Fields(rest)
	for _, i := range []int{utime, stime} {
		n, err := strconv.Atoi(f[i])
		if err != nil {
			return u, fmt.Errorf("parse the CPU time of process %d: %w", pid, err)
		}
		u.cpu += time.Duration(n) * time.Second / clockTicks
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	_, rest, _ = strings.Cut(string(status), "VmRSS:")
	n, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	if err != nil {
		return u, fmt.Errorf("parse the memory of process %d: %w", pid, err)
	}
	u.rss = n * kibibyte / mebibyte
	return u, nil
}

// usages returns the entry's and the sum of the agents'.
func usages(d *local.Deployment) (entry, agents usage, err error) {
	if entry, err = usageOf(d.Processes["entry-0"].PID()); err != nil {
		return entry, agents, err
	}
	for i := range streamAgents {
		u, err := usageOf(d.Processes[fmt.Sprintf("agent-%d", i)].PID())
		if err != nil {
			return entry, agents, err
		}
		agents.cpu += u.cpu
		agents.rss += u.rss
	}
	return entry, agents, nil
}

// callers keeps streams open until it is stopped.
type callers struct {
	events atomic.Int64 // with a token
	failed atomic.Int64
	ended  sync.WaitGroup
	cancel context.CancelFunc
}

// startCallers opens the streams evenly over the time.
func startCallers(d *local.Deployment, n int, ramp time.Duration) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{cancel: cancel}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}
	for i := range n {
		c.ended.Go(func() {
			select {
			case <-time.After(ramp * time.Duration(i) / time.Duration(n)):
			case <-ctx.Done():
				return
			}
			if err := c.stream(ctx, client, d.CallerAddress[0], i); err != nil && ctx.Err() == nil {
				c.failed.Add(1)
			}
		})
	}
	return c
}

func (c *callers) stop() {
	c.cancel()
	c.ended.Wait()
}

func (c *callers) stream(ctx context.Context, client *http.Client, address string, i int) error {
	text := fmt.Sprintf("case %d ", i)
	text += strings.Repeat("x", promptBytes-len(text))
	body, err := json.Marshal(map[string]any{"model": local.Model, "stream": true, "max_completion_tokens": streamTokens,
		"messages": []map[string]string{{"role": "user", "content": text}}})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+local.Secret(streamCustomer))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Galenaweir-Deadline-Ms", "600000")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	for s := bufio.NewScanner(resp.Body); s.Scan(); {
		if strings.HasPrefix(s.Text(), "data: ") {
			c.events.Add(1)
		}
	}
	return nil
}

// streamRun holds the figures of one number of streams: of the entry, and of all
// agents together. CPU is of a core, memory in MiB.
type streamRun struct {
	entryCPU, agentCPU float64
	entryRSS, agentRSS float64
	tokens             float64 // per second, as received
}

func measureStreams(ctx context.Context, bin string, n int, slots string) (r streamRun, err error) {
	d, err := local.Start(ctx, local.Options{Bin: bin, Agents: streamAgents, Entries: 1, Customers: []string{streamCustomer}, Slots: documentSlots,
		EngineArgs: []string{"--slots", slots, "--decode", decodeInterval, "--prefill", "10000000"}})
	if err != nil {
		return r, err
	}
	defer d.Stop()
	c := startCallers(d, n, rampTime)
	defer c.stop()
	time.Sleep(rampTime + time.Second)
	entry, agents, err := usages(d)
	if err != nil {
		return r, err
	}
	events := c.events.Load()
	time.Sleep(streamTime)
	entry2, agents2, err := usages(d)
	if err != nil {
		return r, err
	}
	if f := c.failed.Load(); f > 0 {
		return r, fmt.Errorf("%d of %d streams failed\n%.2000s", f, n, d.Log("entry-0"))
	}
	s := streamTime.Seconds()
	return streamRun{
		entryCPU: (entry2.cpu - entry.cpu).Seconds() / s, agentCPU: (agents2.cpu - agents.cpu).Seconds() / s,
		entryRSS: entry2.rss, agentRSS: agents2.rss, tokens: float64(c.events.Load()-events) / s,
	}, nil
}

func streamSlopes(ctx context.Context, bin string) ([]Slope, error) {
	slope := func(id, text, unit, x string, target float64) *Slope {
		return &Slope{ID: id, Text: text, Unit: unit, XUnit: x, How: howProcess, Target: target}
	}
	const perEntry, perAgent = "streams of an entry", "running attempts of an agent"
	entryMemory := slope("entry_memory", "resident memory of an entry, prompts of 8 KiB", "MiB", perEntry, streamsPerEntry)
	entryCPU := slope("entry_cpu", "CPU of an entry", "cores", "tokens/s of an entry", targetTokensPerSec/targetEntries)
	pace := slope("stream_pace", "tokens/s received for each stream; the engines give 31.25", "tokens/s", perEntry, streamsPerEntry)
	agentMemory := slope("agent_memory_running", "resident memory of an agent", "MiB", perAgent, streamsPerAgent)
	agentCPU := slope("agent_cpu", "CPU of an agent", "cores", "tokens/s of an agent", targetTokensPerSec/targetAgents)
	for _, n := range []int{100, 500, 2000} {
		r, err := measureStreams(ctx, bin, n, manySlots)
		if err != nil {
			return nil, fmt.Errorf("%d streams: %w", n, err)
		}
		x, each := float64(n), float64(n)/streamAgents
		entryMemory.Points = append(entryMemory.Points, Point{x, r.entryRSS})
		entryCPU.Points = append(entryCPU.Points, Point{r.tokens, r.entryCPU})
		pace.Points = append(pace.Points, Point{x, r.tokens / x})
		agentMemory.Points = append(agentMemory.Points, Point{each, r.agentRSS / streamAgents})
		agentCPU.Points = append(agentCPU.Points, Point{r.tokens / streamAgents, r.agentCPU / streamAgents})
	}
	queued := slope("agent_memory_queued", "resident memory of an agent, one slot in its engine", "MiB", "queued attempts of an agent", streamsPerAgent)
	for _, n := range []int{100, 500, 2000} {
		r, err := measureStreams(ctx, bin, n, "1")
		if err != nil {
			return nil, fmt.Errorf("%d queued attempts: %w", n, err)
		}
		queued.Points = append(queued.Points, Point{float64(n) / streamAgents, r.agentRSS / streamAgents})
	}
	return []Slope{entryMemory.fit(), entryCPU.fit(), pace.fit(), agentMemory.fit(), agentCPU.fit(), queued.fit()}, nil
}
