package agent

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/galenaweir/galenaweir/core/directory"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/entry"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/rpc/dial"
)

// fixedMembers is a list of members that tests can change.
type fixedMembers struct {
	mu  sync.Mutex
	all []node.Member
}

func (f *fixedMembers) All() []node.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]node.Member(nil), f.all...)
}

func (f *fixedMembers) Get(id string) (node.Member, bool) {
	for _, m := range f.All() {
		if m.ID == id {
			return m, true
		}
	}
	return node.Member{}, false
}

// directoryCluster holds the directories of several agents and an entry's lookup on them.
type directoryCluster struct {
	members *fixedMembers
	pool    *dial.Pool
	byID    map[string]*ContextDirectory
	lookup  *entry.DirectoryLookup
}

// newDirectoryCluster starts n agents of one region and one of another on loopback.
func newDirectoryCluster(t *testing.T, n int) *directoryCluster {
	t.Helper()
	d := &directoryCluster{members: &fixedMembers{}, pool: dial.New(insecure.NewCredentials()), byID: map[string]*ContextDirectory{}}
	t.Cleanup(d.pool.Close)
	for i := range n + 1 {
		id, region := fmt.Sprint("agent-", i), "r"
		if i == n {
			region = "other"
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		d.byID[id] = NewContextDirectory(DirectoryOptions{ID: id, Region: region, Members: d.members, Pool: d.pool, Shard: directory.DefaultOptions()})
		s := grpc.NewServer()
		rpc.RegisterAgentServer(s, New(Options{ID: id, Directory: d.byID[id]}))
		go func() { _ = s.Serve(l) }()
		t.Cleanup(s.Stop)
		d.members.all = append(d.members.all, node.Member{ID: id, Role: node.RoleAgent, Address: l.Addr().String(), Region: region, State: node.Live})
	}
	d.lookup = &entry.DirectoryLookup{Region: "r", Members: d.members, Pool: d.pool, Timeout: time.Minute}
	return d
}

// countFound returns how many locations of the contexts the entry finds.
func (d *directoryCluster) countFound(t *testing.T, contexts int) int {
	n := 0
	for i := range contexts {
		for _, l := range d.lookup.Lookup(t.Context(), prefix.Hash{byte(i)}) {
			require.Equal(t, "e", l.Endpoint)
			n++
		}
	}
	return n
}

// Guards against announced contexts that entries of the region can't find, against
// contexts that stay lost after their owner has left, and against unbounded
// re-announcements to the new owners.
func TestContextsMoveToNewOwners(t *testing.T) {
	const contexts, agents = 100, 5
	d := newDirectoryCluster(t, agents)
	runner := d.byID["agent-0"]
	for i := range contexts {
		runner.Announce(prefix.Hash{byte(i)}, &rpc.ContextLocation{Endpoint: "e", EngineTokens: 256, WeightVersion: "v1", UpdatedMs: time.Now().UnixMilli()})
	}
	runner.flush(t.Context())
	require.Equal(t, contexts, d.countFound(t, contexts))
	require.Zero(t, d.byID[fmt.Sprint("agent-", agents)].shard.Len(), "agents of another region own nothing")

	d.members.all[2].State = node.Leaving
	lost := contexts - d.countFound(t, contexts)
	require.NotZero(t, lost)
	runner.flush(t.Context())
	require.Equal(t, contexts-lost+min(lost, maxReannouncedContexts), d.countFound(t, contexts), "only contexts whose owner changed are re-announced, and a limited number at a time")
	for range lost / maxReannouncedContexts {
		runner.flush(t.Context())
	}
	require.Equal(t, contexts, d.countFound(t, contexts))
}

// unresponsiveOwner is a directory owner that never answers.
type unresponsiveOwner struct{ rpc.UnimplementedAgentServer }

func (unresponsiveOwner) DirectoryGet(ctx context.Context, _ *rpc.DirectoryGetRequest) (*rpc.DirectoryGetReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against directory entries for contexts that the engine has evicted, for which
// entries would keep choosing an engine that no longer has the prefix. The agent learns
// of evictions at the next prompt on the engine. The location in the store must stay.
func TestEvictionsAreAnnounced(t *testing.T) {
	d := newDirectoryCluster(t, 3)
	r := newHarness(t, storeOptions(), nil)
	runner := d.byID["agent-0"]
	r.cache.opts.OnContextLocation, r.cache.opts.OnPiecesEvicted = runner.Announce, runner.AnnounceEvictions
	key := prefix.ContextKey(prefix.DeriveCustomerKey([]byte("secret"), "a"), "c")
	locations := func() (out []string) {
		runner.flush(t.Context())
		for _, l := range d.lookup.Lookup(t.Context(), key) {
			out = append(out, l.Endpoint+l.Store)
		}
		return out
	}
	r.cache.opts.Now = time.Now
	r.run("a")
	r.runExports()
	require.Equal(t, []string{"e", "s"}, locations())
	r.run("b")
	require.Equal(t, []string{"e", "s"}, locations(), "nothing was evicted")
	r.engine.EvictAll()
	r.run("b")
	require.Equal(t, []string{"s"}, locations())
	for i := range d.members.all {
		if id := d.members.all[i].ID; id == contextOwner(key, DirectoryOwners(d.members, "r")) {
			d.members.all[i].State = node.Leaving
			break
		}
	}
	require.Equal(t, []string{"s"}, locations(), "the evicted prefix is not announced to the new owner")
	r.run("a")
	require.Equal(t, []string{"e", "s"}, locations())
}

// Guards against removing a context when an engine evicts a piece that is no longer the
// context's last one.
func TestEvictionOfEarlierTipIsIgnored(t *testing.T) {
	d := NewContextDirectory(DirectoryOptions{ID: "a", Members: &fixedMembers{}, Shard: directory.DefaultOptions()})
	for tip := range byte(2) {
		d.Announce(prefix.Hash{9}, &rpc.ContextLocation{Endpoint: "e", UpdatedMs: time.Now().UnixMilli(), ChainTip: []byte{tip + 1}})
	}
	d.AnnounceEvictions("e", []prefix.Hash{{1}})
	require.Len(t, d.pending[prefix.Hash{9}], 2)
	d.AnnounceEvictions("e", []prefix.Hash{{2}})
	require.True(t, d.pending[prefix.Hash{9}][2].Removed)
}

// Guards against a lookup that waits beyond its timeout for an owner that doesn't
// answer, and against malformed updates that are stored or crash the owner.
func TestDirectoryToleratesFaults(t *testing.T) {
	d := newDirectoryCluster(t, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer()
	rpc.RegisterAgentServer(server, unresponsiveOwner{})
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	unresponsive := &entry.DirectoryLookup{Region: "r", Members: &fixedMembers{all: []node.Member{{ID: "x", Role: node.RoleAgent, Region: "r", Address: l.Addr().String()}}}, Pool: d.pool}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	require.Nil(t, unresponsive.Lookup(ctx, prefix.Hash{}))
	require.NoError(t, ctx.Err(), "the lookup ended by its own timeout")
	d.byID["agent-0"].applyUpdates([]*rpc.DirectoryUpdate{{ContextKey: []byte{1}, Location: &rpc.ContextLocation{Endpoint: "e"}}, {ContextKey: make([]byte, 16)}, {}})
	require.Zero(t, d.byID["agent-0"].shard.Len())
}

// Guards against an attempt whose context is not announced, first in the engine and,
// after the export, in the store.
func TestContextLocationsAreAnnounced(t *testing.T) {
	r := newHarness(t, storeOptions(), nil)
	var got []*rpc.ContextLocation
	var keys []prefix.Hash
	r.cache.opts.OnContextLocation = func(k prefix.Hash, l *rpc.ContextLocation) { keys, got = append(keys, k), append(got, l) }
	r.exportAndEvict("a")
	require.Len(t, got, 2)
	require.Equal(t, []any{"e", uint32(cacheableTokens), "s", uint32(cacheableTokens)}, []any{got[0].Endpoint, got[0].EngineTokens, got[1].Store, got[1].StoreTokens})
	want := prefix.ContextKey(prefix.DeriveCustomerKey([]byte("secret"), "a"), "c")
	require.Equal(t, []prefix.Hash{want, want}, keys)
}
