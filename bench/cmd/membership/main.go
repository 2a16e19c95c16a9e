// Command membership measures the membership protocol in virtual time: messages, bytes,
// CPU time and memory per process, and the time until all processes know of a crash, a
// graceful leave and a new configuration.
package main

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
	"google.golang.org/protobuf/proto"

	"github.com/galenaweir/galenaweir/core/membership"
	"github.com/galenaweir/galenaweir/core/membership/simnet"
	"github.com/galenaweir/galenaweir/peer"
)

// Overhead of one message (request or reply) on the wire, in bytes.
const (
	// http2Bytes covers the HTTP/2 frames of gRPC: HEADERS with indexed fields and a
	// timeout, DATA with the message prefix, trailers, and a share of WINDOW_UPDATE
	// and PING frames. The command prints the value measured on loopback for comparison.
	http2Bytes   = 90
	tlsBytes     = 2 * 22 // one record each for headers and data
	tcpBytes     = 2 * 52 // one data segment and one acknowledgement, IPv4 and TCP with timestamps
	framingBytes = http2Bytes + tlsBytes + tcpBytes
	// tailReadBytes is the size, in both directions, of one read of the log's tail that
	// finds no new records: about 200 bytes of HTTP request, 250 of response, and five
	// segments.
	tailReadBytes = 700
	// hostListBytesPerMember is the size of one read of the host list, per member.
	hostListBytesPerMember = 130
	hostListInterval       = 750 * time.Second // mean interval, with jitter
)

// Limits per process from docs/design.md, section 1.4.
const (
	limitBytes  = 2000.0 // per second
	limitCore   = 0.011
	limitMemory = 128 << 20
	limitConfig = 5 * time.Second
)

