package capacity

import (
	"fmt"
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/core/membership"
)

// values looks up slopes of a report and stores the first lookup error in *err.
type values struct {
	report *Report
	err    *error
}

func (v values) slope(id string) Slope {
	s, err := v.report.Find(id)
	if err != nil && *v.err == nil {
		*v.err = err
	}
	return s
}

func (v values) atTarget(id string) float64 { return v.slope(id).Value }

func (v values) last(id string) float64 {
	ps := v.slope(id).Points
	if len(ps) == 0 {
		return 0
	}
	return ps[len(ps)-1].Y
}

// derive returns a template function that computes a figure with f.
func (r *Report) derive(f func(values) float64) func() (float64, error) {
	return func() (float64, error) {
		var err error
		x := f(values{r, &err})
		return x, err
	}
}

// limitVerdict returns Met or NotMet for a derived figure and its limit.
func limitVerdict(v, limit float64) string {
	if v <= limit {
		return Met
	}
	return NotMet
}

// Constants used in derived figures.
const (
	ipHeaderBytes = 52 // TCP header with timestamps, and IPv4 header
	maxRingHops   = 9  // most hops between any two of 330 daemons: the base-2 logarithm, rounded up
)

// framing returns the bytes that gRPC and TLS add to a gossip message of maximum size.
func framing(v values) float64 { return v.atTarget("wire_tls") - maxGossipBytes }

// applyCPU returns the CPU use of applying configuration changes, in percent of a core.
func applyCPU(v values) float64 {
	return v.atTarget("config_apply_cpu") / millisPerSec * targetChangesPerDay / secondsPerDay * percent
}

// controlCPU returns the CPU use of all control work, in percent of a core.
func controlCPU(v values) float64 { return v.atTarget("live_cpu") + applyCPU(v) }

// controlMemory returns the memory of all control state in MiB, with the target's
// document in place of the smaller one that the live run uses.
func controlMemory(v values) float64 {
	m := v.slope("config_memory")
	return v.atTarget("live_memory") + m.Value - m.At(liveCustomers)
}

// pollerBytes returns the control bytes per second of a daemon that polls the log
// itself.
func pollerBytes(v values) float64 {
	return max(v.atTarget("live_bytes"), v.last("live_bytes")) + pollerReadRate()*v.atTarget("live_log_read_bytes")
}

// pollerReadRate returns the reads per second of such a daemon while the log has no new
// records: each read blocks until its wait time is over, and a pause follows, whose
// random part is taken at its mean.
func pollerReadRate() float64 {
	pause := membership.ConfigPollDelay(true, time.Second, func(limit int64) int64 { return limit / 2 })
	return 1 / (pause + membership.LongPollIntervals*time.Second).Seconds()
}

// pollerBytesIP returns pollerBytes plus the TCP and IP headers of the gossip segments
// and of two segments per read.
func pollerBytesIP(v values) float64 {
	const perRead = 2
	return pollerBytes(v) + ipHeaderBytes*(v.atTarget("live_segments")+perRead*pollerReadRate())
}

// fanOutApplied returns the fan-out time plus the time to apply a patch at each hop of
// the longest path.
func fanOutApplied(v values) float64 {
	return max(v.atTarget("config_fan_out"), v.last("config_fan_out")) + maxRingHops*v.atTarget("config_apply_cpu")/millisPerSec
}

// restartBytes returns the bytes per second that restarts cost the whole system.
func restartBytes(v values) float64 {
	return (v.atTarget("member_snapshot") + v.atTarget("config_document_bytes")) * targetRestartsPerDay / secondsPerDay
}

// routingModel returns the time of a routing decision among the endpoints of one model.
func routingModel(v values) float64 {
	return v.slope("routing_cpu").At(float64(targetEndpoints) / targetModels)
}

// entryShare returns the share of the target's token rate per entry at which an entry
// uses one full core.
func entryShare(v values) float64 {
	return v.slope("entry_cpu").SizeAtLimit(1) / (targetTokensPerSec / targetEntries)
}

// tokenMillis returns the CPU time that agent and entry spend on one token, in
// milliseconds.
func tokenMillis(v values) float64 {
	return millisPerSec * (v.slope("entry_cpu").Gradient + v.slope("agent_cpu").Gradient)
}

// lastGroup returns the number of claims per append at the highest measured rate.
func lastGroup(v values) float64 { return v.last("claim_group") }

// directoryMiB returns the memory of an agent's directory shard.
func directoryMiB(v values) float64 {
	return v.atTarget("directory_bytes") * contextsPerAgent / mebibyte
}

