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

// fixedMembers is a list of members that tests change.
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

type directories struct {
	members *fixedMembers
	pool    *dial.Pool
	byID    map[string]*Directory
	lookup  *entry.DirectoryLookup
}

// newDirectories serves n agents of one region, and one of another, on loopback.
func newDirectories(t *testing.T, n int) *directories {
	t.Helper()
	d := &directories{members: &fixedMembers{}, pool: dial.New(insecure.NewCredentials()), byID: map[string]*Directory{}}
	t.Cleanup(d.pool.Close)
	for i := range n + 1 {
		id, region := fmt.Sprint("agent-", i), "r"
		if i == n {
			region = "other"
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		d.byID[id] = NewDirectory(DirectoryOptions{ID: id, Region: region, Members: d.members, Pool: d.pool, Shard: directory.DefaultOptions()})
		s := grpc.NewServer()
		rpc.RegisterAgentServer(s, New(Options{ID: id, Directory: d.byID[id]}))
		go func() { _ = s.Serve(l) }()
		t.Cleanup(s.Stop)
		d.members.all = append(d.members.all, node.Member{ID: id, Role: node.RoleAgent, Address: l.Addr().String(), Region: region, State: node.Live})
	}
	d.lookup = &entry.DirectoryLookup{Region: "r", Members: d.members, Pool: d.pool, Timeout: time.Minute}
	return d
}

// found returns how many of the contexts the entry finds.
func (d *directories) found(t *testing.T, contexts int) int {
	n := 0
	for i := range contexts {
		for _, l := range d.lookup.Lookup(t.Context(), prefix.Hash{byte(i)}) {
			require.Equal(t, "e", l.Endpoint)
			n++
		}
	}
	return n
}

// An announced context is found through any entry of the region, and again after
// its owner left, once the agent that ran it has announced it to the new owner in
// bounded steps.
func TestDirectoryFollowsItsOwners(t *testing.T) {
	const contexts, agents = 100, 5
	d := newDirectories(t, agents)
	runner := d.byID["agent-0"]
	for i := range contexts {
		runner.Announce(prefix.Hash{byte(i)}, &rpc.ContextLocation{Endpoint: "e", EngineTokens: 256, WeightVersion: "v1", UpdatedMs: time.Now().UnixMilli()})
	}
	runner.flush(t.Context())
	require.Equal(t, contexts, d.found(t, contexts))
	require.Zero(t, d.byID[fmt.Sprint("agent-", agents)].shard.Len(), "agents of another region own nothing")

	d.members.all[2].State = node.Leaving
	lost := contexts - d.found(t, contexts)
	require.NotZero(t, lost)
	runner.flush(t.Context())
	require.Equal(t, contexts-lost+min(lost, maxReannounce), d.found(t, contexts), "re-announcements are bounded, and only for moved contexts")
	for range lost / maxReannounce {
		runner.flush(t.Context())
	}
	require.Equal(t, contexts, d.found(t, contexts))
}

type silentOwner struct{ rpc.UnimplementedAgentServer }

func (silentOwner) DirectoryGet(ctx context.Context, _ *rpc.DirectoryGetRequest) (*rpc.DirectoryGetReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// A context that its engine has evicted is taken out of the directory at the next
// prompt, and its store's location stays; otherwise entries keep choosing an
// engine for a prefix that it no longer has.
func TestEvictionsAreAnnounced(t *testing.T) {
	d := newDirectories(t, 3)
	r := newRig(t, storeOptions(), nil)
	runner := d.byID["agent-0"]
	r.cache.o.Announce, r.cache.o.Evicted = runner.Announce, runner.Evicted
	key := prefix.ContextKey(prefix.DeriveCustomerKey([]byte("secret"), "a"), "c")
	locations := func() (out []string) {
		runner.flush(t.Context())
		for _, l := range d.lookup.Lookup(t.Context(), key) {
			out = append(out, l.Endpoint+l.Store)
		}
		return out
	}
	r.cache.o.Now = time.Now
	r.run("a")
	r.export()
	require.Equal(t, []string{"e", "s"}, locations())
	r.run("b")
	require.Equal(t, []string{"e", "s"}, locations(), "nothing was evicted")
	r.eng.Evict()
	r.run("b")
	require.Equal(t, []string{"s"}, locations())
	for i := range d.members.all {
		if id := d.members.all[i].ID; id == owner(key, Owners(d.members, "r")) {
			d.members.all[i].State = node.Leaving
			break
		}
	}
	require.Equal(t, []string{"s"}, locations(), "the new owner is not told of the evicted prefix")
	r.run("a")
	require.Equal(t, []string{"e", "s"}, locations())
}

// The eviction of a piece that a context no longer ends with removes nothing.
func TestEvictionOfAnEarlierTip(t *testing.T) {
	d := NewDirectory(DirectoryOptions{ID: "a", Members: &fixedMembers{}, Shard: directory.DefaultOptions()})
	for tip := range byte(2) {
		d.Announce(prefix.Hash{9}, &rpc.ContextLocation{Endpoint: "e", UpdatedMs: time.Now().UnixMilli(), ChainTip: []byte{tip + 1}})
	}
	d.Evicted("e", []prefix.Hash{{1}})
	require.Len(t, d.pending[prefix.Hash{9}], 2)
	d.Evicted("e", []prefix.Hash{{2}})
	require.True(t, d.pending[prefix.Hash{9}][2].Removed)
}

// An owner that does not answer costs an entry no more than the time limit, and a
// malformed update costs the owner nothing.
func TestDirectoryFaults(t *testing.T) {
	d := newDirectories(t, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := grpc.NewServer()
	rpc.RegisterAgentServer(srv, silentOwner{})
	go func() { _ = srv.Serve(l) }()
	defer srv.Stop()
	silent := &entry.DirectoryLookup{Region: "r", Members: &fixedMembers{all: []node.Member{{ID: "x", Role: node.RoleAgent, Region: "r", Address: l.Addr().String()}}}, Pool: d.pool}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	require.Nil(t, silent.Lookup(ctx, prefix.Hash{}))
	require.NoError(t, ctx.Err(), "the lookup ended by its own limit")
	d.byID["agent-0"].put([]*rpc.DirectoryUpdate{{ContextKey: []byte{1}, Location: &rpc.ContextLocation{Endpoint: "e"}}, {ContextKey: make([]byte, 16)}, {}})
	require.Zero(t, d.byID["agent-0"].shard.Len())
}

// The agent that ran an attempt announces the engine, then the store.
func TestRunsAreAnnounced(t *testing.T) {
	r := newRig(t, storeOptions(), nil)
	var got []*rpc.ContextLocation
	var keys []prefix.Hash
	r.cache.o.Announce = func(k prefix.Hash, l *rpc.ContextLocation) { keys, got = append(keys, k), append(got, l) }
	r.fill("a")
	require.Len(t, got, 2)
	require.Equal(t, []any{"e", uint32(whole), "s", uint32(whole)}, []any{got[0].Endpoint, got[0].EngineTokens, got[1].Store, got[1].StoreTokens})
	want := prefix.ContextKey(prefix.DeriveCustomerKey([]byte("secret"), "a"), "c")
	require.Equal(t, []prefix.Hash{want, want}, keys)
}
