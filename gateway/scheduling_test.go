package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

// newScheduledFixture returns a gateway with an engine that has so much waiting prefill, and the
// priorities that the engine got. The short route /unsafe/ has priority 0, all others have 2.
func newScheduledFixture(t *testing.T, scheduling *Scheduling, waitingTokens int) (*fixture, chan string) {
	priorities := make(chan string, 100)
	f := newFixture(t, serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		priorities <- r.Header.Get("Test-Priority")
		_, err := io.WriteString(c, okResponse(r, "answer"))
		return err == nil
	}))
	f.servePrompts(t, scheduling)
	config := *f.state.table.Config
	config.Version++
	config.Customers = append(config.Customers, forward.Customer{Name: "d", Keys: []string{"other"}})
	for i := range config.Routes {
		if config.Routes[i].PathPrefix != "/unsafe/" {
			config.Routes[i].Priority = 2
		}
	}
	f.applyOperators([]forward.OperatorChange{{Config: &config}}, f.clock.read(), false)
	f.state.endpointState("e0").load.Add(forward.RequestLoad{PrefillTokens: waitingTokens, Ranked: true, Rank: 1})
	return f, priorities
}

// Guards against urgent prompts that are refused because of prefill that waits for them, against prompts
// refused although they would meet their deadline, and against late ones before those in time. Without
// the settings, priorities and refusals are as before. The latency target is 1 s, the deadline 5 s.
func TestPromptsAreScheduledByRank(t *testing.T) {
	ranked, late := &Scheduling{RankedQueues: true}, &Scheduling{RankedQueues: true, LateRequests: true}
	const long, tooLong = 50_000, 150_000 // tokens for 1 s and 3 s
	for name, c := range map[string]struct {
		scheduling *Scheduling
		waiting    int
		path       string
		status     int
		priority   string
		log        string
	}{
		"off, room":                  {nil, 0, "/safe/x", 200, "2", ""},
		"off, urgent":                {nil, long, "/unsafe/x", 503, "", ""},
		"off, patient":               {nil, long, "/safe/x", 503, "", ""},
		"ranks, room":                {ranked, 0, "/safe/x", 200, "1", `"rank":1`},
		"ranks, urgent":              {ranked, long, "/unsafe/x", 200, "0", `"rank":0`},
		"ranks, patient":             {ranked, long, "/safe/x", 503, "", `"rank":1`},
		"late, urgent":               {late, long, "/unsafe/x", 200, "0", `"rank":0`},
		"late, patient":              {late, long, "/safe/x", 200, "9", `"late_1":"target_missed"`},
		"late, beyond half the time": {late, tooLong, "/safe/x", 503, "", `"retry_after_ms":5`},
	} {
		t.Run(name, func(t *testing.T) {
			logged := captureLog(t)
			f, priorities := newScheduledFixture(t, c.scheduling, c.waiting)
			require.Equal(t, c.status, f.prompt(t, c.path))
			if c.status == 200 {
				require.Equal(t, c.priority, <-priorities)
			}
			require.Contains(t, logged(), c.log)
		})
	}
}

// Guards against a late prompt whose prefill delays others in the expectation of this entry or of its
// peers.
func TestLatePromptsCountAtTheLastRank(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	f := newFixture(t, serveRaw(t, func(r *http.Request, c net.Conn) bool {
		arrived <- struct{}{}
		<-release
		_, err := io.WriteString(c, okResponse(r, "answer"))
		return err == nil
	}))
	f.servePrompts(t, &Scheduling{RankedQueues: true, LateRequests: true})
	f.state.endpointState("e0").load.Add(forward.RequestLoad{PrefillTokens: 50_000})
	done := make(chan int)
	go func() { done <- f.prompt(t, "/safe/x") }()
	<-arrived
	r, _ := f.buildReport(1)
	close(release)
	require.Equal(t, 200, <-done)
	require.Equal(t, boundedList[reportRanks]{{endpointHash("e0"), forward.RankedTokens{forward.LastRank: 100}}}, r.Extension.Ranks)
	require.Equal(t, forward.RankedTokens{}, f.state.endpointState("e0").load.PrefillByRank)
}

// Guards against a customer with most of the load that makes the others' prompts late.
func TestCustomerWithMoreThanItsShareIsLateFirst(t *testing.T) {
	for name, c := range map[string]struct {
		fairShare bool
		want      []string // priorities of the heavy and of the other customer
	}{
		"on":  {true, []string{"9", "1"}},
		"off": {false, []string{"1", "1"}},
	} {
		t.Run(name, func(t *testing.T) {
			f, priorities := newScheduledFixture(t, &Scheduling{RankedQueues: true, LateRequests: true, FairShare: c.fairShare}, 0)
			send := func(key string) string {
				r := f.request(t, "POST", "/safe/x", "")
				r.Header.Set("Test-Prompt", "own")
				r.Header.Set("Test-Key", key)
				status, _, err := f.do(t, r)
				require.NoError(t, err)
				require.Equal(t, 200, status)
				return <-priorities
			}
			for _, key := range []string{"key", "key", "key", "other"} {
				require.Equal(t, "1", send(key), "nothing is short yet")
			}
			work := forward.RequestLoad{PrefillTokens: 50_000, Ranked: true, Rank: 1}
			f.state.endpointState("e0").load.Add(work)
			require.Equal(t, "9", send("other"), "it can't meet its target")
			f.state.endpointState("e0").load.Remove(&work)
			require.Equal(t, c.want, []string{send("key"), send("other")})
			f.clock.advance(time.Second)
			require.Equal(t, "1", send("key"), "nothing is short any more")
		})
	}
}
