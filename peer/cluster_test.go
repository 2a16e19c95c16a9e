package peer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/hostlist"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/operator"
	"github.com/galenaweir/galenaweir/peer"
	"github.com/galenaweir/galenaweir/rpc/dial"
	standinlog "github.com/galenaweir/galenaweir/standin/logsvc"
)

const (
	interval  = 50 * time.Millisecond
	waitLimit = 30 * time.Second // generous upper bound; the conditions usually hold much earlier
	seed      = 11
)

// cluster runs a log, a host list and several processes on loopback.
type cluster struct {
	t          *testing.T
	log        *standinlog.Log
	logAddress string
	pool       *dial.Pool
	mu         sync.Mutex
	hosts      []hostlist.Host
	peers      []*peer.Peer
	conns      []*silentConn
}

// silentConn is a connection that can be made to drop all outgoing data.
type silentConn struct {
	net.Conn
	silent atomic.Bool
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *cluster) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	silenceable := &silentConn{Conn: conn}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, silenceable)
	return silenceable, err
}

// silence makes all connections drop their outgoing data and returns their number.
func (c *cluster) silence() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.conns {
		x.silent.Store(true)
	}
	return len(c.conns)
}

// Hosts implements peer.HostList.
func (c *cluster) Hosts(context.Context) (hostlist.List, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return hostlist.List{Hosts: append([]hostlist.Host(nil), c.hosts...)}, nil
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, log: standinlog.New(0, time.Now)}
	s := httptest.NewServer(c.log.Handler())
	t.Cleanup(s.Close)
	c.logAddress = s.Listener.Addr().String()
	c.pool = c.newPool()
	listeners := make([]net.Listener, n)
	for i := range n {
		listeners[i] = c.addHost()
	}
	for i := range n {
		c.peers = append(c.peers, c.startPeer(i, listeners[i]))
	}
	return c
}

func (c *cluster) newPool() *dial.Pool {
	p := dial.New(insecure.NewCredentials(), grpc.WithContextDialer(c.dial))
	c.t.Cleanup(p.Close)
	return p
}

// addHost adds a host to the host list and returns its listener.
func (c *cluster) addHost() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	i := len(c.hosts)
	c.hosts = append(c.hosts, hostlist.Host{ID: fmt.Sprintf("host-%02d", i), Role: "agent", Address: l.Addr().String(), FailureDomain: fmt.Sprint(i % 3), Region: "r"})
	return l
}

func (c *cluster) startPeer(i int, l net.Listener) *peer.Peer {
	h := c.hosts[i]
	p := peer.New(peer.Options{ID: h.ID, Role: h.Role, Address: h.Address, FailureDomain: h.FailureDomain, Region: h.Region,
		Log: logsvc.New(c.logAddress, time.Second), HostList: c, Pool: c.newPool(), RandomSeed: seed, ExchangeInterval: interval})
	s := peer.ServeListener(l, p, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { p.Run(ctx); close(done) }()
	c.t.Cleanup(func() { cancel(); s.Stop(); <-done })
	return p
}

func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	require.Eventually(c.t, condition, waitLimit, interval/10, what)
}

// allPeers returns a function that reports whether the condition holds for all processes.
func (c *cluster) allPeers(condition func(p *peer.Peer) bool) func() bool {
	return func() bool {
		for _, p := range c.peers {
			if !condition(p) {
				return false
			}
		}
		return true
	}
}

func (c *cluster) versionInForce(version int64) func() bool {
	return c.allPeers(func(p *peer.Peer) bool { return p.Current() != nil && p.Current().Version == version })
}

func (c *cluster) publish(name, publisher string, base *int64) (operator.PublishResult, error) {
	return operator.Publish(context.Background(), operator.PublishOptions{Log: logsvc.New(c.logAddress, waitLimit), Pool: c.pool,
		Document: testDocument(c.t, name), BaseVersion: base, Publisher: publisher, RetryInterval: time.Millisecond})
}

func testDocument(t *testing.T, name string) []byte {
	b, err := json.Marshal(config.Document{
		Deployment:     name,
		FailureDomains: map[string]config.FailureDomain{"a": {Region: "r"}},
		Priorities:     map[string]config.Priority{"standard": {DefaultDeadlineMs: 1000}},
		Claims:         config.Claims{Partitions: 8, KeyWindowSeconds: 3600, GroupIntervalMs: 40, MaxAnswerBytes: 1024},
	})
	require.NoError(t, err)
	d, err := config.Canonical(b)
	require.NoError(t, err)
	return d
}
