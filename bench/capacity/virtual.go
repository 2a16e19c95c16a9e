package capacity

import (
	"errors"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/galenaweir/galenaweir/core/membership"
	"github.com/galenaweir/galenaweir/core/membership/simnet"
	"github.com/galenaweir/galenaweir/peer"
)

// Times of the simulations, virtual.
const (
	settleTime = time.Minute
	quietTime  = 2 * time.Minute
	cutTime    = time.Hour
	stepTime   = 50 * time.Millisecond
	healLimit  = 5 * time.Minute
	restarts   = 5 * time.Second // a lost failure domain returns after this
	// betweenChanges is no multiple of the polling intervals, so that the changes
	// fall into different phases of them.
	betweenChanges = 22_070 * time.Millisecond
)

// figures of one simulated size.
type virtual struct {
	messages, bytes       float64 // for each daemon and second, sent and received
	fanOut                float64 // seconds until a new version is everywhere
	snapshot              float64 // bytes
	back, backBytes       float64 // seconds until a failure domain is back; bytes per daemon and second meanwhile
	merge, mergeBytes     float64 // the same after an hour without a region
	mergeMost             float64 // seconds until each daemon sees nearly all
	cutMessages, cutBytes float64 // during that hour
}

var errNotSettled = errors.New("the simulated daemons don't agree on the members within the limit")

func newNet(n int) *simnet.Net {
	return simnet.New(simnet.Options{Seed: seed, Nodes: n, Domains: targetDomains,
		MessageSize:  func(m membership.Message) int { return proto.Size(peer.EncodeGossipMessage(m)) },
		SnapshotSize: func(ms []membership.Member) int { return proto.Size(peer.EncodeMembers(ms)) },
	})
}

type traffic struct{ messages, bytes float64 }

// total counts what is sent and what is received.
func total(n *simnet.Net) (t traffic) {
	for _, x := range n.Nodes {
		t.messages += float64(x.Sent + x.Received)
		t.bytes += float64(x.SentBytes + x.ReceivedBytes)
	}
	return t
}

// rate returns the traffic since a count, for each daemon and second.
func rate(n *simnet.Net, since traffic, d time.Duration) traffic {
	t, k := total(n), float64(len(n.Nodes))*d.Seconds()
	return traffic{(t.messages - since.messages) / k, (t.bytes - since.bytes) / k}
}

// mostShare is the share of the daemons that counts as nearly all.
const mostShare = 0.95

// mostSeen reports whether each daemon sees nearly all; all must run.
func mostSeen(n *simnet.Net) bool {
	for _, x := range n.Nodes {
		if float64(len(x.Machine.Members(n.Now))) < mostShare*float64(len(n.Nodes)) {
			return false
		}
	}
	return true
}

// agreed reports whether all running daemons see all running ones and no others.
func agreed(n *simnet.Net) bool {
	up := 0
	for _, x := range n.Nodes {
		if x.Running {
			up++
		}
	}
	for _, x := range n.Nodes {
		if x.Running && len(x.Machine.Members(n.Now)) != up {
			return false
		}
	}
	return true
}

func simulate(size int) (v virtual, err error) {
	n := newNet(size)
	n.Run(settleTime)
	before := total(n)
	n.Run(quietTime)
	quiet := rate(n, before, quietTime)
	v.messages, v.bytes = quiet.messages, quiet.bytes
	v.snapshot = float64(proto.Size(peer.EncodeMembers(n.Nodes[0].Machine.Snapshot())))
	if v.fanOut, err = fanOut(n); err != nil {
		return v, err
	}
	if v.back, v.backBytes, err = domainBack(n); err != nil {
		return v, err
	}
	n.Run(settleTime)
	return v, regionCut(n, &v)
}

// fanOut returns the longest of several changes from the log's tail to all.
func fanOut(n *simnet.Net) (float64, error) {
	const changes = 5
	worst := time.Duration(0)
	for range changes {
		n.LogVersion++
		d, ok := n.RunUntil(stepTime, healLimit, func() bool {
			for _, x := range n.Nodes {
				if x.ConfigVersion < n.LogVersion {
					return false
				}
			}
			return true
		})
		if !ok {
			return 0, errNotSettled
		}
		worst = max(worst, d)
		n.Run(betweenChanges)
	}
	return worst.Seconds(), nil
}

