// Package agent implements the process that runs beside an endpoint host. It admits
// requests to the host's endpoints and runs them as attempts on inference engines
// and as calls to plain services.
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

// Options configures an Agent.
type Options struct {
	ID           string
	CacheSecret  []byte
	SilenceLimit time.Duration
	Config       node.Config
	Members      node.Members
	Engine       protocol.Engine
	ClaimService *claimsvc.Service // nil for an agent that doesn't serve claims
	ClaimClient  *claimsvc.Client
	Pool         *dial.Pool        // connections to other agents
	Cache        *CacheManager     // nil to neither import nor export cache blocks
	Gate         *AdmissionGate    // nil to admit every prompt at once
	Directory    *ContextDirectory // nil for an agent without a share of the context directory
	Metrics      *metrics.Registry // nil for metrics.Default
}

// Limits and timeouts of attempts.
const (
	endedRetention    = 30 * time.Second       // retention of ended attempts for followers that reconnect
	orphanTimeout     = 5 * time.Second        // time without followers after which an attempt is cancelled
	keepAliveInterval = 500 * time.Millisecond // interval of keep-alive frames
	cancelTimeout     = 2 * time.Second        // per cancel call to the engine
	maxCancelAttempts = 4
	cancelRetryDelay  = 100 * time.Millisecond // before the first retry; doubles with each retry
	maxAttemptTime    = time.Hour              // also bounds attempts whose request states no deadline
)

// Keep-alive pings of the gRPC server. They close dead connections, so that a
// follower that is gone doesn't keep its attempt running.
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

const maxMessageBytes = 16 << 20 // must match the clients' limit in rpc/dial

// Agent implements rpc.AgentServer.
type Agent struct {
	rpc.UnimplementedAgentServer
	opts Options

	mu       sync.Mutex
	attempts map[string]*attempt
	inFlight inflight.Group
	calls    *serviceCalls
	backlog  prefillBacklog

	running         atomic.Int64
	loadReportEpoch atomic.Uint64
	foreignFrames   atomic.Int64

	refusals *expvar.Map // by error kind
	resumes  *expvar.Int
}

