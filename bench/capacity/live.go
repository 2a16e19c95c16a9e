package capacity

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/galenaweir/galenaweir/core/membership"
	"github.com/galenaweir/galenaweir/hostlist"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/peer"
	"github.com/galenaweir/galenaweir/rpc/dial"
	standinlog "github.com/galenaweir/galenaweir/standin/logsvc"
)

// Times of a run with real daemons.
const (
	convergenceTimeout      = 2 * time.Minute
	convergencePollInterval = 200 * time.Millisecond
	connectionWarmUp        = 10 * time.Second // one full rotation over the ring neighbors, after which all connections are open
	liveMeasureTime         = 8 * time.Second
	logTimeout              = 2 * time.Second
)

// fleet is the control part of a number of daemons in this process: real peers that
// use gRPC with mutual TLS, and a log that is served over HTTP.
type fleet struct {
	peers        []*peer.Peer
	servers      []*grpc.Server
	pools        []*dial.Pool
	log          *http.Server
	logReads     atomic.Int64
	controlMeter trafficMeter
	logMeter     trafficMeter
	cancel       context.CancelFunc
}

// staticHostList is a host list that never changes.
type staticHostList struct{ list hostlist.List }

// Hosts implements peer.HostList.
func (l staticHostList) Hosts(context.Context) (hostlist.List, error) { return l.list, nil }

// daemonRole returns the role of daemon i of n. The first ones are entries, in the
// target's proportion of entries to agents.
func daemonRole(i, n int) string {
	if i < n*targetEntries/targetDaemons {
		return membership.RoleEntry
	}
	return membership.RoleAgent
}

func startFleet(n int, text []byte, server, client credentials.TransportCredentials) (*fleet, error) {
	f := &fleet{}
	address, err := f.startLog(text)
	if err != nil {
		return nil, err
	}
	var listeners []net.Listener
	var list hostlist.List
	for i := range n {
		l, err := net.Listen("tcp", anyPort)
		if err != nil {
			f.stop()
			return nil, fmt.Errorf("listen for daemon %d: %w", i, err)
		}
		listeners = append(listeners, l)
		list.Hosts = append(list.Hosts, hostlist.Host{ID: fmt.Sprintf("host-%03d", i), Role: daemonRole(i, n), Address: l.Addr().String(),
			FailureDomain: domainName(i), Region: regionName(i)})
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for i, h := range list.Hosts {
		pool := dial.New(client, f.controlMeter.dialer())
		p := peer.New(peer.Options{ID: h.ID, Role: h.Role, Address: h.Address, FailureDomain: h.FailureDomain, Region: h.Region,
			Log: logsvc.New(address, logTimeout), HostList: staticHostList{list}, Pool: pool, RandomSeed: uint64(i)})
		f.pools = append(f.pools, pool)
		f.peers = append(f.peers, p)
		f.servers = append(f.servers, peer.ServeListener(listeners[i], p, []grpc.ServerOption{grpc.Creds(server)}))
		go p.Run(ctx)
	}
	return f, nil
}

// startLog starts a log that contains the document and returns its address.
func (f *fleet) startLog(text []byte) (string, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", fmt.Errorf("listen for the log: %w", err)
	}
	h := standinlog.New(0, time.Now).Handler()
	f.log = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.logReads.Add(1)
		h.ServeHTTP(w, r)
	})}
	go func() { _ = f.log.Serve(meteredListener{l, &f.logMeter}) }()
	_, err = peer.AppendConfigRecord(context.Background(), logsvc.New(l.Addr().String(), logTimeout), firstRecord(text))
	return l.Addr().String(), err
}

func (f *fleet) stop() {
	if f.cancel != nil {
		f.cancel()
	}
	for _, p := range f.pools {
		p.Close()
	}
	for _, s := range f.servers {
		s.Stop()
	}
	_ = f.log.Close()
}

// waitConverged waits until every daemon has the configuration and all members.
func (f *fleet) waitConverged() error {
	for end := time.Now().Add(convergenceTimeout); time.Now().Before(end); time.Sleep(convergencePollInterval) {
		ok := true
		for _, p := range f.peers {
			ok = ok && p.Current() != nil && len(p.All()) == len(f.peers)
		}
		if ok {
			return nil
		}
	}
	return errors.New("daemons did not converge on configuration and members within the time limit")
}

