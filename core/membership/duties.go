package membership

import (
	"time"

	"github.com/galenaweir/galenaweir/core/rendezvous"
)

// The roles of a member.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// pollersPerDomain is the number of agents of a failure domain that read the
// tail of the configuration stream every second.
const pollersPerDomain = 2

// PollsLog reports whether the process reads the tail of the configuration
// stream every second: every entry, and two agents of each failure domain.
func PollsLog(self Member, members []Member) bool {
	if self.Role == RoleEntry {
		return true
	}
	ids := liveAgents(members, self.FailureDomain)
	for _, id := range rendezvous.Top(rendezvous.Key([]byte("config-poll/"+self.FailureDomain)), ids, pollersPerDomain) {
		if id == self.ID {
			return true
		}
	}
	return false
}

// WritesSnapshots reports whether the process is the agent that writes the
// snapshots of the configuration.
func WritesSnapshots(self Member, members []Member) bool {
	return rendezvous.Owner(rendezvous.Key([]byte("config-snapshot")), liveAgents(members, "")) == self.ID
}

func liveAgents(members []Member, domain string) []string {
	var ids []string
	for _, x := range members {
		if x.Role == RoleAgent && x.State == Live && (domain == "" || x.FailureDomain == domain) {
			ids = append(ids, x.ID)
		}
	}
	return ids
}

// TailWait is how long a poller's read waits for a record, in exchange intervals.
// It costs a fifth of reads that don't wait, and a new record is seen at once.
const TailWait = 5

// Intervals of reads of the configuration stream.
const (
	tailInterval   = time.Second
	quietInterval  = 3 * time.Second // without news from a neighbour
	quietJitter    = 500 * time.Millisecond
	tailJitterPart = 10 // jitter is a tenth of the interval
)

// PollDelay returns the time from the last read of the stream, or the last news
// of a neighbour, to the next read. draw returns a random number below its
// argument; scale is the exchange interval in use, one second outside tests.
func PollDelay(polls bool, scale time.Duration, draw func(int64) int64) time.Duration {
	d, j := quietInterval, quietJitter
	if polls {
		d, j = tailInterval, tailInterval/tailJitterPart
		d -= j
	}
	d += time.Duration(draw(int64(j)))
	return time.Duration(float64(d) * scale.Seconds())
}
