package capacity

import (
	"fmt"
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/core/membership"
)

// values reads the slopes of a report and keeps the first error.
type values struct {
	r   *Report
	err *error
}

func (v values) slope(id string) Slope {
	s, err := v.r.Find(id)
	if err != nil && *v.err == nil {
		*v.err = err
	}
	return s
}

func (v values) at(id string) float64 { return v.slope(id).Value }

func (v values) last(id string) float64 {
	ps := v.slope(id).Points
	if len(ps) == 0 {
		return 0
	}
	return ps[len(ps)-1].Y
}

// derive returns a figure of the template.
func (r *Report) derive(f func(values) float64) func() (float64, error) {
	return func() (float64, error) {
		var err error
		x := f(values{r, &err})
		return x, err
	}
}

// judge compares a derived figure with its limit.
func judge(v, limit float64) string {
	if v <= limit {
		return Met
	}
	return NotMet
}

// Parts of derived figures.
const (
	ipHeaderBytes = 52 // TCP and IPv4 with timestamps
	ringDistance  = 9  // hops between any two of 330 daemons, base-2 logarithm rounded up
)

// framing returns the bytes of gRPC and TLS around a message of the usual size.
func framing(v values) float64 { return v.at("wire_tls") - usualMessage }

// applyCPU returns the share of a core that applies configuration changes, in percent.
func applyCPU(v values) float64 {
	return v.at("config_apply_cpu") / millisSec * targetChangesPerDay / secondsPerDay * percent
}

// controlCPU returns the share of a core for all control, in percent.
func controlCPU(v values) float64 { return v.at("live_cpu") + applyCPU(v) }

// controlMemory returns the MiB of control with the target's document in place of
// the small one of the live run.
func controlMemory(v values) float64 {
	m := v.slope("config_memory")
	return v.at("live_memory") + m.Value - m.At(liveCustomers)
}

// pollerBytes returns the control bytes a second of a daemon that reads the log
// itself.
func pollerBytes(v values) float64 {
	return max(v.at("live_bytes"), v.last("live_bytes")) + pollerReads()*v.at("live_log_read_bytes")
}

// pollerReads returns the reads a second of such a daemon while nothing is new:
// each read waits for a record, and a pause follows.
func pollerReads() float64 {
	pause := membership.ConfigPollDelay(true, time.Second, func(limit int64) int64 { return limit / 2 })
	return 1 / (pause + membership.LongPollIntervals*time.Second).Seconds()
}

// pollerBytesIP adds the headers of TCP and IP: those of gossip, and of two
// segments for each read.
func pollerBytesIP(v values) float64 {
	const perRead = 2
	return pollerBytes(v) + ipHeaderBytes*(v.at("live_segments")+perRead*pollerReads())
}

// fanOutApplied adds the time to apply a patch at each hop of the longest way.
func fanOutApplied(v values) float64 {
	return max(v.at("config_fan_out"), v.last("config_fan_out")) + ringDistance*v.at("config_apply_cpu")/millisSec
}

// restartBytes returns the bytes a second that restarts cost the whole system.
func restartBytes(v values) float64 {
	return (v.at("member_snapshot") + v.at("config_document_bytes")) * targetRestartsPerDay / secondsPerDay
}

// routingModel returns the time of a decision over one model's endpoints.
func routingModel(v values) float64 {
	return v.slope("routing_cpu").At(float64(targetEndpoints) / targetModels)
}

// entryShare returns the part of the target's tokens at which an entry uses a core.
func entryShare(v values) float64 {
	return v.slope("entry_cpu").Reaches(1) / (targetTokensPerSec / targetEntries)
}

// tokenMillis returns the CPU time that agent and entry spend on a token.
func tokenMillis(v values) float64 {
	return millisSec * (v.slope("entry_cpu").Gradient + v.slope("agent_cpu").Gradient)
}

// lastGroup returns the claims in an append at the highest rate measured.
func lastGroup(v values) float64 { return v.last("claim_group") }

func directoryMiB(v values) float64 {
	return v.at("directory_bytes") * contextsPerAgent / mebibyte
}

// directoryCPU returns the share of a core in percent.
func directoryCPU(v values) float64 {
	return v.at("directory_update_cpu") / microsSec * targetRequestsPerSec / targetAgents * percent
}

// causes says why a limit is not met and what would change it.
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

// Missed returns a sentence for each limit that isn't met.
func (r *Report) Missed() ([]string, error) {
	var out []string
	for _, s := range r.Slopes {
		if s.Verdict() != NotMet {
			continue
		}
		out = append(out, fmt.Sprintf("**%s** (`%s`): %s %s at the target, limit %s. Cause: %s", s.Text, s.ID, number(s.Value), s.Unit, number(s.Limit), causes[s.ID]))
	}
	var err error
	v := values{r, &err}
	if x := pollerBytes(v); x > limitControlBytes {
		out = append(out, fmt.Sprintf("**Control bytes of a daemon that polls the log**: %s bytes/s. Cause: the gossip, which alone uses nearly all of the limit when sent and received bytes are added; the reads, which wait 5 s for a record, add little.", whole(x)))
	}
	if x := pollerBytesIP(v); x > limitControlBytes {
		out = append(out, fmt.Sprintf("**The same with TCP and IP headers**: %s bytes/s. A bound of a gossip message of 300 bytes would lower it by up to 400 bytes/s.", whole(x)))
	}
	if x := controlCPU(v); x > limitControlCores*percent {
		out = append(out, fmt.Sprintf("**CPU time of control with the configuration changes**: %s%% of a core. Cause: each process puts the whole document into canonical form twice for each patch (after the merge and before the hash) and parses it. Leaving out the second time is a small change in core/config.", number(x)))
	}
	return out, err
}

// Breaks returns what is reached first on the way to the target, by the share of
// the target's size at which a limit is reached.
func (r *Report) Breaks() []string {
	type at struct {
		share float64
		text  string
	}
	var all []at
	for _, s := range r.Slopes {
		if s.Limit == 0 {
			continue
		}
		x := s.Reaches(s.Limit)
		if x <= 0 || x > maxShare*s.Target {
			continue
		}
		all = append(all, at{x / s.Target, fmt.Sprintf("%s (`%s`) reaches its limit of %s %s at %s %s, %s times the target.", s.Text, s.ID, number(s.Limit), s.Unit, whole(x), s.XUnit, number(x/s.Target))})
	}
	slices.SortStableFunc(all, func(a, b at) int {
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

// Limits of the list of what breaks first: how far beyond the target an
// extrapolation is stated, and the number of lines.
const (
	maxShare  = 10
	maxBreaks = 8
)
