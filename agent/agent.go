// Package agent is the process beside an endpoint host: the last gate before its
// endpoints. It runs attempts on engines and plain services.
package agent

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/galenaweir/galenaweir/claimsvc"
	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/inflight"
	"github.com/galenaweir/galenaweir/metrics"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/protocol"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/rpc/dial"
	"github.com/galenaweir/galenaweir/wait"
)

// Options sets up an agent.
type Options struct {
	ID           string
	CacheSecret  []byte
	SilenceLimit time.Duration
	Config       node.Config
	Members      node.Members
	Engine       protocol.Engine
	Claims       *claimsvc.Service // nil for an agent without claims
	ClaimClient  *claimsvc.Client
	Pool         *dial.Pool        // connections to other agents
	Cache        *Cache            // nil for no stores
	Gate         *Gate             // nil to admit everything at once
	Directory    *Directory        // nil for no part in the context directory
	Metrics      *metrics.Registry // nil for metrics.Default
}

// Times of the attempts that the agent keeps.
const (
	keepEnded      = 30 * time.Second       // for followers that come back
	orphanGrace    = 5 * time.Second        // before an attempt that nobody follows is cancelled
	frameKeepAlive = 500 * time.Millisecond // interval of keep-alive frames
	cancelTimeout  = 2 * time.Second
	cancelTries    = 4
	cancelPause    = 100 * time.Millisecond // doubles with each try
	maxRunTime     = time.Hour              // of an attempt whose request states no deadline
)

// Keep-alive pings of the gRPC server. They close a connection that has gone
// silent, so that a follower on it doesn't hold an attempt that nobody reads.
const (
	pingInterval = 10 * time.Second
	pingTimeout  = 3 * time.Second
)

// ServerOptions returns the options of a gRPC server for an agent.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.MaxRecvMsgSize(maxMessageBytes),
	}
}

const maxMessageBytes = 16 << 20 // as in rpc/dial

// Agent implements rpc.AgentServer.
type Agent struct {
	rpc.UnimplementedAgentServer
	o Options

	mu       sync.Mutex
	attempts map[string]*attempt
	work     inflight.Group
	calls    *calls
	backlog  backlog

	active  atomic.Int64
	epoch   atomic.Uint64
	dropped atomic.Int64

	refusals *expvar.Map // by error kind
	resumes  *expvar.Int
}

// New returns an agent.
func New(o Options) *Agent {
	if o.Metrics == nil {
		o.Metrics = metrics.Default
	}
	a := &Agent{o: o, attempts: map[string]*attempt{}, calls: newCalls(), refusals: o.Metrics.CountBy("refusals"), resumes: o.Metrics.Count("engine_resumes")}
	o.Metrics.Gauge("running", func() any { return a.active.Load() })
	o.Metrics.Gauge("engine_foreign_frames", func() any { return a.dropped.Load() })
	o.Metrics.Gauge("config_version", func() any {
		if st := o.Config.Current(); st != nil {
			return st.Version
		}
		return 0
	})
	if o.Members != nil {
		o.Metrics.Gauge("members", func() any { return len(o.Members.All()) })
	}
	return a
}

// DroppedFrames returns how many frames of engines named another attempt.
func (a *Agent) DroppedFrames() int64 { return a.dropped.Load() }

// endpoint returns the configured endpoint if this agent stands before it.
func (a *Agent) endpoint(id string) (config.Endpoint, *config.Document, error) {
	st := a.o.Config.Current()
	if st == nil {
		return config.Endpoint{}, nil, apierr.NewRetryable(apierr.NotReady, apierr.NotRun, time.Second, "agent "+a.o.ID+" has no configuration yet", "retry in a second")
	}
	e, ok := st.Doc.Endpoints[id]
	if !ok || e.Agent != a.o.ID {
		return e, nil, apierr.NewRetryable(apierr.NoEndpoint, apierr.NotRun, time.Second, fmt.Sprintf("agent %s does not stand before endpoint %q", a.o.ID, id), "retry; the entry's configuration is being updated")
	}
	return e, st.Doc, nil
}

