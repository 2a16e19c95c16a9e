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

// Setup of the runs with separate processes: one entry, and agents with one engine each.
const (
	streamAgents        = 4
	streamCustomer      = "capacity"
	promptBytes         = 8192
	streamTokens        = 2000 // long enough that no stream ends during a run
	rampDuration        = 3 * time.Second
	streamMeasureTime   = 4 * time.Second
	decodeInterval      = "32ms" // equals targetTokenIntervalSec
	ampleSlots          = "4096" // high enough that the engine queues nothing
	configuredSlots     = 4096   // high enough that the agent's admission control queues nothing
	clockTicksPerSecond = 100    // USER_HZ, the unit of CPU times in /proc
	kibibyte            = 1024
)

// usage is the resource usage of a process.
type usage struct {
	cpu    time.Duration
	rssMiB float64
}

func readUsage(pid int) (u usage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// After the command name in parentheses, user and system time are the 12th and
	// 13th fields.
	const utime, stime = 11, 12
	_, rest, _ := strings.Cut(string(stat), ") ")
	f := strings.Fields(rest)
	for _, i := range []int{utime, stime} {
		n, err := strconv.Atoi(f[i])
		if err != nil {
			return u, fmt.Errorf("parse the CPU time of process %d: %w", pid, err)
		}
		u.cpu += time.Duration(n) * time.Second / clockTicksPerSecond
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
	u.rssMiB = n * kibibyte / mebibyte
	return u, nil
}

// readUsages returns the usage of the entry, and of all agents together.
func readUsages(d *local.Deployment) (entry, agents usage, err error) {
	if entry, err = readUsage(d.Processes["entry-0"].PID()); err != nil {
		return entry, agents, err
	}
	for i := range streamAgents {
		u, err := readUsage(d.Processes[fmt.Sprintf("agent-%d", i)].PID())
		if err != nil {
			return entry, agents, err
		}
		agents.cpu += u.cpu
		agents.rssMiB += u.rssMiB
	}
	return entry, agents, nil
}

// streamLoad is a set of open streams that run until stop is called.
type streamLoad struct {
	tokenEvents atomic.Int64 // number of received events
	failed      atomic.Int64
	workers     sync.WaitGroup
	cancel      context.CancelFunc
}

// startStreamLoad opens n streams, evenly distributed over the ramp time.
func startStreamLoad(d *local.Deployment, n int, ramp time.Duration) *streamLoad {
	ctx, cancel := context.WithCancel(context.Background())
	c := &streamLoad{cancel: cancel}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}
	for i := range n {
		c.workers.Go(func() {
			select {
			case <-time.After(ramp * time.Duration(i) / time.Duration(n)):
			case <-ctx.Done():
				return
			}
			if err := c.stream(ctx, client, d.CallerAddresses[0], i); err != nil && ctx.Err() == nil {
				c.failed.Add(1)
			}
		})
	}
	return c
}

func (c *streamLoad) stop() {
	c.cancel()
	c.workers.Wait()
}

func (c *streamLoad) stream(ctx context.Context, client *http.Client, address string, i int) error {
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
	req.Header.Set("Authorization", "Bearer "+local.APIKey(streamCustomer))
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
			c.tokenEvents.Add(1)
		}
	}
	return nil
}

// streamFigures holds the figures measured with one number of streams, for the entry
// and for all agents together. CPU use is in cores, memory in MiB.
type streamFigures struct {
	entryCPU, agentCPU float64
	entryMiB, agentMiB float64
	tokensPerSec       float64 // received by the callers
}

func measureStreams(ctx context.Context, bin string, n int, slots string) (r streamFigures, err error) {
	d, err := local.Start(ctx, local.Options{Bin: bin, Agents: streamAgents, Entries: 1, Customers: []string{streamCustomer}, Slots: configuredSlots,
		EngineArgs: []string{"--slots", slots, "--decode", decodeInterval, "--prefill", "10000000"}})
	if err != nil {
		return r, err
	}
	defer d.Stop()
	c := startStreamLoad(d, n, rampDuration)
	defer c.stop()
	time.Sleep(rampDuration + time.Second)
	entry, agents, err := readUsages(d)
	if err != nil {
		return r, err
	}
	events := c.tokenEvents.Load()
	time.Sleep(streamMeasureTime)
	entryAfter, agentsAfter, err := readUsages(d)
	if err != nil {
		return r, err
	}
	if f := c.failed.Load(); f > 0 {
		return r, fmt.Errorf("%d of %d streams failed\n%.2000s", f, n, d.Log("entry-0"))
	}
	s := streamMeasureTime.Seconds()
	return streamFigures{
		entryCPU: (entryAfter.cpu - entry.cpu).Seconds() / s, agentCPU: (agentsAfter.cpu - agents.cpu).Seconds() / s,
		entryMiB: entryAfter.rssMiB, agentMiB: agentsAfter.rssMiB, tokensPerSec: float64(c.tokenEvents.Load()-events) / s,
	}, nil
}

func streamSlopes(ctx context.Context, bin string) ([]Slope, error) {
	slope := func(id, text, unit, x string, target float64) *Slope {
		return &Slope{ID: id, Description: text, Unit: unit, XUnit: x, Method: methodProcess, Target: target}
	}
	const perEntry, perAgent = "streams of an entry", "running attempts of an agent"
	entryMemory := slope("entry_memory", "resident memory of an entry, prompts of 8 KiB", "MiB", perEntry, streamsPerEntry)
	entryCPU := slope("entry_cpu", "CPU of an entry", "cores", "tokens/s of an entry", targetTokensPerSec/targetEntries)
	pace := slope("stream_pace", "tokens/s received for each stream; the engines give 31.25", "tokens/s", perEntry, streamsPerEntry)
	agentMemory := slope("agent_memory_running", "resident memory of an agent", "MiB", perAgent, streamsPerAgent)
	agentCPU := slope("agent_cpu", "CPU of an agent", "cores", "tokens/s of an agent", targetTokensPerSec/targetAgents)
	for _, n := range []int{100, 500, 2000} {
		r, err := measureStreams(ctx, bin, n, ampleSlots)
		if err != nil {
			return nil, fmt.Errorf("%d streams: %w", n, err)
		}
		x, attemptsPerAgent := float64(n), float64(n)/streamAgents
		entryMemory.Points = append(entryMemory.Points, Point{x, r.entryMiB})
		entryCPU.Points = append(entryCPU.Points, Point{r.tokensPerSec, r.entryCPU})
		pace.Points = append(pace.Points, Point{x, r.tokensPerSec / x})
		agentMemory.Points = append(agentMemory.Points, Point{attemptsPerAgent, r.agentMiB / streamAgents})
		agentCPU.Points = append(agentCPU.Points, Point{r.tokensPerSec / streamAgents, r.agentCPU / streamAgents})
	}
	queued := slope("agent_memory_queued", "resident memory of an agent, one slot in its engine", "MiB", "queued attempts of an agent", streamsPerAgent)
	for _, n := range []int{100, 500, 2000} {
		r, err := measureStreams(ctx, bin, n, "1")
		if err != nil {
			return nil, fmt.Errorf("%d queued attempts: %w", n, err)
		}
		queued.Points = append(queued.Points, Point{float64(n) / streamAgents, r.agentMiB / streamAgents})
	}
	return []Slope{entryMemory.fit(), entryCPU.fit(), pace.fit(), agentMemory.fit(), agentCPU.fit(), queued.fit()}, nil
}