type options struct {
	Members []int  `long:"members" description:"numbers of members; by default 10, 100 and 330"`
	Seed    uint64 `long:"seed" default:"1" description:"seed of the random choices"`
	Trials  int    `long:"trials" default:"20" description:"deaths, leavings and publications of each measurement"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if len(o.Members) == 0 {
		o.Members = []int{10, 100, 330}
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	fmt.Printf("seed %d; %d bytes of framing a message (%d HTTP/2, %d TLS, %d TCP/IP)\n", o.Seed, framingBytes, http2Bytes, tlsBytes, tcpBytes)
	measured, err := measureHTTP2Overhead()
	if err != nil {
		return err
	}
	fmt.Printf("measured on loopback: %.0f bytes of HTTP/2 frames a message\n", measured)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	var exceeded []string
	fmt.Fprintln(w, "members\tmsg/s\tB/s sent\tmost\tB/s both ways\tmost\tafter start: sent\tboth ways\tcore %\tKB\tsuspect p50\tmax\tgone p50\tmax\tleaving p50\tmax\tconfig p50\tmax\t")
	for _, n := range o.Members {
		r := measure(o, n)
		fmt.Fprintf(w, "%d\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\t%d\t", n, r.messages, r.sentBytes, r.maxSentBytes, r.bytes, r.maxBytes, r.startSentBytes, r.startBytes, 100*r.coreShare, r.memory>>10)
		for _, ds := range [][]time.Duration{r.suspect, r.gone, r.leaving, r.config} {
			fmt.Fprintf(w, "%s\t%s\t", formatSeconds(p50(ds)), formatSeconds(slices.Max(ds)))
		}
		fmt.Fprintln(w)
		if r.maxBytes > limitBytes || r.coreShare > limitCore || r.memory > limitMemory || slices.Max(r.config) > limitConfig {
			exceeded = append(exceeded, fmt.Sprint(n))
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Printf("limits: %.0f B/s, %.1f%% of a core, %d MB, %v for a configuration\n", limitBytes, 100*limitCore, limitMemory>>20, limitConfig)
	if len(exceeded) > 0 {
		return fmt.Errorf("a limit isn't met at these numbers of members: %v", exceeded)
	}
	return nil
}

func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.1fs", d.Seconds()) }

func p50(ds []time.Duration) time.Duration {
	s := slices.Sorted(slices.Values(ds))
	return s[len(s)/2]
}

// rates holds means over the processes, and the maximum of a single process.
type rates struct {
	messages, sentBytes, bytes, maxSentBytes, maxBytes, coreShare float64
}

type result struct {
	rates
	startSentBytes, startBytes     float64
	memory                         int64 // bytes
	suspect, gone, leaving, config []time.Duration
}

const (
	settleTime     = 600 * time.Second
	trafficTime    = 120 * time.Second
	demandInterval = 2 * time.Second
	stepInterval   = 50 * time.Millisecond
	maxWait        = 5 * time.Minute
	recoveryTime   = 30 * time.Second
)

func measure(o options, members int) result {
	var r result
	before := heap()
	n := simnet.New(simnet.Options{Seed: o.Seed, Nodes: members, Domains: 12,
		MessageSize:  func(m membership.Message) int { return proto.Size(peer.EncodeGossipMessage(m)) },
		SnapshotSize: func(ms []membership.Member) int { return proto.Size(peer.EncodeMembers(ms)) },
	})
	for i, x := range n.Nodes {
		x.Machine.SetEndpoints(0, []membership.Endpoint{{ID: fmt.Sprintf("naviq-%03d", 2*i), WeightVersion: "2026-12-03"}, {ID: fmt.Sprintf("naviq-%03d", 2*i+1), WeightVersion: "2026-12-03"}})
	}
	n.LogVersion = 1
	afterStart := r.measureTraffic(n)
	r.startSentBytes, r.startBytes = afterStart.sentBytes, afterStart.bytes
	n.Run(settleTime)
	r.memory = max(0, heap()-before) / int64(members)
	q := r.measureTraffic(n)
	r.rates = q
	r.measureEvents(n, o.Trials)
	return r
}

func heap() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// measureTraffic measures a period in which only the customers' demand changes.
func (r *result) measureTraffic(n *simnet.Net) rates {
	type counters struct{ sent, sentBytes, received, receivedBytes int }
	initial := map[*simnet.Node]counters{}
	for _, x := range n.Nodes {
		initial[x] = counters{x.Sent, x.SentBytes, x.Received, x.ReceivedBytes}
		x.CPUTime = 0
	}
	for range trafficTime / demandInterval {
		for _, x := range n.Nodes {
			if n.Role(x) == membership.RoleEntry {
				x.Machine.SetDemands(n.Now, []membership.Demand{{Customer: "vadodara-roadways", TokensPerSecond: 10_000}})
			}
		}
		n.Run(demandInterval)
	}
	var q rates
	t, all := trafficTime.Seconds(), float64(len(n.Nodes))
	var cpu time.Duration
	for _, x := range n.Nodes {
		m := initial[x]
		logAndHostList := tailReadBytes/n.PollSeconds(x) + hostListBytesPerMember*all/hostListInterval.Seconds()
		sent := float64(x.SentBytes-m.sentBytes+framingBytes*(x.Sent-m.sent))/t + logAndHostList/2
		both := sent + logAndHostList/2 + float64(x.ReceivedBytes-m.receivedBytes+framingBytes*(x.Received-m.received))/t
		q.messages += float64(x.Sent-m.sent) / t / all
		q.sentBytes += sent / all
		q.bytes += both / all
		q.maxSentBytes, q.maxBytes = max(q.maxSentBytes, sent), max(q.maxBytes, both)
		cpu += x.CPUTime
	}
	q.coreShare = cpu.Seconds() / t / all
	return q
}

// measureEvents measures how long crashes, graceful leaves and publications take to
// reach all processes.
func (r *result) measureEvents(n *simnet.Net, trials int) {
	for i := range trials {
		n.LogVersion = int64(i) + 2
		r.config = append(r.config, n.RunUntilAll(stepInterval, maxWait, func(x *simnet.Node) bool { return x.ConfigVersion >= n.LogVersion }))
		x := n.Nodes[(i*7+3)%len(n.Nodes)] // usually another process in each trial
		state := func(s membership.State) func(*simnet.Node) bool {
			return func(y *simnet.Node) bool { m, _ := y.Machine.Get(n.Now, x.ID); return y == x || m.State >= s }
		}
		n.Stop(x)
		d := n.RunUntilAll(stepInterval, maxWait, state(membership.Suspect))
		r.suspect = append(r.suspect, d)
		r.gone = append(r.gone, d+n.RunUntilAll(stepInterval, maxWait, state(membership.Gone)))
		n.Start(x)
		n.Run(recoveryTime)
		y := n.Nodes[(i*11+5)%len(n.Nodes)]
		x = y
		n.RunCommands(y, y.Machine.Leave(n.Now))
		r.leaving = append(r.leaving, n.RunUntilAll(stepInterval, maxWait, state(membership.Leaving)))
		n.Stop(y)
		n.Run(recoveryTime)
		n.Start(y)
		n.Run(recoveryTime)
	}
}