// enter admits one piece of work unless the agent is draining; the work must end
// with a call of leave.
func (a *Agent) enter() error {
	if !a.work.TryAdd() {
		return apierr.NewRetryable(apierr.Draining, apierr.NotRun, 100*time.Millisecond, "agent "+a.o.ID+" is leaving", "retry; another endpoint is tried")
	}
	return nil
}

func (a *Agent) leave() { a.work.Done() }

// Leaving reports whether the agent refuses new work.
func (a *Agent) Leaving() bool { return a.work.Closed() }

// BeginDrain refuses new work from now on.
func (a *Agent) BeginDrain() { a.work.Close() }

// Drain refuses new work and waits until all running work has ended and its last
// frame was sent, or until ctx ends; then the error names the attempts cut.
func (a *Agent) Drain(ctx context.Context) error {
	a.BeginDrain()
	if err := a.work.Wait(ctx); err != nil {
		return fmt.Errorf("drain agent %s: cut %s: %w", a.o.ID, strings.Join(a.unfinished(), ", "), err)
	}
	return nil
}

// unfinished returns the IDs of the attempts that still run.
func (a *Agent) unfinished() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var ids []string
	for id, at := range a.attempts {
		if !at.ended() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Generate implements rpc.AgentServer.
func (a *Agent) Generate(req *rpc.GenerateRequest, s grpc.ServerStreamingServer[rpc.Frame]) error {
	at, err := a.attempt(req)
	if err != nil {
		a.refusals.Add(string(apierr.From(err).Kind), 1)
		return s.Send(&rpc.Frame{AttemptId: req.AttemptId, Customer: req.Customer, Body: &rpc.Frame_Error{Error: rpc.EncodeError(err)}, Load: a.load(req.Endpoint, "")})
	}
	return a.follow(s.Context(), at, req.ResumeSeq, s.Send)
}

// attempt returns the attempt that the request names, and starts it if needed.
// A resumed attempt is running work, which a leaving agent finishes.
func (a *Agent) attempt(req *rpc.GenerateRequest) (*attempt, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, ok := a.attempts[req.AttemptId]; ok {
		if at.customer != req.Customer {
			return nil, apierr.New(apierr.Forbidden, apierr.NotRun, "the attempt belongs to another customer", "use the customer's own request")
		}
		return at, nil
	}
	e, doc, err := a.endpoint(req.Endpoint)
	if err != nil {
		return nil, err
	}
	if req.DeadlineMs < 0 {
		return nil, apierr.New(apierr.DeadlineExceeded, apierr.NotRun, "the deadline passed before the attempt began", "allow more time with Galenaweir-Deadline-Ms")
	}
	if req.Resume {
		a.work.Add()
	} else if err := a.enter(); err != nil {
		return nil, err
	}
	at := newAttempt(req, e.Address, prefix.DeriveCustomerKey(a.o.CacheSecret, req.Customer))
	a.attempts[req.AttemptId] = at
	a.start(at, req, doc)
	return at, nil
}

// start runs the attempt in the background.
func (a *Agent) start(at *attempt, req *rpc.GenerateRequest, doc *config.Document) {
	limit := maxRunTime
	if req.DeadlineMs > 0 {
		limit = min(limit, time.Duration(req.DeadlineMs)*time.Millisecond)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	at.cancel = cancel
	ctx, stop := context.WithTimeout(ctx, limit)
	go func() {
		defer a.leave()
		defer stop()
		a.execute(ctx, at, req, doc)
		a.forgetLater(at)
		<-at.delivered
	}()
}

// forgetLater keeps the ended attempt a while for followers that come back.
func (a *Agent) forgetLater(at *attempt) {
	time.AfterFunc(keepEnded, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.attempts, at.id)
	})
}

