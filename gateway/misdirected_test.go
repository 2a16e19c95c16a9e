package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

// servePrompts makes the service of a fixture one of model engines, whose endpoints have version 1 of
// model m, and lets a request be sent to one endpoint only.
func (f *fixture) servePrompts(t *testing.T, scheduling *Scheduling) {
	t.Helper()
	f.state.settings.Scheduling = scheduling
	config := *f.state.table.Config
	config.Version++
	config.Services = []forward.Service{{Name: "s", Engine: &forward.Engine{CapacityTokens: 90_000, Slots: 64, Models: []string{"m"}}}}
	config.Routes = append([]forward.Route(nil), config.Routes...)
	for i := range config.Routes {
		config.Routes[i].CarriesPrompts, config.Routes[i].MaxAttempts = true, 1
	}
	f.applyOperators([]forward.OperatorChange{{Config: &config}}, f.clock.read(), false)
	f.listWithVersion(1)
}

// listWithVersion lists the endpoints with a weight version.
func (f *fixture) listWithVersion(version int64) {
	var changes []forward.EndpointChange
	for _, e := range f.state.listedEndpoints(f.clock.read()) {
		e.Models = []forward.ModelState{{Name: "m", Version: version}}
		changes = append(changes, forward.EndpointChange{ID: e.ID, Endpoint: &e})
	}
	f.applyEndpoints(changes, f.clock.read(), false)
}

// prompt sends a prompt and returns the status.
func (f *fixture) prompt(t *testing.T, path string) int {
	t.Helper()
	r := f.request(t, "POST", path, "")
	r.Header.Set("Test-Prompt", "own")
	status, _, err := f.do(t, r)
	require.NoError(t, err)
	return status
}

// serveMisdirected runs an endpoint that rejects all requests as misdirected, with further headers.
func serveMisdirected(t *testing.T, headers string) *testEndpoint {
	return serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nTest-Not-Run: 1\r\nTest-Id: %s\r\n%sContent-Length: 0\r\n\r\n", r.Header.Get("Test-Id"), headers)
		return err == nil
	})
}

// Guards against prompts that go on reaching an address that another endpoint now has, and against a
// pause of endpoints that only have other weights. Without the settings, prompts are placed as before.
func TestEndpointWithAReusedAddressIsPaused(t *testing.T) {
	const steps, step = 6, 300 * time.Millisecond // more than refusalPause, and less than misdirectedPause in all
	for name, c := range map[string]struct {
		scheduling *Scheduling
		headers    string
		named      int64 // version that the operators have named
		attempts   int64
	}{
		"another ID":           {&Scheduling{}, "Test-Instance: e9\r\n", 1, 1},
		"another ID, off":      {nil, "Test-Instance: e9\r\n", 1, steps},
		"nothing stated":       {&Scheduling{}, "", 1, 1},
		"other weights":        {&Scheduling{}, "Test-Version: 2\r\n", 1, steps},
		"its own ID":           {&Scheduling{}, "Test-Instance: e0\r\n", 1, steps},
		"a newer one is named": {&Scheduling{}, "", 2, steps},
	} {
		t.Run(name, func(t *testing.T) {
			misdirected := serveMisdirected(t, c.headers)
			f := newFixture(t, misdirected, serveRaw(t, respondOK("answer")))
			f.servePrompts(t, c.scheduling)
			f.applyOperators([]forward.OperatorChange{weightsRecord(c.named)}, f.clock.read(), false)
			for range steps {
				f.prompt(t, "/safe/x")
				f.clock.advance(step)
				f.confirmConfig()
			}
			require.Equal(t, c.attempts, misdirected.requests.Load())
		})
	}
}

