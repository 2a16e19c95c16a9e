// Package secondattempts replays recorded times of forwarded requests, in order to compare the times
// at which a second attempt may be sent. See docs/decisions/0020-second-attempts.md.
package secondattempts

import (
	"container/heap"
	"encoding/csv"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/core/retry"
)

const (
	budgetWindow = 10 * time.Second
	retryShare   = 0.1 // budgetRatio 0.2, of which an entry uses half
	// neighbours is the number of requests before and after one from which the time of its second
	// attempt is drawn: when an endpoint or the host is slow, those are slow too.
	neighbours = 20
	deadline   = 4 * time.Second
	target     = time.Second
)

// Sample is one recorded request that was sent once.
type Sample struct {
	At, Expected, First time.Duration
	Route               string
	PrefillTokens       int
}

// Read reads samples in the order of their arrival from CSV with a header.
func Read(r io.Reader) ([]Sample, error) {
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, fmt.Errorf("read recorded times: %w", err)
	}
	var out []Sample
	for i, row := range rows[1:] {
		var ms [3]time.Duration
		for k, text := range []string{row[0], row[2], row[3]} {
			v, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return nil, fmt.Errorf("line %d: %w", i+2, err)
			}
			ms[k] = time.Duration(v * float64(time.Millisecond))
		}
		tokens, err := strconv.Atoi(row[4])
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+2, err)
		}
		out = append(out, Sample{ms[0], ms[1], ms[2], row[1], tokens})
	}
	return out, nil
}

// Way is a way to handle slow responses.
type Way struct {
	Name     string
	Fixed    time.Duration // delay, 0 for the percentile
	Route    bool          // the percentile of the time itself instead of that of the lateness
	None     bool
	Move     bool // the first attempt is ended when the second one begins
	KeepBoth bool // both attempts run to their first event
}

// Result holds the times to the first event of one way, sorted, and its extra work.
type Result struct {
	Times         []time.Duration
	Sent, Won     int
	ExtraTokens   int
	ExtraRunning  time.Duration // time for which a request ran at two endpoints
	TotalRunning  time.Duration // time for which the first attempts ran without second ones
	PrefillTokens int
}

// Quantile returns a quantile of the times.
func (r *Result) Quantile(q float64) time.Duration {
	return r.Times[min(int(q*float64(len(r.Times))), len(r.Times)-1)]
}

type event struct {
	at  time.Duration
	run func(now time.Duration)
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(v any)        { *q = append(*q, v.(event)) }
func (q *queue) Pop() any {
	old := *q
	v := old[len(old)-1]
	*q = old[:len(old)-1]
	return v
}

// replay is the state of one replay.
type replay struct {
	way     Way
	samples []Sample
	rng     *rand.Rand
	seconds *forward.SecondAttempts
	retries *retry.Budget
	events  queue
	result  Result
}

// Replay replays the samples of one route in one way. All ways obey the same bounds.
func Replay(samples []Sample, w Way, share float64, seed uint64) Result {
	r := &replay{way: w, samples: samples, rng: rand.New(rand.NewPCG(seed, 0)), seconds: forward.NewSecondAttempts(share, budgetWindow), retries: retry.NewBudget(retryShare, budgetWindow)}
	for i := range samples {
		heap.Push(&r.events, event{samples[i].At, func(now time.Duration) { r.arrive(i, now) }})
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		e.run(e.at)
	}
	slices.Sort(r.result.Times)
	return r.result
}

func (r *replay) arrive(i int, now time.Duration) {
	s := &r.samples[i]
	r.seconds.CountRequest("s", now)
	r.retries.CountRequest(now)
	r.result.TotalRunning += s.First
	r.result.PrefillTokens += s.PrefillTokens
	expected := s.Expected
	if r.way.Route {
		expected = 0
	}
	route := &forward.Route{Name: s.Route, Kind: forward.Safe, MaxAttempts: 2, LatencyTarget: target}
	delay, _ := r.seconds.Begin(route, expected, now)
	if r.way.Fixed > 0 {
		delay = r.way.Fixed
	}
	if r.way.None || delay == 0 || s.First <= delay {
		r.finish(s.First)
		r.learn(s, s.First, expected)
		return
	}
	heap.Push(&r.events, event{now + delay, func(now time.Duration) { r.overdue(i, route, delay, expected, now) }})
}

// learn adds the sample of an answer when it arrives.
func (r *replay) learn(s *Sample, first, expected time.Duration) {
	heap.Push(&r.events, event{s.At + first, func(time.Duration) { r.seconds.RecordAnswer(s.Route, first-expected) }})
}

func (r *replay) overdue(i int, route *forward.Route, delay, expected, now time.Duration) {
	s := &r.samples[i]
	o := forward.OverdueAttempt{Route: route, Service: "s", Sent: 1, Left: deadline - delay, Total: deadline}
	if r.seconds.Overdue(o, r.retries, now) != "" {
		r.finish(s.First)
		r.learn(s, s.First, expected)
		return
	}
	r.seconds.Spend("s", r.retries, now)
	other := &r.samples[r.neighbour(i)]
	second := delay + max(s.Expected+other.First-other.Expected, time.Millisecond)
	r.result.Sent++
	r.result.ExtraTokens += s.PrefillTokens
	end := min(s.First, second)
	switch {
	case r.way.Move:
		end = second
	case r.way.KeepBoth:
		r.result.ExtraRunning += second - delay
	default:
		r.result.ExtraRunning += end - delay
	}
	if second < s.First {
		r.result.Won++
		at := s.At + end
		heap.Push(&r.events, event{at, func(time.Duration) { r.seconds.RecordUnanswered(s.Route, end-expected) }})
	} else {
		r.learn(s, s.First, expected)
	}
	r.finish(end)
}

func (r *replay) neighbour(i int) int {
	first, last := max(i-neighbours, 0), min(i+neighbours, len(r.samples)-1)
	j := first + r.rng.IntN(last-first)
	if j >= i {
		j++
	}
	return j
}

func (r *replay) finish(t time.Duration) { r.result.Times = append(r.result.Times, t) }