// execute runs the attempt to its end.
func (a *Agent) execute(ctx context.Context, at *attempt, req *rpc.GenerateRequest, doc *config.Document) {
	a.active.Add(1)
	defer a.active.Add(-1)
	key := prefix.DeriveCustomerKey(a.o.CacheSecret, req.Customer)
	salt := prefix.Derive(key, "salt", req.Model, req.Adapter)
	r := runner{
		ran:    apierr.NotRun,
		engine: a.o.Engine, silence: a.o.SilenceLimit, dropped: func() { a.dropped.Add(1) },
		resumed:    func() { a.resumes.Add(1) },
		mayRestart: req.ResumeSeq == 0 && !(req.Resume && a.Leaving()),
	}
	preq := &protocol.Request{
		AttemptID: at.engineID, Model: req.Model, Prompt: req.Prompt, PriorOutput: req.PrefixOutput,
		MaxTokens: int(req.MaxTokens), Priority: doc.Priorities[req.Priority].Rank,
		CacheSalt: fmt.Sprintf("%x", salt), WeightVersion: req.WeightVersion, Sampling: req.Sampling,
	}
	prefilled := a.backlog.add(req.Endpoint, preq.Priority, int(req.PrefillTokens))
	defer prefilled()
	r.began = func() {
		prefilled()
		a.o.Gate.Began(req.Endpoint, req.AttemptId)
	}
	release, err := a.o.Gate.Acquire(ctx, doc, req)
	if err == nil {
		granted := time.Now()
		a.o.Cache.Import(ctx, doc, req, preq.CacheSalt)
		err = r.run(ctx, at, preq, req.Resume)
		release(at.tokens())
		a.backlog.held(req.Endpoint, time.Since(granted))
	}
	if err == nil {
		a.o.Cache.Export(doc, req, preq.CacheSalt, at.weightVersion())
		at.finish(nil)
		return
	}
	log.Warn().Str("request", req.RequestId).Str("attempt", at.id).Str("endpoint", at.endpoint).Str("ran", string(r.ran)).Err(err).Msg("attempt failed")
	at.finish(translate(err, at.endpoint, r.ran))
	if r.ran != apierr.NotRun {
		a.abandon(at.address, at.engineID)
	}
}

// abandon frees an attempt's place in the engine. It tries again, because an
// engine that keeps streams for a resume works for a lost cancel to its end.
func (a *Agent) abandon(address, engineID string) {
	for n := range cancelTries {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		err := a.o.Engine.Cancel(ctx, address, engineID)
		cancel()
		if err == nil || errors.Is(err, protocol.ErrNotFound) {
			return
		}
		log.Warn().Str("attempt", engineID).Int("try", n+1).Err(err).Msg("cancel at the engine failed")
		wait.For(context.Background(), cancelPause<<n)
	}
}

// Cancel implements rpc.AgentServer. An attempt that this agent doesn't know may
// have been started before a restart, so it is cancelled at the engines; it may
// also still be on its way here, so its ID is refused for a while.
func (a *Agent) Cancel(_ context.Context, req *rpc.CancelRequest) (*rpc.CancelReply, error) {
	a.mu.Lock()
	at, ok := a.attempts[req.AttemptId]
	if !ok {
		at = newAttempt(&rpc.GenerateRequest{AttemptId: req.AttemptId, Customer: req.Customer}, "", prefix.DeriveCustomerKey(a.o.CacheSecret, req.Customer))
		at.finish(translate(errCancelled, "", apierr.RanUnknown))
		a.attempts[req.AttemptId] = at
	}
	a.mu.Unlock()
	switch {
	case !ok:
		a.forgetLater(at)
		a.work.Add()
		go func() {
			defer a.work.Done()
			a.cancelUnknown(at.engineID)
		}()
	case at.customer == req.Customer:
		at.cancel(errCancelled)
	}
	return &rpc.CancelReply{}, nil
}

func (a *Agent) cancelUnknown(engineID string) {
	st := a.o.Config.Current()
	if st == nil {
		return
	}
	for _, e := range st.Doc.Endpoints {
		if e.Agent == a.o.ID && e.Model != "" {
			a.abandon(e.Address, engineID)
		}
	}
}
