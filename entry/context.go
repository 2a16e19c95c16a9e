package entry

import (
	"context"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/core/rendezvous"
	"github.com/galenaweir/galenaweir/core/routing"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/rpc/dial"
)

// ContextLookup finds the locations that hold the prefix of a conversation. The
// results are hints: Lookup is bounded in time, and returns nil on failure.
type ContextLookup interface {
	Lookup(ctx context.Context, key prefix.Hash) []*rpc.ContextLocation
}

// defaultDirectoryLookupTimeout is the default limit on the wait for hints
// (docs/design.md, section 6).
const defaultDirectoryLookupTimeout = 20 * time.Millisecond

// DirectoryLookup implements ContextLookup by a query to the one agent in Region that
// owns the directory entry of the context.
type DirectoryLookup struct {
	Region  string
	Members node.Members
	Pool    *dial.Pool
	Timeout time.Duration // defaults to 20 ms
}

// Lookup implements ContextLookup.
func (l *DirectoryLookup) Lookup(ctx context.Context, key prefix.Hash) []*rpc.ContextLocation {
	var ids []string
	for _, m := range l.Members.All() {
		if m.Role == node.RoleAgent && m.Region == l.Region && m.State != node.Leaving && m.State != node.Gone {
			ids = append(ids, m.ID)
		}
	}
	m, ok := l.Members.Get(rendezvous.Owner(rendezvous.Key(key[:]), ids))
	if !ok {
		return nil
	}
	conn, err := l.Pool.Get(m.Address)
	if err != nil {
		return nil
	}
	timeout := l.Timeout
	if timeout <= 0 {
		timeout = defaultDirectoryLookupTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := rpc.NewAgentClient(conn).DirectoryGet(ctx, &rpc.DirectoryGetRequest{ContextKey: key[:]})
	if err != nil {
		log.Debug().Str("owner", m.ID).Err(err).Msg("directory lookup failed; routing the request without hints")
		return nil
	}
	return r.Locations
}

// Limits on the contexts that an entry records from its own answers. These contexts are
// used as hints until the agents' batched announcements reach the directory, and while
// the directory's owner is unreachable.
const (
	maxRecentContexts = 10_000
	recentContextTTL  = time.Minute
)

// recentContexts caches the locations of the contexts of this entry's latest answers.
type recentContexts = lru.Cache[prefix.Hash, *rpc.ContextLocation]

func newRecentContexts() *recentContexts {
	c, err := lru.New[prefix.Hash, *rpc.ContextLocation](maxRecentContexts)
	if err != nil {
		panic(err) // only if the size is not positive
	}
	return c
}

// lookupHints queries the directory once per prompt and adds the location that this
// entry recorded itself.
func (e *Entry) lookupHints(ctx context.Context, p *promptRequest) {
	if p.hintsRequested {
		return
	}
	p.hintsRequested = true
	p.contextKey = prefix.ContextKey(prefix.DeriveCustomerKey(e.opts.CacheSecret, p.customer), p.conversation)
	if e.opts.ContextLookup != nil {
		p.hints = e.opts.ContextLookup.Lookup(ctx, p.contextKey)
	}
	recorded, ok := e.recentContexts.Get(p.contextKey)
	if ok && time.Since(time.UnixMilli(recorded.UpdatedMs)) < recentContextTTL && !slices.ContainsFunc(p.hints, func(h *rpc.ContextLocation) bool { return h.Endpoint == recorded.Endpoint }) {
		p.hints = append(p.hints, recorded)
	}
}

// recordContext records the endpoint that now holds the prompt's context.
func (e *Entry) recordContext(p *promptRequest, s *rpc.Start) {
	e.recentContexts.Add(p.contextKey, &rpc.ContextLocation{
		Endpoint: s.Endpoint, EngineTokens: uint32(prefix.EstimateTokens(p.text)), WeightVersion: s.WeightVersion, UpdatedMs: time.Now().UnixMilli(),
	})
}

// applyHints sets how many prefix tokens each candidate holds. Hints for a weight
// version other than the configured one are ignored, since new requests can't use
// that KV cache.
func applyHints(cs []routing.Candidate, hints []*rpc.ContextLocation, weightVersion string, promptTokens int) {
	for _, h := range hints {
		if h.WeightVersion != weightVersion {
			continue
		}
		for i := range cs {
			if h.Endpoint != "" && cs[i].Endpoint == h.Endpoint {
				cs[i].EnginePrefixTokens = min(int(h.EngineTokens), promptTokens)
			}
			if h.Store != "" {
				cs[i].StorePrefixTokens = min(int(h.StoreTokens), promptTokens)
			}
		}
	}
}