// domainBack lets a failure domain crash and return at once.
func domainBack(n *simnet.Net) (seconds, bytes float64, err error) {
	var lost []*simnet.Node
	for _, x := range n.Nodes {
		if n.FailureDomain(x) == domainName(1) {
			n.Stop(x)
			lost = append(lost, x)
		}
	}
	n.Run(restarts)
	before := total(n)
	for _, x := range lost {
		n.Start(x)
	}
	d, ok := n.RunUntil(stepTime, healLimit, func() bool {
		for _, x := range lost {
			if !x.Machine.Joined() {
				return false
			}
		}
		return agreed(n)
	})
	if !ok {
		return 0, 0, errNotSettled
	}
	return d.Seconds(), rate(n, before, d).bytes, nil
}

// regionCut cuts one region off for an hour and reconnects it.
func regionCut(n *simnet.Net, v *virtual) error {
	cut := true
	last := regionName(targetDomains - 1)
	n.Drop = func(a, b *simnet.Node) bool { return cut && (n.Region(a) == last) != (n.Region(b) == last) }
	before := total(n)
	n.Run(cutTime)
	r := rate(n, before, cutTime)
	v.cutMessages, v.cutBytes = r.messages, r.bytes
	cut = false
	before = total(n)
	most, ok := n.RunUntil(stepTime, healLimit, func() bool { return mostSeen(n) })
	if !ok {
		return errNotSettled
	}
	rest, ok := n.RunUntil(stepTime, healLimit, func() bool { return agreed(n) })
	if !ok {
		return errNotSettled
	}
	d := most + rest
	v.mergeMost = most.Seconds()
	v.merge, v.mergeBytes = d.Seconds(), rate(n, before, d).bytes
	return nil
}

var daemonSizes = []int{10, 33, 100, targetDaemons}

// virtualSlopes simulates all sizes at once; only messages and virtual times are
// taken, so that the load of the machine doesn't change the result. The framing
// is added to each message.
func virtualSlopes(framing float64) ([]Slope, error) {
	vs := make([]virtual, len(daemonSizes))
	var g errgroup.Group
	for i, size := range daemonSizes {
		g.Go(func() (err error) {
			vs[i], err = simulate(size)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	slope := func(id, text, unit string, limit float64, y func(virtual) float64) Slope {
		s := Slope{ID: id, Text: text, Unit: unit, XUnit: "daemons", How: howVirtual, Target: targetDaemons, Limit: limit}
		for i, v := range vs {
			s.Points = append(s.Points, Point{float64(daemonSizes[i]), y(v)})
		}
		return s.fit()
	}
	framed := func(v virtual) float64 { return v.bytes + framing*v.messages }
	return []Slope{
		slope("control_messages", "gossip messages of a daemon, sent and received", "1/s", 0, func(v virtual) float64 { return v.messages }),
		slope("control_payload", "gossip bytes of a daemon without framing", "bytes/s", 0, func(v virtual) float64 { return v.bytes }),
		slope("control_bytes", "gossip bytes of a daemon with TLS framing", "bytes/s", limitControlBytes, framed),
		slope("config_fan_out", "a new version from the log to all daemons, longest of 5", "s", limitConfigSeconds, func(v virtual) float64 { return v.fanOut }),
		slope("member_snapshot", "snapshot of the members", "bytes", 0, func(v virtual) float64 { return v.snapshot }),
		slope("domain_back_time", "a failure domain returns at once: all agree after", "s", limitOutOfContactSec, func(v virtual) float64 { return v.back }),
		slope("domain_back_bytes", "gossip and snapshot bytes of a daemon meanwhile, without framing", "bytes/s", limitControlBytes, func(v virtual) float64 { return v.backBytes }),
		slope("region_cut_bytes", "gossip bytes of a daemon in an hour without one region, with TLS framing", "bytes/s", limitControlBytes, func(v virtual) float64 { return v.cutBytes + framing*v.cutMessages }),
		slope("region_merge_time", "regions reconnect after an hour: all agree after", "s", limitOutOfContactSec, func(v virtual) float64 { return v.merge }),
		slope("region_merge_most_time", "and each daemon sees 95% of all after", "s", limitOutOfContactSec, func(v virtual) float64 { return v.mergeMost }),
		slope("region_merge_bytes", "gossip bytes of a daemon meanwhile, without framing", "bytes/s", limitControlBytes, func(v virtual) float64 { return v.mergeBytes }),
	}, nil
}