// New returns an agent.
func New(o Options) *Agent {
	if o.Metrics == nil {
		o.Metrics = metrics.Default
	}
	a := &Agent{opts: o, attempts: map[string]*attempt{}, calls: newServiceCalls(), refusals: o.Metrics.LabeledCounter("refusals"), resumes: o.Metrics.Counter("engine_resumes")}
	o.Metrics.Gauge("running", func() any { return a.running.Load() })
	o.Metrics.Gauge("engine_foreign_frames", func() any { return a.foreignFrames.Load() })
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

// ForeignFrames returns the number of engine frames that were dropped because they
// belonged to another attempt.
func (a *Agent) ForeignFrames() int64 { return a.foreignFrames.Load() }

// servedEndpoint returns the configuration of an endpoint that this agent serves.
func (a *Agent) servedEndpoint(id string) (config.Endpoint, *config.Document, error) {
	st := a.opts.Config.Current()
	if st == nil {
		return config.Endpoint{}, nil, apierr.NewRetryable(apierr.NotReady, apierr.NotRun, time.Second, "agent "+a.opts.ID+" has no configuration yet", "retry in a second")
	}
	e, ok := st.Doc.Endpoints[id]
	if !ok || e.Agent != a.opts.ID {
		return e, nil, apierr.NewRetryable(apierr.NoEndpoint, apierr.NotRun, time.Second, fmt.Sprintf("agent %s does not stand before endpoint %q", a.opts.ID, id), "retry; the entry's configuration is being updated")
	}
	return e, st.Doc, nil
}

// beginWork registers a piece of work, or returns an error if the agent is draining. The
// caller must call endWork when the work has ended.
func (a *Agent) beginWork() error {
	if !a.inFlight.TryAdd() {
		return apierr.NewRetryable(apierr.Draining, apierr.NotRun, 100*time.Millisecond, "agent "+a.opts.ID+" is leaving", "retry; another endpoint is tried")
	}
	return nil
}

// endWork unregisters a piece of work.
func (a *Agent) endWork() { a.inFlight.Done() }

// Leaving reports whether the agent refuses new work.
func (a *Agent) Leaving() bool { return a.inFlight.Closed() }

// BeginDrain makes the agent refuse new work.
func (a *Agent) BeginDrain() { a.inFlight.Close() }

// Drain refuses new work and waits until all running work has ended and the last frame
// of each attempt has been sent, or no follower is expected to reconnect to it. If ctx
// ends first, the error names the attempts that are still running.
func (a *Agent) Drain(ctx context.Context) error {
	a.BeginDrain()
	if err := a.inFlight.Wait(ctx); err != nil {
		return fmt.Errorf("drain agent %s: cut %s: %w", a.opts.ID, strings.Join(a.runningAttemptIDs(), ", "), err)
	}
	return nil
}

// runningAttemptIDs returns the IDs of the attempts that are still running.
func (a *Agent) runningAttemptIDs() []string {
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
	at, err := a.findOrStartAttempt(req)
	if err != nil {
		a.refusals.Add(string(apierr.From(err).Kind), 1)
		return s.Send(&rpc.Frame{AttemptId: req.AttemptId, Customer: req.Customer, Body: &rpc.Frame_Error{Error: rpc.EncodeError(err)}, Load: a.loadReport(req.Endpoint, "")})
	}
	return a.sendFrames(s.Context(), at, req.ResumeSeq, s.Send)
}

// findOrStartAttempt returns the attempt that the request names, and starts it if it
// isn't known. A draining agent still accepts resumed attempts, because they are
// already running on the engine.
func (a *Agent) findOrStartAttempt(req *rpc.GenerateRequest) (*attempt, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, ok := a.attempts[req.AttemptId]; ok {
		if at.customer != req.Customer {
			return nil, apierr.New(apierr.Forbidden, apierr.NotRun, "the attempt belongs to another customer", "use the customer's own request")
		}
		return at, nil
	}
	e, doc, err := a.servedEndpoint(req.Endpoint)
	if err != nil {
		return nil, err
	}
	if req.DeadlineMs < 0 {
		return nil, apierr.New(apierr.DeadlineExceeded, apierr.NotRun, "the deadline passed before the attempt began", "allow more time with Galenaweir-Deadline-Ms")
	}
	if req.Resume {
		a.inFlight.Add()
	} else if err := a.beginWork(); err != nil {
		return nil, err
	}
	at := newAttempt(req, e.Address, prefix.DeriveCustomerKey(a.opts.CacheSecret, req.Customer))
	a.attempts[req.AttemptId] = at
	a.startAttempt(at, req, doc)
	return at, nil
}

// startAttempt runs the attempt in the background.
func (a *Agent) startAttempt(at *attempt, req *rpc.GenerateRequest, doc *config.Document) {
	timeout := maxAttemptTime
	if req.DeadlineMs > 0 {
		timeout = min(timeout, time.Duration(req.DeadlineMs)*time.Millisecond)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	at.cancel = cancel
	ctx, stop := context.WithTimeout(ctx, timeout)
	go func() {
		defer a.endWork()
		defer stop()
		a.execute(ctx, at, req, doc)
		a.removeLater(at)
		<-at.delivered
	}()
}

// removeLater removes the ended attempt after endedRetention, so that followers can still
// reconnect to it until then.
func (a *Agent) removeLater(at *attempt) {
	time.AfterFunc(endedRetention, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.attempts, at.id)
	})
}

