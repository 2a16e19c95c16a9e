package soak

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against accepting a payment that took effect twice, that was answered without
// an effect, or that was refused as not_run although it took effect.
func TestPaymentVerdict(t *testing.T) {
	for name, c := range map[string]struct {
		outcomes []string
		effects  int
		valid    bool
	}{
		"answered once":           {[]string{answered}, 1, true},
		"repeated":                {[]string{"unknown", answered, answered}, 1, true},
		"refused":                 {[]string{"not_run", "not_run"}, 0, true},
		"unknown and ran":         {[]string{"not_run", "unknown"}, 1, true},
		"unknown and didn't run":  {[]string{"unknown"}, 0, true},
		"twice":                   {[]string{"unknown", answered}, 2, false},
		"answered without effect": {[]string{answered}, 0, false},
		"answered, then lost":     {[]string{answered, "unknown"}, 0, false},
		"refused and ran":         {[]string{"not_run"}, 1, false},
		"refused last and ran":    {[]string{"unknown", "not_run"}, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.valid, paymentVerdict(c.outcomes, c.effects) == "")
		})
	}
}

// Guards against a plan that its seed doesn't reproduce, and against a graceful stop
// combined with another fault, which would hide or falsely report interrupted requests.
func TestPlan(t *testing.T) {
	const seeds, rounds = 50, 20
	drawn := map[FaultKind]bool{}
	for seed := range uint64(seeds) {
		plan := NewPlan(seed, rounds)
		require.Equal(t, plan, NewPlan(seed, rounds), "seed %d", seed)
		for _, x := range plan {
			require.NotEmpty(t, x.Faults, "seed %d", seed)
			for _, f := range x.Faults {
				drawn[f.Kind] = true
				require.False(t, f.Kind.gracefulStop() && len(x.Faults) > 1, "seed %d: %v", seed, x)
			}
		}
	}
	assert.Len(t, drawn, len(kinds), "some kind of fault is never drawn")
}

// Guards against accepting a truncated or malformed stream as a complete answer.
func TestReadStream(t *testing.T) {
	const text = `data: {"choices":[{"delta":{"content":"alpha "}}]}` + "\n\n"
	for name, c := range map[string]struct {
		body string
		ok   bool
		ran  string
	}{
		"whole":         {text + "data: [DONE]\n\n", true, ""},
		"without end":   {text, false, ""},
		"with an error": {text + `data: {"error":{"type":"endpoint_failed","ran":"ran"}}` + "\n\n", false, "ran"},
		"malformed":     {text + "data: {\n\n", false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := &reply{status: http.StatusOK}
			readStream(r, strings.NewReader(c.body))
			assert.Equal(t, c.ok, r.ok())
			assert.Equal(t, c.ran, r.ran)
			assert.Equal(t, "alpha ", r.answerText)
		})
	}
}

// Guards against missing reports of requests that a graceful stop interrupted, and
// against reports of requests that an earlier fault affected.
func TestCheckGracefulStops(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	for name, c := range map[string]struct {
		x     interruptedRequest
		found int
	}{
		"during the stop":           {interruptedRequest{"", at(3), at(3), at(6)}, 1},
		"started during the stop":   {interruptedRequest{"", at(6), at(6), at(7)}, 1},
		"ended before":              {interruptedRequest{"", at(3), at(3), at(4)}, 0},
		"started afterwards":        {interruptedRequest{"", at(9), at(9), at(10)}, 0},
		"first tried under a fault": {interruptedRequest{"", at(1), at(3), at(6)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRecorder()
			r.addGracefulStop(gracefulStop{name: "entry-0", healed: at(2), signaled: at(5), ended: at(8)})
			r.interrupted = append(r.interrupted, c.x)
			r.checkGracefulStops()
			assert.Len(t, r.violations, c.found)
		})
	}
}

// Guards against missing reports of requests that exceed their deadlines. Only a paused
// entry excuses them.
func TestLateRequest(t *testing.T) {
	start := time.Now()
	for name, c := range map[string]struct {
		duration time.Duration
		paused   bool
		found    int
	}{
		"in time":      {time.Second + lateTolerance, false, 0},
		"late":         {time.Second + lateTolerance + 1, false, 1},
		"entry paused": {time.Second + lateTolerance + 1, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRecorder()
			if c.paused {
				r.paused[0] = []interval{{start, start.Add(time.Second)}}
			}
			r.recordReply("prompt", time.Second, &reply{start: start, end: start.Add(c.duration)}, start)
			assert.Len(t, r.violations, c.found)
		})
	}
}

// Guards against a balancer that treats status 204, with which a ready entry answers,
// as a failure.
func TestBalancerCheck(t *testing.T) {
	for status, ready := range map[int]bool{http.StatusNoContent: true, http.StatusOK: true, http.StatusServiceUnavailable: false} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		b := &balancer{http: s.Client()}
		assert.Equal(t, ready, b.check(context.Background(), strings.TrimPrefix(s.URL, "http://")), "status %d", status)
		s.Close()
	}
}

// Guards against a report that omits the violations.
func TestReport(t *testing.T) {
	var b bytes.Buffer
	r := &Report{Seed: 7, Folder: "logs", Requests: map[string]map[string]int{"prompt": {"ok": 3}}, Faults: map[FaultKind]int{LogOutage: 1}, Violations: []string{"went wrong"}}
	require.NoError(t, r.Print(io.Writer(&b)))
	for _, want := range []string{"seed 7", "logs", "prompt", string(LogOutage), "went wrong"} {
		assert.Contains(t, b.String(), want)
	}
}

// Guards against a round that fails because a stand-in's fault is injected or cleared
// after another fault of the round has killed the stand-in (seed 7741, round 3).
func TestStandInFaultsAreSwitchedWhileStandInsRun(t *testing.T) {
	for seed := range uint64(500) {
		for _, x := range NewPlan(seed, 20) {
			killed := false
			for _, f := range injectionOrder(x.Faults) {
				require.False(t, killed && !f.Kind.killsStandIns(), "seed %d: %v", seed, x.Faults)
				killed = killed || f.Kind.killsStandIns()
			}
			require.ElementsMatch(t, x.Faults, injectionOrder(x.Faults))
		}
	}
}