// Guards against peers that each find out by a request of their own that an address is reused, and
// against a report that pauses an endpoint which has started since.
func TestPeersAreToldOfAReusedAddress(t *testing.T) {
	misdirected := serveMisdirected(t, "Test-Instance: e9\r\n")
	g := newTestGroup(t, 2, misdirected, serveRaw(t, respondOK("answer")))
	for _, f := range g.entries {
		f.servePrompts(t, &Scheduling{RetryRefused: 1})
	}
	peer := g.entries[1]
	usable := func() bool {
		return peer.state.candidates("s", nil, 0, nil, g.clock.read())[0].Usable
	}
	require.Equal(t, 200, g.entries[0].prompt(t, "/safe/x"))
	require.True(t, usable())
	require.Len(t, g.entries[0].reportRequests, 1, "a report is due at once")
	g.exchangeReports()
	require.False(t, usable())
	require.Equal(t, 200, peer.prompt(t, "/safe/x"))
	require.EqualValues(t, 1, misdirected.requests.Load())

	g.advance(misdirectedPause)
	require.True(t, usable())
	g.exchangeReports()
	require.True(t, usable(), "the pause is over for the sender too")
	for name, c := range map[string]struct {
		reuse  reportReuse
		usable bool
	}{
		"an earlier start": {reportReuse{endpointHash("e0"), 5, 2000}, true},
		"a negative time":  {reportReuse{endpointHash("e0"), 0, -5}, true},
		"an unknown one":   {reportReuse{7, 0, 2000}, true},
		"a very long time": {reportReuse{endpointHash("e0"), 0, 1 << 60}, false},
	} {
		t.Run(name, func(t *testing.T) {
			restarted := peer.state.listedEndpoints(g.clock.read())[0]
			restarted.StartedUnixMs++
			restarted.StartedUnixMs = max(restarted.StartedUnixMs, 10)
			peer.applyEndpoints([]forward.EndpointChange{{ID: "e0", Endpoint: &restarted}}, g.clock.read(), false)
			require.True(t, usable())
			peer.state.applyReuses([]reportReuse{c.reuse}, g.clock.read())
			require.Equal(t, c.usable, usable())
			g.advance(misdirectedPause)
			require.True(t, usable(), "no pause may be longer than that of the sender")
		})
	}
}

// Guards against prompts that are refused because one endpoint stated that it did not run them, and
// against more such attempts than the setting allows.
func TestRejectedAttemptsDoNotCount(t *testing.T) {
	for name, c := range map[string]struct {
		retryRefused, rejecting int
		status                  int
	}{
		"off":            {0, 1, 503},
		"one of one":     {1, 1, 200},
		"two with one":   {1, 2, 503},
		"two with two":   {2, 2, 200},
		"three with two": {2, 3, 503},
	} {
		t.Run(name, func(t *testing.T) {
			var endpoints []*testEndpoint
			for range c.rejecting {
				endpoints = append(endpoints, serveMisdirected(t, "Test-Instance: e9\r\n"))
			}
			served := serveRaw(t, respondOK("answer"))
			f := newFixture(t, append(endpoints, served)...)
			f.servePrompts(t, &Scheduling{RetryRefused: c.retryRefused})
			f.avoid(fmt.Sprint("e", c.rejecting)) // so that the others are tried first
			require.Equal(t, c.status, f.prompt(t, "/unsafe/x"))
			require.EqualValues(t, boolInt(c.status == 200), served.requests.Load())
		})
	}
}

// avoid makes an endpoint the last choice.
func (f *fixture) avoid(id string) {
	f.state.endpointState(id).load.Add(forward.RequestLoad{PrefillTokens: 5000})
}

// Guards against extra attempts that the retry budget doesn't cover.
func TestRejectedAttemptsDrawOnTheRetryBudget(t *testing.T) {
	f := newFixture(t, serveMisdirected(t, "Test-Instance: e9\r\n"), serveRaw(t, respondOK("answer")))
	f.servePrompts(t, &Scheduling{RetryRefused: 1})
	for f.state.retryBudget("s").TrySpend(f.clock.read()) {
		continue // uses the budget up
	}
	require.Equal(t, 503, f.prompt(t, "/safe/x"))
}
