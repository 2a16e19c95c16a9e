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

// ContextLookup finds where the prefix of a conversation is held. Its answers are
// hints; it returns nil rather than an error, and soon.
type ContextLookup interface {
	Lookup(ctx context.Context, key prefix.Hash) []*rpc.ContextLocation
}

// directoryTimeout bounds the wait for a hint (docs/design.md, section 6).
const directoryTimeout = 20 * time.Millisecond

// DirectoryLookup asks the owner of a context among the agents of a region.
type DirectoryLookup struct {
	Region  string
	Members node.Members
	Pool    *dial.Pool
	Timeout time.Duration // 20 ms if zero
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
		timeout = directoryTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := rpc.NewAgentClient(conn).DirectoryGet(ctx, &rpc.DirectoryGetRequest{ContextKey: key[:]})
	if err != nil {
		log.Debug().Str("owner", m.ID).Err(err).Msg("no hint from the directory; the request is routed without")
		return nil
	}
	return r.Locations
}

// Limits of the contexts that an entry remembers from its own answers. They serve
// until the agents' batched announcement has reached the directory, and while the
// directory's owner can't be reached.
const (
	maxRecent  = 10_000
	recentTime = time.Minute
)

// recentContexts are the locations of this entry's latest answers.
type recentContexts = lru.Cache[prefix.Hash, *rpc.ContextLocation]

func newRecentContexts() *recentContexts {
	c, err := lru.New[prefix.Hash, *rpc.ContextLocation](maxRecent)
	if err != nil {
		panic(err) // only for a size that isn't positive
	}
	return c
}

// lookup asks for hints once for each prompt, and adds this entry's own.
func (e *Entry) lookup(ctx context.Context, p *prompt) {
	if p.asked {
		return
	}
	p.asked = true
	p.context = prefix.ContextKey(prefix.DeriveCustomerKey(e.o.CacheSecret, p.customer), p.conversation)
	if e.o.Contexts != nil {
		p.hints = e.o.Contexts.Lookup(ctx, p.context)
	}
	own, ok := e.recent.Get(p.context)
	if ok && time.Since(time.UnixMilli(own.UpdatedMs)) < recentTime && !slices.ContainsFunc(p.hints, func(h *rpc.ContextLocation) bool { return h.Endpoint == own.Endpoint }) {
		p.hints = append(p.hints, own)
	}
}

// remember notes where the prompt's context now lies.
func (e *Entry) remember(p *prompt, s *rpc.Start) {
	e.recent.Add(p.context, &rpc.ContextLocation{
		Endpoint: s.Endpoint, EngineTokens: uint32(prefix.EstimateTokens(p.text)), WeightVersion: s.WeightVersion, UpdatedMs: time.Now().UnixMilli(),
	})
}

// applyHints fills in which candidates hold the prefix. A hint for another weight
// version than the configured one helps no new request.
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