// execute waits for admission, runs the attempt on its engine and records the result.
func (a *Agent) execute(ctx context.Context, at *attempt, req *rpc.GenerateRequest, doc *config.Document) {
	a.running.Add(1)
	defer a.running.Add(-1)
	key := prefix.DeriveCustomerKey(a.opts.CacheSecret, req.Customer)
	salt := prefix.Derive(key, "salt", req.Model, req.Adapter)
	r := streamRunner{
		ran:    apierr.NotRun,
		engine: a.opts.Engine, silenceLimit: a.opts.SilenceLimit, onForeignFrame: func() { a.foreignFrames.Add(1) },
		onResume:     func() { a.resumes.Add(1) },
		allowRestart: req.ResumeSeq == 0 && !(req.Resume && a.Leaving()),
	}
	engineReq := &protocol.Request{
		AttemptID: at.engineID, Model: req.Model, Prompt: req.Prompt, PriorOutput: req.PrefixOutput,
		MaxTokens: int(req.MaxTokens), Priority: doc.Priorities[req.Priority].Rank,
		CacheSalt: fmt.Sprintf("%x", salt), WeightVersion: req.WeightVersion, Sampling: req.Sampling,
	}
	removeFromBacklog := a.backlog.add(req.Endpoint, engineReq.Priority, int(req.PrefillTokens))
	defer removeFromBacklog()
	r.onFirstFrame = func() {
		removeFromBacklog()
		a.opts.Gate.FirstFrameReceived(req.Endpoint, req.AttemptId)
	}
	release, err := a.opts.Gate.Acquire(ctx, doc, req)
	if err == nil {
		admittedAt := time.Now()
		a.opts.Cache.Import(ctx, doc, req, engineReq.CacheSalt)
		err = r.run(ctx, at, engineReq, req.Resume)
		release(at.tokenCount())
		a.backlog.recordSlotTime(req.Endpoint, time.Since(admittedAt))
	}
	if err == nil {
		a.opts.Cache.Export(doc, req, engineReq.CacheSalt, at.weightVersion())
		at.finish(nil)
		return
	}
	log.Warn().Str("request", req.RequestId).Str("attempt", at.id).Str("endpoint", at.endpoint).Str("ran", string(r.ran)).Err(err).Msg("attempt failed on the endpoint")
	at.finish(toAPIError(err, at.endpoint, r.ran))
	if r.ran != apierr.NotRun {
		a.cancelOnEngine(at.address, at.engineID)
	}
}

// cancelOnEngine cancels an attempt on its engine. It retries, because an engine that
// keeps streams for a resume would run the attempt to its end if the cancel were lost.
func (a *Agent) cancelOnEngine(address, engineID string) {
	for retry := range maxCancelAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		err := a.opts.Engine.Cancel(ctx, address, engineID)
		cancel()
		if err == nil || errors.Is(err, protocol.ErrNotFound) {
			return
		}
		log.Warn().Str("attempt", engineID).Int("try", retry+1).Err(err).Msg("could not cancel the attempt on its engine")
		wait.For(context.Background(), cancelRetryDelay<<retry)
	}
}

// Cancel implements rpc.AgentServer. An unknown attempt may have been started before
// this agent restarted, so it is cancelled on all engines. Its request may also arrive
// after the cancel, so the ID is recorded as cancelled for endedRetention.
func (a *Agent) Cancel(_ context.Context, req *rpc.CancelRequest) (*rpc.CancelReply, error) {
	a.mu.Lock()
	at, ok := a.attempts[req.AttemptId]
	if !ok {
		at = newAttempt(&rpc.GenerateRequest{AttemptId: req.AttemptId, Customer: req.Customer}, "", prefix.DeriveCustomerKey(a.opts.CacheSecret, req.Customer))
		at.finish(toAPIError(errCancelled, "", apierr.RanUnknown))
		a.attempts[req.AttemptId] = at
	}
	a.mu.Unlock()
	switch {
	case !ok:
		a.removeLater(at)
		a.inFlight.Add()
		go func() {
			defer a.inFlight.Done()
			a.cancelOnAllEngines(at.engineID)
		}()
	case at.customer == req.Customer:
		at.cancel(errCancelled)
	}
	return &rpc.CancelReply{}, nil
}

// cancelOnAllEngines cancels the attempt on all engines of this agent.
func (a *Agent) cancelOnAllEngines(engineID string) {
	st := a.opts.Config.Current()
	if st == nil {
		return
	}
	for _, e := range st.Doc.Endpoints {
		if e.Agent == a.opts.ID && e.Model != "" {
			a.cancelOnEngine(e.Address, engineID)
		}
	}
}
