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

// PollsConfigStream reports whether the process reads the tail of the configuration stream
// every second. Every entry and pollersPerDomain agents of each failure domain do.
func PollsConfigStream(self Member, members []Member) bool {
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

// WritesConfigSnapshots reports whether the process is the agent that writes snapshots
// of the configuration.
func WritesConfigSnapshots(self Member, members []Member) bool {
	return rendezvous.Owner(rendezvous.Key([]byte("config-snapshot")), liveAgents(members, "")) == self.ID
}

func liveAgents(members []Member, domain string) []string {
	var ids []string
	for _, member := range members {
		if member.Role == RoleAgent && member.State == Live && (domain == "" || member.FailureDomain == domain) {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// LongPollIntervals is the number of exchange intervals for which a long poll of the
// configuration stream waits for a record. Long polls cost a fifth of what reads cost
// that return at once, and they return a new record immediately.
const LongPollIntervals = 5

// Intervals between reads of the configuration stream.
const (
	pollInterval         = time.Second
	fallbackPollInterval = 3 * time.Second // for processes that don't poll, without a newer version from a neighbour
	fallbackPollJitter   = 500 * time.Millisecond
	pollJitterDivisor    = 10 // the jitter is pollInterval divided by this
)

// ConfigPollDelay returns the time until the next read of the configuration stream,
// counted from the last read or the last newer version from a neighbour. randBelow
// returns a random non-negative number below its argument; scale is the exchange
// interval, one second outside tests.
func ConfigPollDelay(polls bool, scale time.Duration, randBelow func(int64) int64) time.Duration {
	delay, jitter := fallbackPollInterval, fallbackPollJitter
	if polls {
		delay, jitter = pollInterval, pollInterval/pollJitterDivisor
		delay -= jitter
	}
	delay += time.Duration(randBelow(int64(jitter)))
	return time.Duration(float64(delay) * scale.Seconds())
}
