// Command load opens many streams at once through one entry and four agents,
// checks each answer to the byte, and prints what the system adds to a first
// token over the engines called directly, and what it uses for each stream.
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
	loadLimit     = 2 * time.Minute
	decodeTime    = "100ms" // longer answers than the ramp, at a modest CPU load
	promptRepeats = 20      // of a sentence; about 300 bytes
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
	ctx, cancel := context.WithTimeout(context.Background(), loadLimit)
	defer cancel()
	slots := o.Streams // the streams must not wait for each other
	d, err := local.Start(ctx, local.Options{Bin: o.Bin, Agents: agents, Entries: 1, Customers: []string{customer}, Slots: slots,
		EngineArgs: []string{"--slots", fmt.Sprint(slots), "--decode", decodeTime, "--prefill", "1000000000"}})
	if err != nil {
		return err
	}
	defer d.Stop()
	direct := newResult()
	direct.open(ctx, o, directStream(d, o.Tokens))
	if err := direct.err("engines called directly", o); err != nil {
		return err
	}
	before, err := usage(d)
	if err != nil {
		return err
	}
	through := newResult()
	through.open(ctx, o, systemStream(d, o.Tokens))
	if err := through.err("through the system", o); err != nil {
		return fmt.Errorf("%w\n%s", err, tail(d.Log("entry-0")))
	}
	after, err := usage(d)
	if err != nil {
		return err
	}
	report(o, direct, through, before, after)
	return nil
}

func tail(log string) string {
	const lines = 5
	all := strings.Split(strings.TrimSpace(log), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// result is what the callers of one run saw.
type result struct {
	mu     sync.Mutex
	first  *hdrhistogram.Histogram // microseconds
	failed []error
	open0  atomic.Int64
	peak   int64
}

func newResult() *result {
	const highest, digits = 60_000_000, 3
	return &result{first: hdrhistogram.New(1, highest, digits)}
}

// stream runs stream i to its end; started is called at its first token.
type stream func(ctx context.Context, i int, started func()) (time.Duration, error)

// open opens the streams evenly over the ramp and waits for all of them.
func (r *result) open(ctx context.Context, o options, s stream) {
	var all sync.WaitGroup
	tick := time.NewTicker(o.Ramp / time.Duration(o.Streams))
	defer tick.Stop()
	for i := range o.Streams {
		<-tick.C
		all.Go(func() {
			first, err := s(ctx, i, r.started)
			r.open0.Add(-1)
			r.mu.Lock()
			defer r.mu.Unlock()
			if err != nil {
				r.failed = append(r.failed, fmt.Errorf("stream %d: %w", i, err))
				return
			}
			_ = r.first.RecordValue(first.Microseconds())
		})
	}
	all.Wait()
}

func (r *result) started() {
	n := r.open0.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peak = max(r.peak, n)
}

func (r *result) err(what string, o options) error {
	if len(r.failed) > 0 {
		return fmt.Errorf("%s: %d of %d streams failed, the first: %w", what, len(r.failed), o.Streams, r.failed[0])
	}
	if r.peak < int64(o.Streams) {
		return fmt.Errorf("%s: only %d of %d streams were open at once; use more tokens", what, r.peak, o.Streams)
	}
	return nil
}

// ms returns a quantile in milliseconds.
func (r *result) ms(q float64) float64 { return float64(r.first.ValueAtQuantile(q)) / 1000 }

func text(i int) string {
	return fmt.Sprintf("permit %06d: ", i) + strings.Repeat("crossed, paid. ", promptRepeats)
}

// directStream calls an engine as an agent does.
func directStream(d *local.Deployment, tokens int) stream {
	c := streaming.New()
	return func(ctx context.Context, i int, started func()) (first time.Duration, err error) {
		prompt := prefix.Render([]prefix.Message{{Role: "user", Content: text(i)}})
		begun := time.Now()
		var b strings.Builder
		err = c.Generate(ctx, d.Engines[i%len(d.Engines)], &protocol.Request{
			AttemptID: fmt.Sprintf("direct-%d", i), Model: local.Model, Prompt: prompt, MaxTokens: tokens, CacheSalt: "direct",
		}, func(e protocol.Event) error {
			b.WriteString(e.Text)
			if first == 0 && e.Kind == protocol.EventText {
				first = time.Since(begun)
				started()
			}
			return nil
		})
		if err == nil && b.String() != engine.Output(prompt, tokens) {
			err = errors.New("the answer is not whole")
		}
		return first, err
	}
}

func systemStream(d *local.Deployment, tokens int) stream {
	c := callers.New(d, 0, customer, &http.Client{Transport: &http.Transport{}})
	return func(ctx context.Context, i int, started func()) (time.Duration, error) {
		a, err := callers.Ask(ctx, c, text(i), tokens, func(callers.Answer) { started() })
		return a.First, err
	}
}

// usage returns what the entry and the agents together have used.
func usage(d *local.Deployment) (map[string]local.Usage, error) {
	out := map[string]local.Usage{}
	for name := range d.RPC {
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

func report(o options, direct, through *result, before, after map[string]local.Usage) {
	fmt.Printf("%d streams of %d tokens at once through one entry and %d agents: none lost, none crossed\n", o.Streams, o.Tokens, agents)
	for _, q := range []float64{50, 99} {
		fmt.Printf("first token p%.0f: engine %.1f ms, system %.1f ms, added %.1f ms\n", q, direct.ms(q), through.ms(q), through.ms(q)-direct.ms(q))
	}
	for _, role := range []string{"entry", "agent"} {
		b, a := before[role], after[role]
		cpu := (a.CPU - b.CPU) / time.Duration(o.Streams)
		memory := (a.PeakBytes - b.MemoryBytes) / int64(o.Streams)
		fmt.Printf("%s: %d µs CPU time and %.1f KiB memory for each stream (%d µs a token)\n", role, cpu.Microseconds(), float64(memory)/1024, cpu.Microseconds()/int64(o.Tokens))
	}
}