// directoryCPU returns the CPU use of directory updates on an agent, in percent of a
// core.
func directoryCPU(v values) float64 {
	return v.atTarget("directory_update_cpu") / microsPerSec * targetRequestsPerSec / targetAgents * percent
}

// causes states, by slope ID, why a limit is not met and what would help.
var causes = map[string]string{
	"live_cpu":               "each exchange is a gRPC call in either direction; a longer interval between exchanges lowers it in proportion, at the price of slower detection.",
	"live_bytes":             "a gossip message fills its bound of 400 bytes where there are more members than fit, and carries its framing. A bound of 300 bytes would lower it by up to 400 bytes/s.",
	"domain_back_bytes":      "each returning daemon fetches one snapshot of all members within seconds. The excess lasts as long as the return, about 3 s, once or twice a year for each failure domain; no change is proposed.",
	"region_merge_bytes":     "after the cut each process takes about one snapshot of the members, which also holds those that it knows. The excess lasts as long as the merge, about 15 s, now and then; fetching only the members that are missing would lower it.",
	"region_merge_time":      "section 5 says within seconds, read here as a minute. A process finds the other side by probing one gone member every 10 s, and then fetches its list of members.",
	"region_merge_most_time": "as for the time until all agree.",
	"routing_cpu":            "the policy passes over every candidate. An entry only offers the endpoints of the request's model, a fifth of them at the target, which stays under the limit; the limit of section 14 is stated for all of them. The machine was shared while it was measured.",
	"claim_memory":           "the keeper holds every claim of the key window of 24 h, and so does its standby; the answers stay in the log. More partitions (up to 64) divide it; a shorter key window lowers it in proportion.",
	"claim_cpu":              "the coding of claims grows with their number; more partitions divide it.",
	"config_fan_out":         "the change waits for the polls and for the exchanges on the ring.",
	"directory_bytes":        "the index of the shard is a hash map, which holds up to twice its entries after it has grown.",
}

// Missed returns a line for each limit that is not met.
func (r *Report) Missed() ([]string, error) {
	var out []string
	for _, s := range r.Slopes {
		if s.Verdict() != NotMet {
			continue
		}
		out = append(out, fmt.Sprintf("**%s** (`%s`): %s %s at the target, limit %s. Cause: %s", s.Description, s.ID, formatNumber(s.Value), s.Unit, formatNumber(s.Limit), causes[s.ID]))
	}
	var err error
	v := values{r, &err}
	if x := pollerBytes(v); x > limitControlBytes {
		out = append(out, fmt.Sprintf("**Control bytes of a daemon that polls the log**: %s bytes/s. Cause: the gossip, which alone uses nearly all of the limit when sent and received bytes are added; the reads, which wait 5 s for a record, add little.", formatInt(x)))
	}
	if x := pollerBytesIP(v); x > limitControlBytes {
		out = append(out, fmt.Sprintf("**The same with TCP and IP headers**: %s bytes/s. A bound of a gossip message of 300 bytes would lower it by up to 400 bytes/s.", formatInt(x)))
	}
	if x := controlCPU(v); x > limitControlCores*percent {
		out = append(out, fmt.Sprintf("**CPU time of control with the configuration changes**: %s%% of a core. Cause: each process puts the whole document into canonical form twice for each patch (after the merge and before the hash) and parses it. Leaving out the second time is a small change in core/config.", formatNumber(x)))
	}
	return out, err
}

// Breaks returns a line for each limit that is reached while the deployment grows,
// ordered by the size at which it is reached, as a share of the target size.
func (r *Report) Breaks() []string {
	type crossing struct {
		share float64
		text  string
	}
	var all []crossing
	for _, s := range r.Slopes {
		if s.Limit == 0 {
			continue
		}
		x := s.SizeAtLimit(s.Limit)
		if x <= 0 || x > maxTargetMultiple*s.Target {
			continue
		}
		all = append(all, crossing{x / s.Target, fmt.Sprintf("%s (`%s`) reaches its limit of %s %s at %s %s, %s times the target.", s.Description, s.ID, formatNumber(s.Limit), s.Unit, formatInt(x), s.XUnit, formatNumber(x/s.Target))})
	}
	slices.SortStableFunc(all, func(a, b crossing) int {
		if a.share < b.share {
			return -1
		}
		return 1
	})
	var out []string
	for _, a := range all[:min(len(all), maxBreaks)] {
		out = append(out, a.text)
	}
	return out
}

// Bounds of the list that Breaks returns: the largest extrapolation, as a multiple of
// the target size, and the number of lines.
const (
	maxTargetMultiple = 10
	maxBreaks         = 8
)
