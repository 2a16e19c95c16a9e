// Package entry implements the process between callers and agents. It authenticates
// callers, routes requests to endpoints and relays answers.
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

// Options configures an Entry.
type Options struct {
	ID            string
	FailureDomain string
	CacheSecret   []byte
	SilenceLimit  time.Duration // a stream without frames for this long is resumed on a new connection
	MaxBodyBytes  int64
	Config        node.Config
	Members       node.Members
	Pool          *dial.Pool
	Claims        *claimsvc.Client
	RoutingPolicy routing.Policy // overrides the policy of the configuration if not nil
	ContextLookup ContextLookup  // if nil, the only hints are the contexts that this entry has recorded
	Seed          uint64         // seeds the random choices of routing and the jitter of retries and circuit breakers

	CallerTimeout time.Duration     // limit on reading a request body and on each write of an answer; defaults to 30 s
	RetryBudget   RetryBudget       // limits retries; nil means a WindowRetryBudget
	Metrics       *metrics.Registry // nil means metrics.Default
}

// defaultCallerTimeout is used if Options.CallerTimeout is not positive.
const defaultCallerTimeout = 30 * time.Second

// Entry serves callers' requests.
type Entry struct {
	opts            Options
	view            *clusterView
	endpointIndexes endpointIndexCache
	routingPolicies routingPolicies
	hedgePolicy     hedgePolicy
	recentContexts  *recentContexts
	unresolvedKeys  *unresolvedKeys

	rngMu sync.Mutex
	rng   *rand.Rand

	draining atomic.Bool
	inFlight inflight.Group
	limits   customerLimits
	metrics  entryMetrics

	runningMu  sync.Mutex
	runningIDs map[string]bool // IDs of the running requests
}

// New returns an Entry with the given options.
func New(o Options) *Entry {
	if o.RetryBudget == nil {
		o.RetryBudget = NewWindowRetryBudget(time.Now, o.Seed)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.Default
	}
	if o.CallerTimeout <= 0 {
		o.CallerTimeout = defaultCallerTimeout
	}
	e := &Entry{opts: o, view: newClusterView(o.Seed), hedgePolicy: newHedgePolicy(), recentContexts: newRecentContexts(), unresolvedKeys: newUnresolvedKeys(), limits: customerLimits{limiter: limits.New(o.ID)}, rng: rand.New(rand.NewPCG(o.Seed, 0)), metrics: newEntryMetrics(o.Metrics), runningIDs: map[string]bool{}}
	o.Metrics.Gauge("running", func() any { return e.inFlight.Count() })
	o.Metrics.Gauge("config_version", func() any {
		if st := o.Config.Current(); st != nil {
			return st.Version
		}
		return 0
	})
	o.Metrics.Gauge("members", func() any { return len(o.Members.All()) })
	return e
}

// entryMetrics holds the metrics that the entry publishes.
type entryMetrics struct {
	requests       *expvar.Map // by request kind and outcome
	refusals       *expvar.Map // by error kind
	promptTokens   *expvar.Map // "cached" and "recomputed"
	firstToken     *metrics.DurationHistograms
	betweenTokens  *metrics.DurationHistograms
	retries        *expvar.Int
	hedgedAttempts *expvar.Int // second attempts for short interactive answers
	continuations  *expvar.Int // attempts that continued a partial answer on another endpoint
	resumes        *expvar.Int
	foreignFrames  *expvar.Int // frames of another attempt or customer
}

func newEntryMetrics(r *metrics.Registry) entryMetrics {
	return entryMetrics{
		requests: r.LabeledCounter("requests"), refusals: r.LabeledCounter("refusals"), promptTokens: r.LabeledCounter("prompt_tokens"),
		firstToken: r.DurationHistograms("first_token"), betweenTokens: r.DurationHistograms("between_tokens"),
		retries: r.Counter("retries"), hedgedAttempts: r.Counter("hedged"), continuations: r.Counter("continued"), resumes: r.Counter("resumes"), foreignFrames: r.Counter("foreign_frames"),
	}
}

// Ready reports whether the entry can serve requests: it has a configuration and is
// not draining.
func (e *Entry) Ready() bool { return !e.draining.Load() && e.opts.Config.Current() != nil }

// BeginDrain makes readiness checks fail. Requests are still accepted, because the
// load balancer needs time to stop sending them, but their connections are closed
// after the answer.
func (e *Entry) BeginDrain() { e.draining.Store(true) }

// Drain refuses new requests and waits for the running ones to finish. If ctx ends
// first, the error lists the IDs of the interrupted requests.
func (e *Entry) Drain(ctx context.Context) error {
	e.BeginDrain()
	e.inFlight.Close()
	if err := e.inFlight.Wait(ctx); err != nil {
		e.runningMu.Lock()
		defer e.runningMu.Unlock()
		return fmt.Errorf("drain entry %s: cut %s: %w", e.opts.ID, strings.Join(slices.Sorted(maps.Keys(e.runningIDs)), ", "), err)
	}
	return nil
}

// trackRequest adds the ID to the running requests; the returned function removes it.
func (e *Entry) trackRequest(id string) func() {
	e.runningMu.Lock()
	defer e.runningMu.Unlock()
	e.runningIDs[id] = true
	return func() {
		e.runningMu.Lock()
		defer e.runningMu.Unlock()
		delete(e.runningIDs, id)
	}
}

// agentClient returns a client for the agent at the address, and its connection.
func (e *Entry) agentClient(address string) (rpc.AgentClient, *grpc.ClientConn, error) {
	c, err := e.opts.Pool.Get(address)
	if err != nil {
		return nil, nil, err
	}
	return rpc.NewAgentClient(c), c, nil
}
