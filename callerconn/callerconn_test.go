package callerconn

import (
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a connection that the entry closes before its callers stop to reuse it, whatever
// changes of the timeout follow each other while it is idle.
func TestIdlePeriodFollowsChangesOfTheTimeout(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	type change struct{ at, timeout time.Duration }
	for name, c := range map[string]struct {
		first   time.Duration
		changes []change
		want    time.Duration
	}{
		"no change":                    {first: 10 * time.Second, want: 10 * time.Second},
		"raise":                        {first: time.Second, changes: []change{{500 * time.Millisecond, 20 * time.Second}}, want: 20 * time.Second},
		"raise within the slack":       {first: time.Second, changes: []change{{3 * time.Second, 20 * time.Second}}, want: 20 * time.Second},
		"cut counts from the change":   {first: time.Minute, changes: []change{{30 * time.Second, time.Second}}, want: 31 * time.Second},
		"cut never lengthens":          {first: 10 * time.Second, changes: []change{{9 * time.Second, 8 * time.Second}}, want: 10 * time.Second},
		"cut, then raise":              {first: 20 * time.Second, changes: []change{{time.Second, time.Second}, {2 * time.Second, 30 * time.Second}}, want: 30 * time.Second},
		"raise, then cut":              {first: time.Second, changes: []change{{500 * time.Millisecond, 30 * time.Second}, {time.Second, 2 * time.Second}}, want: 3 * time.Second},
		"the same timeout named again": {first: 10 * time.Second, changes: []change{{9 * time.Second, 10 * time.Second}}, want: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			p := idlePeriod{since: start, until: at(c.first + IdleTimeoutSlack)}
			for _, ch := range c.changes {
				p = p.changed(ch.timeout, at(ch.at))
			}
			require.Equal(t, at(c.want+IdleTimeoutSlack), p.until)
		})
	}
}

// Guards against a write deadline of a handler that the limits on the caller's progress prolong.
func TestWriteDeadlineOfAHandlerHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		c := &conn{Conn: far, conns: New()}
		defer c.Close()
		startedAt := time.Now()
		require.NoError(t, c.SetWriteDeadline(startedAt.Add(time.Second)))
		_, err := c.Write(make([]byte, 1))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Equal(t, time.Second, time.Since(startedAt))
		require.NoError(t, c.SetWriteDeadline(time.Time{}))
		_, err = c.Write(make([]byte, 1))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Greater(t, time.Since(startedAt), Pause)
	})
}
