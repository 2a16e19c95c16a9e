package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

// limitedEndpoint is an endpoint that names a limit in its answers and records when requests
// reach it, on the clock of a fixture.
type limitedEndpoint struct {
	*testEndpoint
	mu       sync.Mutex
	limit    string
	clock    *testClock
	arrivals []time.Duration
}

func newLimitedEndpoint(t *testing.T, limit string) *limitedEndpoint {
	e := &limitedEndpoint{limit: limit}
	e.testEndpoint = serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.clock != nil {
			e.arrivals = append(e.arrivals, e.clock.read())
		}
		header := ""
		if e.limit != "" {
			header = "Test-Limit: " + e.limit + "\r\n"
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\n%sContent-Length: 2\r\n\r\nok", r.Header.Get("Test-Id"), header)
		return err == nil
	})
	return e
}

// mostIn returns the largest number of arrivals from a time on within a window of the given
// length.
func (e *limitedEndpoint) mostIn(window, from time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for i, first := range e.arrivals {
		if first < from {
			continue
		}
		n := 0
		for _, at := range e.arrivals[i:] {
			n += boolInt(at < first+window)
		}
		most = max(most, n)
	}
	return most
}

// testGroup is a group of entries on one clock that exchange load reports.
type testGroup struct {
	entries []*fixture
	clock   *testClock
	seq     int64
}

// newTestGroup returns a group whose members know each other for long enough to share limits.
func newTestGroup(t *testing.T, size int, endpoints ...*testEndpoint) *testGroup {
	g := &testGroup{clock: &testClock{}}
	var members []string
	for i := range size {
		f := newFixture(t, endpoints...)
		f.memberID = fmt.Sprintf("127.0.0.%d:1", i+1)
		f.ownership.Self = f.memberID
		members = append(members, f.memberID)
		f.state.clock, f.clock = g.clock.start(time.Hour), g.clock
		f.Gateway.clock, f.pool.clock = g.clock.read, g.clock.read
		g.entries = append(g.entries, f)
	}
	generation := forward.Generation{Number: 1}
	for range 10 {
		g.join(members, generation)
		g.advance(300 * time.Millisecond)
	}
	return g
}

// join has each entry join the group and read the given member list.
func (g *testGroup) join(members []string, generation forward.Generation) {
	for _, f := range g.entries {
		if f.recordJoin(generation, g.clock.read()) {
			f.state.mu.Lock()
			f.ownership.RecordMembers(generation, members)
			f.state.mu.Unlock()
			f.recordJoin(generation, g.clock.read())
		}
		f.confirmConfig()
	}
}

// confirmConfig records that nothing newer is in the log.
func (f *fixture) confirmConfig() { f.applyOperators(nil, f.clock.read(), false) }

func (g *testGroup) advance(d time.Duration) { g.clock.advance(d) }

// exchangeReports has each entry apply the load reports of all others.
func (g *testGroup) exchangeReports() {
	g.seq++
	for _, from := range g.entries {
		r, _ := from.buildReport(g.seq)
		for _, to := range g.entries {
			if to != from {
				to.applyReport(&r)
			}
		}
	}
}

// Guards against an endpoint that gets more requests than the limit that it names allows for all
// entries together: one and a half times the limit over 4 s, and 5.
func TestEntriesTogetherKeepTheLimitOfAnEndpoint(t *testing.T) {
	const (
		window = 4 * time.Second
		step   = 100 * time.Millisecond
		span   = 12 * time.Second
	)
	for _, c := range []struct {
		limit   string
		allowed int
	}{{"1", 11}, {"1.5", 14}, {"0.1", 5}, {"0", 5}} {
		t.Run(c.limit, func(t *testing.T) {
			limited, other := newLimitedEndpoint(t, c.limit), serveRaw(t, respondOK("ok"))
			g := newTestGroup(t, 4, limited.testEndpoint, other)
			limited.clock = g.clock
			start := g.clock.read()
			served, total := 0, 0
			for i := 0; g.clock.read() < start+span; i++ {
				for _, f := range g.entries {
					f.confirmConfig()
					status, _, err := f.do(t, f.request(t, "GET", "/safe/x", ""))
					require.NoError(t, err)
					total++
					served += boolInt(status == http.StatusOK)
				}
				g.exchangeReports()
				g.advance(step)
				if i%3 == 0 {
					g.join(nil, forward.Generation{Number: 1})
				}
			}
			require.LessOrEqual(t, limited.mostIn(window, start+time.Second/2), c.allowed)
			require.Equal(t, total, served, "the other endpoint could serve the rest")
		})
	}
}