// liveFigures holds the figures for one fleet size, per daemon except for logReads and
// bytesPerLogRead.
type liveFigures struct{ memory, bytes, segments, cpu, logReads, bytesPerLogRead float64 }

func measureFleet(n int, text []byte) (v liveFigures, err error) {
	server, client, err := mutualTLS()
	if err != nil {
		return v, err
	}
	before := liveHeapBytes()
	f, err := startFleet(n, text, server, client)
	if err != nil {
		return v, err
	}
	defer f.stop()
	if err := f.waitConverged(); err != nil {
		return v, err
	}
	time.Sleep(connectionWarmUp)
	bytes, writes, reads, logBytes := f.controlMeter.bytes.Load(), f.controlMeter.writes.Load(), f.logReads.Load(), f.logMeter.bytes.Load()
	start, err := processCPU()
	if err != nil {
		return v, err
	}
	time.Sleep(liveMeasureTime)
	end, err := processCPU()
	if err != nil {
		return v, err
	}
	// A byte is counted once, on the dialing side, although one daemon sends it and
	// another receives it. Writes of the dialing side are doubled once more for the
	// writes of the other side, which are not counted.
	daemonSeconds := float64(n) * liveMeasureTime.Seconds()
	v.bytes = 2 * float64(f.controlMeter.bytes.Load()-bytes) / daemonSeconds
	v.segments = 2 * 2 * float64(f.controlMeter.writes.Load()-writes) / daemonSeconds
	v.cpu = (end - start).Seconds() / daemonSeconds
	v.logReads = float64(f.logReads.Load()-reads) / liveMeasureTime.Seconds()
	v.bytesPerLogRead = float64(f.logMeter.bytes.Load()-logBytes) / float64(f.logReads.Load()-reads)
	v.memory = (liveHeapBytes() - before) / float64(n) / mebibyte
	return v, nil
}

const percent = 100

// liveCustomers is small so that many daemons start quickly on one host. The cost
// of the target's document is measured separately.
const liveCustomers = 100

// liveSlopes measures fleets of real daemons of different sizes.
func liveSlopes() ([]Slope, error) {
	text, err := canonicalText(document(liveCustomers))
	if err != nil {
		return nil, err
	}
	slope := func(id, text, unit string, scale Scale, limit float64) *Slope {
		return &Slope{ID: id, Description: text, Unit: unit, XUnit: "daemons", Method: methodLoopback, Scale: scale, Target: targetDaemons, Limit: limit}
	}
	cpu := slope("live_cpu", "CPU time of control of a daemon, TLS, its share of the log's stand-in included", "% of a core", Linear, limitControlCores*percent)
	memory := slope("live_memory", "live heap and stacks of control of a daemon, document of 100 customers, TLS connections", "MiB", Log2, limitControlMiB)
	bytes := slope("live_bytes", "control bytes of a daemon over gRPC and TLS, sent and received", "bytes/s", Linear, limitControlBytes)
	segments := slope("live_segments", "writes to control connections of a daemon, sent and received", "1/s", Linear, 0)
	reads := slope("live_log_reads", "reads of the configuration stream by all daemons", "1/s", Linear, 0)
	perRead := slope("live_log_read_bytes", "HTTP bytes of a read of the configuration stream that finds nothing new, both ways", "bytes", Linear, 0)
	for _, n := range daemonSizes {
		v, err := measureFleet(n, text)
		if err != nil {
			return nil, fmt.Errorf("%d daemons: %w", n, err)
		}
		x := float64(n)
		cpu.Points = append(cpu.Points, Point{x, v.cpu * percent})
		memory.Points = append(memory.Points, Point{x, v.memory})
		bytes.Points = append(bytes.Points, Point{x, v.bytes})
		segments.Points = append(segments.Points, Point{x, v.segments})
		reads.Points = append(reads.Points, Point{x, v.logReads})
		perRead.Points = append(perRead.Points, Point{x, v.bytesPerLogRead})
	}
	return []Slope{cpu.fit(), memory.fit(), bytes.fit(), segments.fit(), reads.fit(), perRead.fit()}, nil
}
