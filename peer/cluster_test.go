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
	interval = 50 * time.Millisecond
	limit    = 30 * time.Second // of a wait that usually takes far less
	seed     = 11
)

// cluster is a log, a host list and processes on loopback.
type cluster struct {
	t     *testing.T
	log   *standinlog.Log
	addr  string // of the log
	pool  *dial.Pool
	mu    sync.Mutex
	hosts []hostlist.Host
	peers []*peer.Peer
	conns []*silentConn
}

// silentConn is a connection that can lose everything that is sent on it.
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
	s := &silentConn{Conn: conn}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, s)
	return s, err
}

// silence makes all connections silent and returns their number.
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
	c.addr = s.Listener.Addr().String()
	c.pool = c.newPool()
	ls := make([]net.Listener, n)
	for i := range n {
		ls[i] = c.listen()
	}
	for i := range n {
		c.peers = append(c.peers, c.start(i, ls[i]))
	}
	return c
}

func (c *cluster) newPool() *dial.Pool {
	p := dial.New(insecure.NewCredentials(), grpc.WithContextDialer(c.dial))
	c.t.Cleanup(p.Close)
	return p
}

// listen adds a host.
func (c *cluster) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	i := len(c.hosts)
	c.hosts = append(c.hosts, hostlist.Host{ID: fmt.Sprintf("host-%02d", i), Role: "agent", Address: l.Addr().String(), FailureDomain: fmt.Sprint(i % 3), Region: "r"})
	return l
}

func (c *cluster) start(i int, l net.Listener) *peer.Peer {
	h := c.hosts[i]
	p := peer.New(peer.Options{ID: h.ID, Role: h.Role, Address: h.Address, FailureDomain: h.FailureDomain, Region: h.Region,
		Log: logsvc.New(c.addr, time.Second), HostList: c, Pool: c.newPool(), Seed: seed, Interval: interval})
	s := peer.ServeOn(l, p, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { p.Run(ctx); close(done) }()
	c.t.Cleanup(func() { cancel(); s.Stop(); <-done })
	return p
}

func (c *cluster) eventually(what string, f func() bool) {
	c.t.Helper()
	require.Eventually(c.t, f, limit, interval/10, what)
}

// all reports whether the condition holds for all processes.
func (c *cluster) all(f func(p *peer.Peer) bool) func() bool {
	return func() bool {
		for _, p := range c.peers {
			if !f(p) {
				return false
			}
		}
		return true
	}
}

func (c *cluster) inForce(version int64) func() bool {
	return c.all(func(p *peer.Peer) bool { return p.Current() != nil && p.Current().Version == version })
}

func (c *cluster) publish(name, publisher string, base *int64) (operator.Published, error) {
	return operator.Publish(context.Background(), operator.PublishOptions{Log: logsvc.New(c.addr, time.Second), Pool: c.pool,
		Document: document(c.t, name), Base: base, Publisher: publisher, Retry: time.Millisecond})
}

func document(t *testing.T, name string) []byte {
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
