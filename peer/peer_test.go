package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/membership"
	"github.com/galenaweir/galenaweir/core/membership/simnet"
	"github.com/galenaweir/galenaweir/hostlist"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/operator"
	"github.com/galenaweir/galenaweir/peer"
	"github.com/galenaweir/galenaweir/rpc"
	standinlog "github.com/galenaweir/galenaweir/standin/logsvc"
)

// Guards against two publishers both succeeding with the same version, a losing
// publisher that gets no error, and a repeated publication that creates a second
// version.
func TestTwoOperatorsAtOnce(t *testing.T) {
	c := newCluster(t, 6)
	_, err := c.publish("first", "eve", nil)
	require.NoError(t, err)
	base := int64(1)
	var results [2]operator.PublishResult
	var errs [2]error
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() { results[i], errs[i] = c.publish(fmt.Sprint("by-", i), fmt.Sprint("operator-", i), &base) })
	}
	wg.Wait()
	winner := 0
	if errs[0] != nil {
		winner = 1
	}
	require.NoError(t, errs[winner])
	require.EqualValues(t, 2, results[winner].Version)
	require.ErrorContains(t, errs[1-winner], fmt.Sprintf("version 2 of operator-%d", winner))
	assert.Equal(t, apierr.NotRun, apierr.From(errs[1-winner]).Ran)
	c.eventually("version 2 everywhere", c.versionInForce(2))
	for _, p := range c.peers {
		assert.Equal(t, fmt.Sprint("by-", winner), p.Current().Doc.Deployment)
	}
	repeated, err := c.publish(fmt.Sprint("by-", winner), "x", &base)
	require.NoError(t, err)
	assert.Equal(t, operator.PublishResult{Version: 2, Unchanged: true}, repeated)
	c.eventually("ready", c.allPeers((*peer.Peer).Ready))
	statuses := operator.FetchStatuses(context.Background(), c.pool, []string{c.hosts[0].Address, c.hosts[5].Address})
	for i, s := range statuses {
		require.NoError(t, s.Err)
		assert.EqualValues(t, 2, s.Reply.ConfigVersion)
		assert.Len(t, s.Reply.Members, 6, "process %d", i)
	}
	for _, args := range [][]string{{"status"}, {"members"}} {
		f := flags.NewNamedParser("test", flags.None)
		require.NoError(t, operator.AddCommands(f))
		_, err := f.ParseArgs(append(append([]string{"operator"}, args...), "--peer", c.hosts[0].Address, "--peer", c.hosts[5].Address))
		require.NoError(t, err)
	}
}

// Guards against a publication that is reported incorrectly or takes effect twice when
// the log loses answers, rejects requests or appends a record late.
func TestPublishDuringLogFaults(t *testing.T) {
	for _, f := range []struct {
		name   string
		faults standinlog.Faults
		want   error
	}{
		{"lost answer", standinlog.Faults{LoseResponses: 1}, nil},
		{"late append", standinlog.Faults{DelayedAppends: 1, DelayedByMs: 20}, nil},
		{"outage", standinlog.Faults{Outage: true}, apierr.New(apierr.LogUnavailable, apierr.NotRun, "", "")},
	} {
		t.Run(f.name, func(t *testing.T) {
			c := newCluster(t, 1)
			_, err := c.publish("first", "eve", nil)
			require.NoError(t, err)
			c.log.SetFaults(f.faults)
			p, err := c.publish("second", "eve", nil)
			c.log.SetFaults(standinlog.Faults{})
			if f.want != nil {
				require.True(t, apierr.Is(err, apierr.From(f.want).Kind), "%v", err)
				assert.Equal(t, apierr.NotRun, apierr.From(err).Ran)
				return
			}
			require.NoError(t, err)
			assert.EqualValues(t, 2, p.Version)
			c.eventually("version 2", c.versionInForce(2))
			s := config.NewStream()
			_, err = peer.ReadConfigStream(context.Background(), logsvc.New(c.logAddress, time.Second), s)
			require.NoError(t, err)
			assert.EqualValues(t, 2, s.Version())
		})
	}
}

// Guards against a process that can't become ready while the log is unavailable.
func TestStartDuringOutageAdoptsPeersVersion(t *testing.T) {
	c := newCluster(t, 4)
	_, err := c.publish("first", "eve", nil)
	require.NoError(t, err)
	c.eventually("ready", c.allPeers(func(p *peer.Peer) bool { return p.Ready() && p.Current() != nil }))
	c.log.SetFaults(standinlog.Faults{Outage: true})
	p := c.startPeer(4, c.addHost())
	c.eventually("ready from peers", p.Ready)
	require.EqualValues(t, 1, p.Current().Version)
	c.peers = append(c.peers, p)
	c.log.SetFaults(standinlog.Faults{})
	_, err = c.publish("second", "eve", nil)
	require.NoError(t, err)
	c.eventually("version 2 everywhere", c.versionInForce(2))

	c.peers[0].Leave()
	assert.False(t, c.peers[0].Ready())
	c.eventually("leaving is known", func() bool { m, _ := p.Get("host-00"); return m.State == node.Leaving })
}

