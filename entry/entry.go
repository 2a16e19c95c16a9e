// Package entry is the process between the callers and the agents: it
// authenticates callers, chooses endpoints, and relays answers.
package entry

import (
	"context"
	"expvar"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/galenaweir/galenaweir/claimsvc"
	"github.com/galenaweir/galenaweir/core/limits"
	"github.com/galenaweir/galenaweir/core/routing"
	"github.com/galenaweir/galenaweir/inflight"
	"github.com/galenaweir/galenaweir/metrics"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/rpc/dial"
)

// Options sets up an entry.
type Options struct {
	ID            string
	FailureDomain string
	CacheSecret   []byte
	SilenceLimit  time.Duration
	MaxBodyBytes  int64
	Config        node.Config
	Members       node.Members
	Pool          *dial.Pool
	Claims        *claimsvc.Client
	Routing       routing.Policy // nil for the configuration's
	Contexts      ContextLookup  // nil for no hints
	Seed          uint64         // of the random source that breaks ties

	CallerTimeout time.Duration     // for a caller to send its body, and to take each piece of its answer
	Budget        Budget            // of repeated attempts; nil for the default
	Metrics       *metrics.Registry // nil for metrics.Default
}

// defaultCallerTimeout is used when the options give none.
const defaultCallerTimeout = 30 * time.Second

// Entry serves callers.
type Entry struct {
	o        Options
	view     *view
	indexes  indexCache
	policies policies
	hedges   hedges
	recent   *recentContexts
	openKeys *openKeys

	rngMu sync.Mutex
	rng   *rand.Rand

	leaving atomic.Bool
	work    inflight.Group
	limits  customerLimits
	m       figures

	requestsMu sync.Mutex
	requests   map[string]bool // IDs of the running requests
}

// New returns an entry.
func New(o Options) *Entry {
	if o.Budget == nil {
		o.Budget = NewWindowBudget(time.Now, o.Seed)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.Default
	}
	if o.CallerTimeout <= 0 {
		o.CallerTimeout = defaultCallerTimeout
	}
	e := &Entry{o: o, view: newView(o.Seed), hedges: newHedges(), recent: newRecentContexts(), openKeys: newOpenKeys(), limits: customerLimits{l: limits.New(o.ID)}, rng: rand.New(rand.NewPCG(o.Seed, 0)), m: newFigures(o.Metrics), requests: map[string]bool{}}
	o.Metrics.Gauge("running", func() any { return e.work.Count() })
	o.Metrics.Gauge("config_version", func() any {
		if st := o.Config.Current(); st != nil {
			return st.Version
		}
		return 0
	})
	o.Metrics.Gauge("members", func() any { return len(o.Members.All()) })
	return e
}

// figures are the entry's metrics.
type figures struct {
	requests      *expvar.Map // by kind and outcome
	refusals      *expvar.Map // by error kind
	promptTokens  *expvar.Map // cached, recomputed
	firstToken    *metrics.Durations
	betweenTokens *metrics.Durations
	retries       *expvar.Int
	hedged        *expvar.Int // second attempts for short interactive answers
	continued     *expvar.Int // attempts that continued an answer elsewhere
	resumes       *expvar.Int
	foreign       *expvar.Int // frames of another attempt or customer
}

func newFigures(r *metrics.Registry) figures {
	return figures{
		requests: r.CountBy("requests"), refusals: r.CountBy("refusals"), promptTokens: r.CountBy("prompt_tokens"),
		firstToken: r.Durations("first_token"), betweenTokens: r.Durations("between_tokens"),
		retries: r.Count("retries"), hedged: r.Count("hedged"), continued: r.Count("continued"), resumes: r.Count("resumes"), foreign: r.Count("foreign_frames"),
	}
}

// Ready reports whether the entry can serve: it has a configuration and isn't
// leaving.
func (e *Entry) Ready() bool { return !e.leaving.Load() && e.o.Config.Current() != nil }

// BeginDrain fails the readiness. Requests are still taken, because the balancer
// needs a while to send them elsewhere; their connections are closed afterwards.
func (e *Entry) BeginDrain() { e.leaving.Store(true) }

// Drain refuses new requests and waits until the running ones have ended, or
// until ctx ends; then the error names the requests cut.
func (e *Entry) Drain(ctx context.Context) error {
	e.BeginDrain()
	e.work.Close()
	if err := e.work.Wait(ctx); err != nil {
		e.requestsMu.Lock()
		defer e.requestsMu.Unlock()
		return fmt.Errorf("drain entry %s: cut %s: %w", e.o.ID, strings.Join(slices.Sorted(maps.Keys(e.requests)), ", "), err)
	}
	return nil
}

// track notes a running request until the returned function is called.
func (e *Entry) track(id string) func() {
	e.requestsMu.Lock()
	defer e.requestsMu.Unlock()
	e.requests[id] = true
	return func() {
		e.requestsMu.Lock()
		defer e.requestsMu.Unlock()
		delete(e.requests, id)
	}
}

// agentClient returns a client of the agent and its connection.
func (e *Entry) agentClient(address string) (rpc.AgentClient, *grpc.ClientConn, error) {
	c, err := e.o.Pool.Get(address)
	if err != nil {
		return nil, nil, err
	}
	return rpc.NewAgentClient(c), c, nil
}
