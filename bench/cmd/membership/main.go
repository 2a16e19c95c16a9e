// Command membership measures the control traffic of the processes in virtual
// time: messages, bytes, CPU time and memory of each, and how long a death, a
// leaving and a new configuration take to reach all.
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

// Overhead of one message, request or reply, on the wire, in bytes.
const (
	// http2Bytes are the frames of gRPC: HEADERS with indexed fields and a
	// timeout, DATA with the message prefix, trailers, and the share of WINDOW_UPDATE
	// and PING frames. The command prints what it measures on loopback.
	http2Bytes = 90
	tlsBytes   = 2 * 22 // records of headers and data
	tcpBytes   = 2 * 52 // a segment with data and an acknowledgement, IPv4 and TCP with timestamps
	framing    = http2Bytes + tlsBytes + tcpBytes
	// pollBytes are one read of the log's tail without news, both directions: about
	// 200 of HTTP request, 250 of answer and five segments.
	pollBytes = 700
	// listBytes are one read of the host list for each member.
	listBytes    = 130
	listInterval = 750 * time.Second // mean, with jitter
)

// Limits of docs/design.md, section 1.4.
const (
	limitBytes  = 2000.0 // a second
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
	fmt.Printf("seed %d; %d bytes of framing a message (%d HTTP/2, %d TLS, %d TCP/IP)\n", o.Seed, framing, http2Bytes, tlsBytes, tcpBytes)
	measured, err := measureHTTP2()
	if err != nil {
		return err
	}
	fmt.Printf("measured on loopback: %.0f bytes of HTTP/2 frames a message\n", measured)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	var over []string
	fmt.Fprintln(w, "members\tmsg/s\tB/s sent\tmost\tB/s both ways\tmost\tafter start: sent\tboth ways\tcore %\tKB\tsuspect p50\tmax\tgone p50\tmax\tleaving p50\tmax\tconfig p50\tmax\t")
	for _, n := range o.Members {
		r := measure(o, n)
		fmt.Fprintf(w, "%d\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\t%d\t", n, r.messages, r.sentBytes, r.mostSent, r.bytes, r.mostBytes, r.busySent, r.busyBytes, 100*r.core, r.memory>>10)
		for _, ds := range [][]time.Duration{r.suspect, r.gone, r.leaving, r.config} {
			fmt.Fprintf(w, "%s\t%s\t", secs(p50(ds)), secs(slices.Max(ds)))
		}
		fmt.Fprintln(w)
		if r.mostBytes > limitBytes || r.core > limitCore || r.memory > limitMemory || slices.Max(r.config) > limitConfig {
			over = append(over, fmt.Sprint(n))
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Printf("limits: %.0f B/s, %.1f%% of a core, %d MB, %v for a configuration\n", limitBytes, 100*limitCore, limitMemory>>20, limitConfig)
	if len(over) > 0 {
		return fmt.Errorf("a limit isn't met at these numbers of members: %v", over)
	}
	return nil
}

func secs(d time.Duration) string { return fmt.Sprintf("%.1fs", d.Seconds()) }

func p50(ds []time.Duration) time.Duration {
	s := slices.Sorted(slices.Values(ds))
	return s[len(s)/2]
}

// rates are means over the processes, and the values of the one with the most.
type rates struct {
	messages, sentBytes, bytes, mostSent, mostBytes, core float64
}

type result struct {
	rates
	busySent, busyBytes            float64
	memory                         int64 // bytes
	suspect, gone, leaving, config []time.Duration
}

const (
	settle        = 600 * time.Second
	quiet         = 120 * time.Second
	usageInterval = 2 * time.Second
	step          = 50 * time.Millisecond
	maxWait       = 5 * time.Minute
	recovery      = 30 * time.Second
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
	busy := r.traffic(n)
	r.busySent, r.busyBytes = busy.sentBytes, busy.bytes
	n.Run(settle)
	r.memory = max(0, heap()-before) / int64(members)
	q := r.traffic(n)
	r.rates = q
	r.events(n, o.Trials)
	return r
}

func heap() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// traffic measures a time in which nothing happens but customers' usage.
func (r *result) traffic(n *simnet.Net) rates {
	type mark struct{ sent, sentBytes, received, receivedBytes int }
	marks := map[*simnet.Node]mark{}
	for _, x := range n.Nodes {
		marks[x] = mark{x.Sent, x.SentBytes, x.Received, x.ReceivedBytes}
		x.CPUTime = 0
	}
	for range quiet / usageInterval {
		for _, x := range n.Nodes {
			if n.Role(x) == membership.RoleEntry {
				x.Machine.SetUsage(n.Now, []membership.Usage{{Customer: "vadodara-roadways", TokensPerSecond: 10_000}})
			}
		}
		n.Run(usageInterval)
	}
	var q rates
	t, all := quiet.Seconds(), float64(len(n.Nodes))
	var cpu time.Duration
	for _, x := range n.Nodes {
		m := marks[x]
		other := pollBytes/n.PollSeconds(x) + listBytes*all/listInterval.Seconds()
		sent := float64(x.SentBytes-m.sentBytes+framing*(x.Sent-m.sent))/t + other/2
		both := sent + other/2 + float64(x.ReceivedBytes-m.receivedBytes+framing*(x.Received-m.received))/t
		q.messages += float64(x.Sent-m.sent) / t / all
		q.sentBytes += sent / all
		q.bytes += both / all
		q.mostSent, q.mostBytes = max(q.mostSent, sent), max(q.mostBytes, both)
		cpu += x.CPUTime
	}
	q.core = cpu.Seconds() / t / all
	return q
}

// events measures deaths, leavings and publications.
func (r *result) events(n *simnet.Net, trials int) {
	for i := range trials {
		n.LogVersion = int64(i) + 2
		r.config = append(r.config, n.RunUntilAll(step, maxWait, func(x *simnet.Node) bool { return x.ConfigVersion >= n.LogVersion }))
		x := n.Nodes[(i*7+3)%len(n.Nodes)]
		state := func(s membership.State) func(*simnet.Node) bool {
			return func(y *simnet.Node) bool { m, _ := y.Machine.Get(n.Now, x.ID); return y == x || m.State >= s }
		}
		n.Stop(x)
		d := n.RunUntilAll(step, maxWait, state(membership.Suspect))
		r.suspect = append(r.suspect, d)
		r.gone = append(r.gone, d+n.RunUntilAll(step, maxWait, state(membership.Gone)))
		n.Start(x)
		n.Run(recovery)
		y := n.Nodes[(i*11+5)%len(n.Nodes)]
		x = y
		n.RunCommands(y, y.Machine.Leave(n.Now))
		r.leaving = append(r.leaving, n.RunUntilAll(step, maxWait, state(membership.Leaving)))
		n.Stop(y)
		n.Run(recovery)
		n.Start(y)
		n.Run(recovery)
	}
}