// Guards against reusing a connection forever after a middlebox has started to drop its
// packets silently.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	c := newCluster(t, 3)
	allLive := c.allPeers(func(p *peer.Peer) bool {
		n := 0
		for _, m := range p.All() {
			if m.State == node.Live {
				n++
			}
		}
		return n == 3
	})
	_, err := c.publish("first", "eve", nil)
	require.NoError(t, err)
	c.eventually("ready", func() bool { return allLive() && c.allPeers((*peer.Peer).Ready)() })
	before := c.silence()
	c.eventually("new connections", func() bool {
		c.mu.Lock()
		n := len(c.conns)
		c.mu.Unlock()
		return n >= 2*before && allLive()
	})
	_, err = c.publish("second", "eve", nil)
	require.NoError(t, err)
	c.eventually("version 2 everywhere", c.versionInForce(2))
}

// fakeLog counts reads and fails them while down is set.
type fakeLog struct {
	logsvc.Log
	down  atomic.Bool
	reads atomic.Int64
}

func (l *fakeLog) Read(ctx context.Context, s string, from int64, w time.Duration) (logsvc.Page, error) {
	l.reads.Add(1)
	if l.down.Load() {
		return logsvc.Page{}, logsvc.ErrUnavailable
	}
	return l.Log.Read(ctx, s, from, w)
}

// fakePeer answers with a fixed state and counts the requests.
type fakePeer struct {
	rpc.UnimplementedPeerServer
	state    atomic.Pointer[rpc.ConfigState]
	down     atomic.Bool
	requests atomic.Int64
}

func (f *fakePeer) FetchConfig(context.Context, *rpc.FetchConfigRequest) (*rpc.FetchConfigReply, error) {
	f.requests.Add(1)
	if f.down.Load() {
		return nil, errors.New("down")
	}
	return &rpc.FetchConfigReply{State: f.state.Load()}, nil
}

type unavailableHostList struct{}

func (unavailableHostList) Hosts(context.Context) (hostlist.List, error) {
	return hostlist.List{}, errors.New("unavailable")
}

// Guards against a process that reports ready with neither log nor peers, or while
// its peers disagree on the version.
func TestReadiness(t *testing.T) {
	c := newCluster(t, 0)
	state := func(version int64) *rpc.ConfigState {
		doc := testDocument(t, fmt.Sprint("v", version))
		h := config.HashOf(doc)
		return &rpc.ConfigState{Version: version, Hash: h[:], Offset: version, Document: doc}
	}
	var fakes [2]fakePeer
	var seedAddresses []string
	for i := range fakes {
		fakes[i].state.Store(state(int64(i + 1)))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		s := grpc.NewServer()
		rpc.RegisterPeerServer(s, &fakes[i])
		go func() { _ = s.Serve(l) }()
		t.Cleanup(s.Stop)
		seedAddresses = append(seedAddresses, l.Addr().String())
	}
	start := func(seedAddresses []string) (*peer.Peer, *fakeLog) {
		l := &fakeLog{Log: logsvc.New(c.logAddress, time.Second)}
		l.down.Store(true)
		p := peer.New(peer.Options{ID: "x", Role: node.RoleAgent, Address: "127.0.0.1:1", Log: l, HostList: unavailableHostList{}, SeedAddresses: seedAddresses, Pool: c.newPool(), RandomSeed: seed, ExchangeInterval: interval})
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go p.Run(ctx)
		return p, l
	}
	const rounds = 4
	t.Run("neither log nor peers", func(t *testing.T) {
		p, l := start(nil)
		c.eventually("several reads", func() bool { return l.reads.Load() >= rounds })
		assert.False(t, p.Ready())
		l.down.Store(false)
		before := l.reads.Load()
		c.eventually("reads of an empty log", func() bool { return l.reads.Load() >= before+rounds })
		assert.False(t, p.Ready(), "ready without a version")
		_, err := c.publish("v1", "eve", nil)
		require.NoError(t, err)
		c.eventually("ready from the log", p.Ready)
	})
	t.Run("peers disagree", func(t *testing.T) {
		p, l := start(seedAddresses)
		waitForRounds := func() {
			a, b := fakes[0].requests.Load(), fakes[1].requests.Load()
			c.eventually("several rounds", func() bool {
				return l.reads.Load() >= rounds && fakes[0].requests.Load() >= a+rounds && fakes[1].requests.Load() >= b+rounds
			})
		}
		waitForRounds()
		assert.False(t, p.Ready())
		assert.EqualValues(t, 2, p.Current().Version)
		fakes[0].down.Store(true)
		fakes[1].down.Store(true)
		waitForRounds()
		assert.False(t, p.Ready(), "ready with a version that no peer confirms")
		fakes[0].state.Store(state(2))
		fakes[0].down.Store(false)
		fakes[1].down.Store(false)
		c.eventually("ready when they agree", p.Ready)
	})
}

