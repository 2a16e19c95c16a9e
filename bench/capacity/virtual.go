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

// Virtual times of the simulations.
const (
	settleTime        = time.Minute
	quietTime         = 2 * time.Minute
	partitionDuration = time.Hour
	stepInterval      = 50 * time.Millisecond
	convergenceLimit  = 5 * time.Minute
	domainOutage      = 5 * time.Second // time until a lost failure domain returns
	// changeInterval is not a multiple of the polling intervals, so that the changes
	// arrive at different phases of the polling.
	changeInterval = 22_070 * time.Millisecond
)

// simFigures holds the figures of one simulated size.
type simFigures struct {
	messages, bytes                   float64 // per daemon and second, sent and received
	fanOut                            float64 // seconds until all daemons have a new version
	snapshot                          float64 // bytes
	domainReturn, domainReturnBytes   float64 // seconds until all daemons agree after a failure domain returns; bytes per daemon and second meanwhile
	regionMerge, regionMergeBytes     float64 // the same when a region reconnects after an hour
	regionMergeMost                   float64 // seconds until each daemon sees mostShare of all
	partitionMessages, partitionBytes float64 // per daemon and second while the region is cut off
}

var errNotConverged = errors.New("simulated daemons did not converge within the time limit")

func newNet(n int) *simnet.Net {
	return simnet.New(simnet.Options{Seed: seed, Nodes: n, Domains: targetDomains,
		MessageSize:  func(m membership.Message) int { return proto.Size(peer.EncodeGossipMessage(m)) },
		SnapshotSize: func(ms []membership.Member) int { return proto.Size(peer.EncodeMembers(ms)) },
	})
}

type traffic struct{ messages, bytes float64 }

// totalTraffic returns the messages and bytes sent and received by all daemons so far.
func totalTraffic(n *simnet.Net) (t traffic) {
	for _, x := range n.Nodes {
		t.messages += float64(x.Sent + x.Received)
		t.bytes += float64(x.SentBytes + x.ReceivedBytes)
	}
	return t
}

// trafficRate returns the traffic since an earlier total, per daemon and second.
func trafficRate(n *simnet.Net, since traffic, d time.Duration) traffic {
	t, k := totalTraffic(n), float64(len(n.Nodes))*d.Seconds()
	return traffic{(t.messages - since.messages) / k, (t.bytes - since.bytes) / k}
}

// mostShare is the share of the daemons that mostVisible requires.
const mostShare = 0.95

// mostVisible reports whether each daemon sees mostShare of all daemons, all of which
// must be running.
func mostVisible(n *simnet.Net) bool {
	for _, x := range n.Nodes {
		if float64(len(x.Machine.Members(n.Now))) < mostShare*float64(len(n.Nodes)) {
			return false
		}
	}
	return true
}

