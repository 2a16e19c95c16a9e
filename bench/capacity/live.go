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

// Times of a run of real daemons.
const (
	agreeLimit  = 2 * time.Minute
	agreePoll   = 200 * time.Millisecond
	connectTime = 10 * time.Second // a rotation over the ring neighbours, after which no connection is new
	liveTime    = 8 * time.Second
	logTimeout  = 2 * time.Second
)

// fleet is a number of daemons' control in this process: real peers over gRPC
// with mutual TLS, and a log over HTTP.
type fleet struct {
	peers    []*peer.Peer
	servers  []*grpc.Server
	pools    []*dial.Pool
	log      *http.Server
	logReads atomic.Int64
	control  meter
	logMeter meter
	cancel   context.CancelFunc
}

// staticList is a host list that doesn't change.
type staticList struct{ list hostlist.List }

// Hosts implements peer.HostList.
func (l staticList) Hosts(context.Context) (hostlist.List, error) { return l.list, nil }

// daemonRole gives the first daemons the role of an entry, in the target's
// proportion.
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
	var ls []net.Listener
	var list hostlist.List
	for i := range n {
		l, err := net.Listen("tcp", anyPort)
		if err != nil {
			f.stop()
			return nil, fmt.Errorf("listen for daemon %d: %w", i, err)
		}
		ls = append(ls, l)
		list.Hosts = append(list.Hosts, hostlist.Host{ID: fmt.Sprintf("host-%03d", i), Role: daemonRole(i, n), Address: l.Addr().String(),
			FailureDomain: domainName(i), Region: regionName(i)})
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for i, h := range list.Hosts {
		pool := dial.New(client, f.control.dialer())
		p := peer.New(peer.Options{ID: h.ID, Role: h.Role, Address: h.Address, FailureDomain: h.FailureDomain, Region: h.Region,
			Log: logsvc.New(address, logTimeout), HostList: staticList{list}, Pool: pool, RandomSeed: uint64(i)})
		f.pools = append(f.pools, pool)
		f.peers = append(f.peers, p)
		f.servers = append(f.servers, peer.ServeListener(ls[i], p, []grpc.ServerOption{grpc.Creds(server)}))
		go p.Run(ctx)
	}
	return f, nil
}

// startLog starts a log that holds the document.
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

// agree waits until every daemon has the configuration and sees all others.
func (f *fleet) agree() error {
	for end := time.Now().Add(agreeLimit); time.Now().Before(end); time.Sleep(agreePoll) {
		ok := true
		for _, p := range f.peers {
			ok = ok && p.Current() != nil && len(p.All()) == len(f.peers)
		}
		if ok {
			return nil
		}
	}
	return errors.New("the daemons don't agree on configuration and members within the limit")
}

// live holds the figures of one size, for each daemon but logReads.
type live struct{ memory, bytes, segments, cpu, logReads, logBytes float64 }

func measureFleet(n int, text []byte) (v live, err error) {
	server, client, err := mutualTLS()
	if err != nil {
		return v, err
	}
	before := heapBytes()
	f, err := startFleet(n, text, server, client)
	if err != nil {
		return v, err
	}
	defer f.stop()
	if err := f.agree(); err != nil {
		return v, err
	}
	time.Sleep(connectTime)
	bytes, writes, reads, logBytes := f.control.bytes.Load(), f.control.writes.Load(), f.logReads.Load(), f.logMeter.bytes.Load()
	start, err := processCPU()
	if err != nil {
		return v, err
	}
	time.Sleep(liveTime)
	end, err := processCPU()
	if err != nil {
		return v, err
	}
	// A byte is counted once, at the side that dialled; one daemon sends it and
	// another receives it.
	each := float64(n) * liveTime.Seconds()
	v.bytes = 2 * float64(f.control.bytes.Load()-bytes) / each
	v.segments = 2 * 2 * float64(f.control.writes.Load()-writes) / each
	v.cpu = (end - start).Seconds() / each
	v.logReads = float64(f.logReads.Load()-reads) / liveTime.Seconds()
	v.logBytes = float64(f.logMeter.bytes.Load()-logBytes) / float64(f.logReads.Load()-reads)
	v.memory = (heapBytes() - before) / float64(n) / mebibyte
	return v, nil
}

const percent = 100

// liveCustomers keeps the start of many daemons short on one machine. The cost of
// the target's document is measured by itself.
const liveCustomers = 100

// liveSlopes runs real daemons.
func liveSlopes() ([]Slope, error) {
	text, err := canonical(document(liveCustomers))
	if err != nil {
		return nil, err
	}
	slope := func(id, text, unit string, scale Scale, limit float64) *Slope {
		return &Slope{ID: id, Text: text, Unit: unit, XUnit: "daemons", How: howLoopback, Scale: scale, Target: targetDaemons, Limit: limit}
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
		perRead.Points = append(perRead.Points, Point{x, v.logBytes})
	}
	return []Slope{cpu.fit(), memory.fit(), bytes.fit(), segments.fit(), reads.fit(), perRead.fit()}, nil
}