// Guards against processes that stay stuck after the log trimmed records that no
// process had read, and against a snapshot that is never written to bridge the gap.
func TestSnapshotAfterUnreadTrim(t *testing.T) {
	c := newCluster(t, 3)
	_, err := c.publish("first", "eve", nil)
	require.NoError(t, err)
	c.eventually("ready", c.allPeers(func(p *peer.Peer) bool { return p.Ready() && p.Current() != nil }))
	c.log.SetFaults(standinlog.Faults{Outage: true})
	unreadOffset := c.log.Append(node.ConfigStream, []byte("dropped unread")).Offset
	c.log.Trim(node.ConfigStream, unreadOffset+1)
	c.log.SetFaults(standinlog.Faults{})
	c.eventually("a snapshot", func() bool {
		page, _ := c.log.Read(node.ConfigStream, 0, 10)
		var r rpc.ConfigRecord
		return len(page.Records) > 0 && proto.Unmarshal(page.Records[0].Data, &r) == nil && r.Snapshot && r.AsOfOffset == unreadOffset
	})
	p, err := c.publish("second", "eve", nil)
	require.NoError(t, err)
	assert.EqualValues(t, 2, p.Version)
	c.eventually("version 2 everywhere", c.versionInForce(2))
}

// Guards against a configuration that reaches only some processes. It logs how long
// the configuration takes to reach all 20.
func TestNewVersionReachesAllProcesses(t *testing.T) {
	c := newCluster(t, 20)
	_, err := c.publish("first", "eve", nil)
	require.NoError(t, err)
	c.eventually("ready", c.allPeers(func(p *peer.Peer) bool { return p.Ready() && len(p.All()) == 20 }))
	start := time.Now()
	_, err = c.publish("second", "eve", nil)
	require.NoError(t, err)
	for _, p := range c.peers {
		for {
			changed := p.Changed()
			if p.Current().Version == 2 {
				break
			}
			select {
			case <-changed:
			case <-time.After(waitLimit):
				require.Fail(t, "version 2 isn't in force everywhere")
			}
		}
	}
	t.Logf("version 2 was in force on all 20 processes after %v, with an exchange every %v", time.Since(start).Round(time.Millisecond), interval)
}

// Guards against gossip messages above the size that the control traffic estimate
// assumes, including while many members restart and customer demand is propagated.
func TestEncodedMessagesWithinSizeLimit(t *testing.T) {
	const maxBytes, entries = 400, 8
	largest := 0
	n := simnet.New(simnet.Options{Seed: seed, Nodes: 120, Domains: 12, MessageSize: func(m membership.Message) int {
		b := proto.Size(peer.EncodeGossipMessage(m))
		largest = max(largest, b)
		return b
	}})
	for _, x := range n.Nodes {
		x.Machine.SetEndpoints(0, []membership.Endpoint{{ID: "naviq-engine-00", WeightVersion: "2026-12-03-a"}, {ID: "naviq-engine-01", WeightVersion: "2026-12-03-a", Leaving: true}})
		x.Machine.SetConfig(1<<30, make([]byte, 8))
	}
	for range 5 {
		for _, x := range n.Nodes[:entries] {
			x.Machine.SetDemands(n.Now, []membership.Demand{{Customer: "vadodara-roadways", TokensPerSecond: 1 << 30}})
		}
		n.Run(2 * time.Second)
	}
	for _, x := range n.Nodes[:entries] {
		assert.Len(t, x.Machine.Demands(n.Now), entries, "demands of all entries at %s", x.ID)
	}
	for _, x := range n.Nodes[:20] {
		n.Stop(x)
	}
	n.Run(20 * time.Second)
	for _, x := range n.Nodes[:20] {
		n.Start(x)
	}
	n.Run(20 * time.Second)
	t.Logf("largest message: %d bytes", largest)
	assert.LessOrEqual(t, largest, maxBytes)
}