// membershipConverged reports whether every running daemon sees exactly the running
// daemons.
func membershipConverged(n *simnet.Net) bool {
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

func simulate(size int) (v simFigures, err error) {
	n := newNet(size)
	n.Run(settleTime)
	before := totalTraffic(n)
	n.Run(quietTime)
	quiet := trafficRate(n, before, quietTime)
	v.messages, v.bytes = quiet.messages, quiet.bytes
	v.snapshot = float64(proto.Size(peer.EncodeMembers(n.Nodes[0].Machine.Snapshot())))
	if v.fanOut, err = fanOut(n); err != nil {
		return v, err
	}
	if v.domainReturn, v.domainReturnBytes, err = domainReturn(n); err != nil {
		return v, err
	}
	n.Run(settleTime)
	return v, regionPartition(n, &v)
}

// fanOut returns the longest time in seconds that any of several changes takes from the
// log to all daemons.
func fanOut(n *simnet.Net) (float64, error) {
	const changes = 5
	worst := time.Duration(0)
	for range changes {
		n.LogVersion++
		d, ok := n.RunUntil(stepInterval, convergenceLimit, func() bool {
			for _, x := range n.Nodes {
				if x.ConfigVersion < n.LogVersion {
					return false
				}
			}
			return true
		})
		if !ok {
			return 0, errNotConverged
		}
		worst = max(worst, d)
		n.Run(changeInterval)
	}
	return worst.Seconds(), nil
}

// domainReturn crashes a failure domain, restarts all its daemons at once and waits
// until all agree.
func domainReturn(n *simnet.Net) (seconds, bytes float64, err error) {
	var lost []*simnet.Node
	for _, x := range n.Nodes {
		if n.FailureDomain(x) == domainName(1) {
			n.Stop(x)
			lost = append(lost, x)
		}
	}
	n.Run(domainOutage)
	before := totalTraffic(n)
	for _, x := range lost {
		n.Start(x)
	}
	d, ok := n.RunUntil(stepInterval, convergenceLimit, func() bool {
		for _, x := range lost {
			if !x.Machine.Joined() {
				return false
			}
		}
		return membershipConverged(n)
	})
	if !ok {
		return 0, 0, errNotConverged
	}
	return d.Seconds(), trafficRate(n, before, d).bytes, nil
}

// regionPartition disconnects one region for an hour and measures how long the merge
// takes.
func regionPartition(n *simnet.Net, v *simFigures) error {
	cut := true
	last := regionName(targetDomains - 1)
	n.Drop = func(a, b *simnet.Node) bool { return cut && (n.Region(a) == last) != (n.Region(b) == last) }
	before := totalTraffic(n)
	n.Run(partitionDuration)
	r := trafficRate(n, before, partitionDuration)
	v.partitionMessages, v.partitionBytes = r.messages, r.bytes
	cut = false
	before = totalTraffic(n)
	most, ok := n.RunUntil(stepInterval, convergenceLimit, func() bool { return mostVisible(n) })
	if !ok {
		return errNotConverged
	}
	rest, ok := n.RunUntil(stepInterval, convergenceLimit, func() bool { return membershipConverged(n) })
	if !ok {
		return errNotConverged
	}
	d := most + rest
	v.regionMergeMost = most.Seconds()
	v.regionMerge, v.regionMergeBytes = d.Seconds(), trafficRate(n, before, d).bytes
	return nil
}

var daemonSizes = []int{10, 33, 100, targetDaemons}

// virtualSlopes simulates all sizes concurrently. Only messages and virtual times are
// measured, so the load of the host doesn't affect the result. The framing is the
// number of bytes to add to each message.
func virtualSlopes(framing float64) ([]Slope, error) {
	vs := make([]simFigures, len(daemonSizes))
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
	slope := func(id, text, unit string, limit float64, y func(simFigures) float64) Slope {
		s := Slope{ID: id, Description: text, Unit: unit, XUnit: "daemons", Method: methodVirtual, Target: targetDaemons, Limit: limit}
		for i, v := range vs {
			s.Points = append(s.Points, Point{float64(daemonSizes[i]), y(v)})
		}
		return s.fit()
	}
	framed := func(v simFigures) float64 { return v.bytes + framing*v.messages }
	return []Slope{
		slope("control_messages", "gossip messages of a daemon, sent and received", "1/s", 0, func(v simFigures) float64 { return v.messages }),
		slope("control_payload", "gossip bytes of a daemon without framing", "bytes/s", 0, func(v simFigures) float64 { return v.bytes }),
		slope("control_bytes", "gossip bytes of a daemon with TLS framing", "bytes/s", limitControlBytes, framed),
		slope("config_fan_out", "a new version from the log to all daemons, longest of 5", "s", limitConfigSeconds, func(v simFigures) float64 { return v.fanOut }),
		slope("member_snapshot", "snapshot of the members", "bytes", 0, func(v simFigures) float64 { return v.snapshot }),
		slope("domain_back_time", "a failure domain returns at once: all agree after", "s", limitReconvergenceSec, func(v simFigures) float64 { return v.domainReturn }),
		slope("domain_back_bytes", "gossip and snapshot bytes of a daemon meanwhile, without framing", "bytes/s", limitControlBytes, func(v simFigures) float64 { return v.domainReturnBytes }),
		slope("region_cut_bytes", "gossip bytes of a daemon in an hour without one region, with TLS framing", "bytes/s", limitControlBytes, func(v simFigures) float64 { return v.partitionBytes + framing*v.partitionMessages }),
		slope("region_merge_time", "regions reconnect after an hour: all agree after", "s", limitReconvergenceSec, func(v simFigures) float64 { return v.regionMerge }),
		slope("region_merge_most_time", "and each daemon sees 95% of all after", "s", limitReconvergenceSec, func(v simFigures) float64 { return v.regionMergeMost }),
		slope("region_merge_bytes", "gossip bytes of a daemon meanwhile, without framing", "bytes/s", limitControlBytes, func(v simFigures) float64 { return v.regionMergeBytes }),
	}, nil
}
