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

// Guards against a payment judged as right that ran twice, that was answered
// without an effect, or that was refused as not run after it ran.
func TestVerdict(t *testing.T) {
	for name, c := range map[string]struct {
		words   []string
		effects int
		right   bool
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
			assert.Equal(t, c.right, verdict(c.words, c.effects) == "")
		})
	}
}

// Guards against a seed that doesn't name its faults, and against a planned stop
// beside another fault, which would hide or feign a cut request.
func TestPlan(t *testing.T) {
	const seeds, rounds = 50, 20
	drawn := map[Kind]bool{}
	for seed := range uint64(seeds) {
		plan := NewPlan(seed, rounds)
		require.Equal(t, plan, NewPlan(seed, rounds), "seed %d", seed)
		for _, x := range plan {
			require.NotEmpty(t, x.Faults, "seed %d", seed)
			for _, f := range x.Faults {
				drawn[f.Kind] = true
				require.False(t, f.Kind.planned() && len(x.Faults) > 1, "seed %d: %v", seed, x)
			}
		}
	}
	assert.Len(t, drawn, len(kinds), "a fault is never drawn")
}

// Guards against a broken stream that is taken as a whole answer.
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
			assert.Equal(t, "alpha ", r.text)
		})
	}
}

// Guards against requests that a planned stop cut and that go unreported, and
// against reports of requests that an earlier fault decided.
func TestJudgePlanned(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	for name, c := range map[string]struct {
		x     cut
		found int
	}{
		"during the stop":           {cut{"", at(3), at(3), at(6)}, 1},
		"begun during the stop":     {cut{"", at(6), at(6), at(7)}, 1},
		"ended before":              {cut{"", at(3), at(3), at(4)}, 0},
		"begun afterwards":          {cut{"", at(9), at(9), at(10)}, 0},
		"first tried under a fault": {cut{"", at(1), at(3), at(6)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRecord()
			r.plan(plannedStop{name: "entry-0", clean: at(2), stopped: at(5), to: at(8)})
			r.cuts = append(r.cuts, c.x)
			r.judgePlanned()
			assert.Len(t, r.violations, c.found)
		})
	}
}

// Guards against requests that outlast their deadlines and go unreported. Only a
// paused entry may let them.
func TestLateRequest(t *testing.T) {
	begun := time.Now()
	for name, c := range map[string]struct {
		took   time.Duration
		paused bool
		found  int
	}{
		"in time":    {time.Second + lateTolerance, false, 0},
		"late":       {time.Second + lateTolerance + 1, false, 1},
		"entry held": {time.Second + lateTolerance + 1, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRecord()
			if c.paused {
				r.paused[0] = []interval{{begun, begun.Add(time.Second)}}
			}
			r.count("prompt", time.Second, &reply{begun: begun, ended: begun.Add(c.took)}, begun)
			assert.Len(t, r.violations, c.found)
		})
	}
}

// Guards against a balancer that takes the status of a ready entry, 204, for a
// failure.
func TestBalancerCheck(t *testing.T) {
	for status, ready := range map[int]bool{http.StatusNoContent: true, http.StatusOK: true, http.StatusServiceUnavailable: false} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		b := &balancer{http: s.Client()}
		assert.Equal(t, ready, b.check(context.Background(), strings.TrimPrefix(s.URL, "http://")), "status %d", status)
		s.Close()
	}
}

// Guards against a report that leaves out what went wrong.
func TestReport(t *testing.T) {
	var b bytes.Buffer
	r := &Report{Seed: 7, Folder: "logs", Requests: map[string]map[string]int{"prompt": {"ok": 3}}, Faults: map[Kind]int{LogOutage: 1}, Violations: []string{"went wrong"}}
	require.NoError(t, r.Print(io.Writer(&b)))
	for _, want := range []string{"seed 7", "logs", "prompt", string(LogOutage), "went wrong"} {
		assert.Contains(t, b.String(), want)
	}
}

// Guards against a round that fails because a fault of a stand-in is switched while
// another fault of the round has ended it (seed 7741, round 3).
func TestFaultsOfStandInsAreSwitchedWhileTheyRun(t *testing.T) {
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
