// Command load opens many concurrent streams through one entry and four agents and
// verifies each answer byte for byte. It prints the time to first token compared with
// direct calls of the engines, and the CPU time and memory per stream.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jessevdk/go-flags"

	"github.com/galenaweir/galenaweir/bench/callers"
	"github.com/galenaweir/galenaweir/bench/local"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/protocol"
	"github.com/galenaweir/galenaweir/protocol/streaming"
	"github.com/galenaweir/galenaweir/standin/engine"
)

type options struct {
	Bin     string        `long:"bin" default:"bin" description:"folder of the programs"`
	Streams int           `long:"streams" default:"2000" description:"streams open at once"`
	Tokens  int           `long:"tokens" default:"60" description:"tokens of each answer"`
	Ramp    time.Duration `long:"ramp" default:"2s" description:"time over which the streams are opened"`
}

const (
	agents        = 4
	customer      = "vadodara-roadways"
	runTimeout    = 2 * time.Minute
	decodeTime    = "100ms" // makes answers outlast the ramp at a moderate CPU load
	promptRepeats = 20      // repetitions of a sentence, about 300 bytes
)

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "load failed:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	slots := o.Streams // enough that no stream is queued
	d, err := local.Start(ctx, local.Options{Bin: o.Bin, Agents: agents, Entries: 1, Customers: []string{customer}, Slots: slots,
		EngineArgs: []string{"--slots", fmt.Sprint(slots), "--decode", decodeTime, "--prefill", "1000000000"}})
	if err != nil {
		return err
	}
	defer d.Stop()
	direct := newResult()
	direct.open(ctx, o, directStream(d, o.Tokens))
	if err := direct.check("engines called directly", o); err != nil {
		return err
	}
	before, err := usageByRole(d)
	if err != nil {
		return err
	}
	viaSystem := newResult()
	viaSystem.open(ctx, o, systemStream(d, o.Tokens))
	if err := viaSystem.check("through the system", o); err != nil {
		return fmt.Errorf("%w\n%s", err, lastLines(d.Log("entry-0")))
	}
	after, err := usageByRole(d)
	if err != nil {
		return err
	}
	report(o, direct, viaSystem, before, after)
	return nil
}

func lastLines(log string) string {
	const lines = 5
	all := strings.Split(strings.TrimSpace(log), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// result collects what the callers of one run measured.
type result struct {
	mu         sync.Mutex
	ttft       *hdrhistogram.Histogram // microseconds
	failed     []error
	active     atomic.Int64
	peakActive int64
}

func newResult() *result {
	const highest, digits = 60_000_000, 3
	return &result{ttft: hdrhistogram.New(1, highest, digits)}
}

// streamFunc runs stream i to its end and returns its time to first token. It calls
// started at the first token.
type streamFunc func(ctx context.Context, i int, started func()) (time.Duration, error)

// open opens the streams, evenly distributed over the ramp time, and waits for all of
// them to end.
func (r *result) open(ctx context.Context, o options, s streamFunc) {
	var streams sync.WaitGroup
	tick := time.NewTicker(o.Ramp / time.Duration(o.Streams))
	defer tick.Stop()
	for i := range o.Streams {
		<-tick.C
		streams.Go(func() {
			first, err := s(ctx, i, r.started)
			r.active.Add(-1)
			r.mu.Lock()
			defer r.mu.Unlock()
			if err != nil {
				r.failed = append(r.failed, fmt.Errorf("stream %d: %w", i, err))
				return
			}
			_ = r.ttft.RecordValue(first.Microseconds())
		})
	}
	streams.Wait()
}

func (r *result) started() {
	n := r.active.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peakActive = max(r.peakActive, n)
}

func (r *result) check(what string, o options) error {
	if len(r.failed) > 0 {
		return fmt.Errorf("%s: %d of %d streams failed, the first with: %w", what, len(r.failed), o.Streams, r.failed[0])
	}
	if r.peakActive < int64(o.Streams) {
		return fmt.Errorf("%s: only %d of %d streams were open at once; use more tokens", what, r.peakActive, o.Streams)
	}
	return nil
}

// quantileMs returns a quantile of the time to first token, in milliseconds.
func (r *result) quantileMs(q float64) float64 { return float64(r.ttft.ValueAtQuantile(q)) / 1000 }

func promptText(i int) string {
	return fmt.Sprintf("permit %06d: ", i) + strings.Repeat("crossed, paid. ", promptRepeats)
}

// directStream returns a streamFunc that calls an engine directly, as an agent does.
func directStream(d *local.Deployment, tokens int) streamFunc {
	c := streaming.New()
	return func(ctx context.Context, i int, started func()) (first time.Duration, err error) {
		prompt := prefix.Render([]prefix.Message{{Role: "user", Content: promptText(i)}})
		start := time.Now()
		var b strings.Builder
		err = c.Generate(ctx, d.EngineAddresses[i%len(d.EngineAddresses)], &protocol.Request{
			AttemptID: fmt.Sprintf("direct-%d", i), Model: local.Model, Prompt: prompt, MaxTokens: tokens, CacheSalt: "direct",
		}, func(e protocol.Event) error {
			b.WriteString(e.Text)
			if first == 0 && e.Kind == protocol.EventText {
				first = time.Since(start)
				started()
			}
			return nil
		})
		if err == nil && b.String() != engine.Output(prompt, tokens) {
			err = errors.New("answer is incomplete or wrong")
		}
		return first, err
	}
}

func systemStream(d *local.Deployment, tokens int) streamFunc {
	c := callers.New(d, 0, customer, &http.Client{Transport: &http.Transport{}})
	return func(ctx context.Context, i int, started func()) (time.Duration, error) {
		a, err := callers.Complete(ctx, c, promptText(i), tokens, func(callers.Answer) { started() })
		return a.TimeToFirstToken, err
	}
}

// usageByRole returns the resource usage of the entry, and the sum of the agents' usages.
func usageByRole(d *local.Deployment) (map[string]local.Usage, error) {
	out := map[string]local.Usage{}
	for name := range d.RPCAddresses {
		u, err := d.Processes[name].Usage()
		if err != nil {
			return nil, err
		}
		role := strings.TrimRight(name, "-0123456789")
		sum := out[role]
		sum.CPU += u.CPU
		sum.MemoryBytes += u.MemoryBytes
		sum.PeakBytes += u.PeakBytes
		out[role] = sum
	}
	return out, nil
}

func report(o options, direct, viaSystem *result, before, after map[string]local.Usage) {
	fmt.Printf("%d streams of %d tokens at once through one entry and %d agents: none lost, none crossed\n", o.Streams, o.Tokens, agents)
	for _, q := range []float64{50, 99} {
		fmt.Printf("first token p%.0f: engine %.1f ms, system %.1f ms, added %.1f ms\n", q, direct.quantileMs(q), viaSystem.quantileMs(q), viaSystem.quantileMs(q)-direct.quantileMs(q))
	}
	for _, role := range []string{"entry", "agent"} {
		b, a := before[role], after[role]
		cpu := (a.CPU - b.CPU) / time.Duration(o.Streams)
		memory := (a.PeakBytes - b.MemoryBytes) / int64(o.Streams)
		fmt.Printf("%s: %d µs CPU time and %.1f KiB memory for each stream (%d µs a token)\n", role, cpu.Microseconds(), float64(memory)/1024, cpu.Microseconds()/int64(o.Tokens))
	}
}
