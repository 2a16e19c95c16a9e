// Package agent is the process beside an endpoint host: the last gate before its
// endpoints. It runs attempts on engines and plain services.
package agent

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/protocol"
	"github.com/galenaweir/galenaweir/rpc"
)

// Options sets up an agent.
type Options struct {
	ID           string
	CacheSecret  []byte
	SilenceLimit time.Duration
	Config       node.Config
	Members      node.Members
	Engine       protocol.Engine
	Cache        *Cache     // nil for no stores
	Gate         *Gate      // nil to admit everything at once
	Directory    *Directory // nil for no part in the context directory
}

// Times of the attempts that the agent keeps.
const (
	keepEnded      = 30 * time.Second       // for followers that come back
	orphanGrace    = 5 * time.Second        // before an attempt that nobody follows is cancelled
	frameKeepAlive = 500 * time.Millisecond // interval of keep-alive frames
	cancelTimeout  = 2 * time.Second
)

// Agent implements rpc.AgentServer.
type Agent struct {
	rpc.UnimplementedAgentServer
	o Options

	mu       sync.Mutex
	attempts map[string]*attempt
	draining bool
	running  sync.WaitGroup

	active  atomic.Int64
	epoch   atomic.Uint64
	dropped atomic.Int64
}

// New returns an agent.
func New(o Options) *Agent {
	return &Agent{o: o, attempts: map[string]*attempt{}}
}

// DroppedFrames returns how many frames of engines named another attempt.
func (a *Agent) DroppedFrames() int64 { return a.dropped.Load() }

// endpoint returns the configured endpoint if this agent stands before it.
func (a *Agent) endpoint(id string) (config.Endpoint, *config.Document, error) {
	st := a.o.Config.Current()
	if st == nil {
		return config.Endpoint{}, nil, apierr.Retry(apierr.NotReady, apierr.NotRun, time.Second, "agent "+a.o.ID+" has no configuration yet", "retry in a second")
	}
	e, ok := st.Doc.Endpoints[id]
	if !ok || e.Agent != a.o.ID {
		return e, nil, apierr.Retry(apierr.NoEndpoint, apierr.NotRun, time.Second, fmt.Sprintf("agent %s does not stand before endpoint %q", a.o.ID, id), "retry; the entry's configuration is being updated")
	}
	return e, st.Doc, nil
}

// enter admits one piece of work unless the agent is draining; the work must end
// with a call of leave.
func (a *Agent) enter() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return apierr.Retry(apierr.Draining, apierr.NotRun, 100*time.Millisecond, "agent "+a.o.ID+" is leaving", "retry; another endpoint is tried")
	}
	a.running.Add(1)
	return nil
}

func (a *Agent) leave() { a.running.Done() }

// Leaving reports whether the agent refuses new work.
func (a *Agent) Leaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

// BeginDrain refuses new work from now on.
func (a *Agent) BeginDrain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
}

// Drain refuses new work and waits until all running work has ended or ctx ends.
func (a *Agent) Drain(ctx context.Context) error {
	a.BeginDrain()
	ended := make(chan struct{})
	go func() {
		a.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain agent %s: %d attempts were cut: %w", a.o.ID, a.active.Load(), ctx.Err())
	}
}

func (a *Agent) load(endpoint, version string) *rpc.LoadReport {
	l, ok := a.o.Gate.Load(endpoint)
	if !ok {
		l.Running = int(a.active.Load())
	}
	return &rpc.LoadReport{
		Endpoint: endpoint, Running: uint32(l.Running), Waiting: uint32(l.Waiting),
		QueuedTokens: uint32(l.QueuedTokens), WeightVersion: version, Leaving: a.Leaving(), Epoch: a.epoch.Add(1),
	}
}

// Generate implements rpc.AgentServer.
func (a *Agent) Generate(req *rpc.GenerateRequest, s grpc.ServerStreamingServer[rpc.Frame]) error {
	at, err := a.attempt(req)
	if err != nil {
		return s.Send(&rpc.Frame{AttemptId: req.AttemptId, Customer: req.Customer, Body: &rpc.Frame_Error{Error: rpc.EncodeError(err)}, Load: a.load(req.Endpoint, "")})
	}
	return a.follow(s.Context(), at, req.ResumeSeq, s.Send)
}

// attempt returns the attempt that the request names, and starts it if needed.
func (a *Agent) attempt(req *rpc.GenerateRequest) (*attempt, error) {
	a.mu.Lock()
	at, ok := a.attempts[req.AttemptId]
	a.mu.Unlock()
	if ok {
		if at.customer != req.Customer {
			return nil, apierr.New(apierr.Forbidden, apierr.NotRun, "the attempt belongs to another customer", "use the customer's own request")
		}
		return at, nil
	}
	e, doc, err := a.endpoint(req.Endpoint)
	if err != nil {
		return nil, err
	}
	if err := a.enter(); err != nil && !req.Resume {
		return nil, err
	} else if err != nil {
		a.running.Add(1) // a resumed attempt is running work, which a leaving agent finishes
	}
	return a.start(req, e, doc), nil
}

func (a *Agent) start(req *rpc.GenerateRequest, e config.Endpoint, doc *config.Document) *attempt {
	ctx, cancel := context.WithCancelCause(context.Background())
	stop := func() {}
	if req.DeadlineMs > 0 {
		ctx, stop = context.WithTimeout(ctx, time.Duration(req.DeadlineMs)*time.Millisecond)
	}
	at := &attempt{id: req.AttemptId, customer: req.Customer, endpoint: req.Endpoint, address: e.Address, cancel: cancel, changed: make(chan struct{})}
	a.mu.Lock()
	if other, ok := a.attempts[req.AttemptId]; ok {
		a.mu.Unlock()
		a.leave()
		stop()
		return other
	}
	a.attempts[req.AttemptId] = at
	a.mu.Unlock()
	go func() {
		defer a.leave()
		defer stop()
		a.execute(ctx, at, req, doc)
	}()
	return at
}

// execute runs the attempt to its end and forgets it a while later.
func (a *Agent) execute(ctx context.Context, at *attempt, req *rpc.GenerateRequest, doc *config.Document) {
	a.active.Add(1)
	defer a.active.Add(-1)
	key := prefix.DeriveCustomerKey(a.o.CacheSecret, req.Customer)
	salt := prefix.Derive(key, "salt", req.Model, req.Adapter)
	r := runner{engine: a.o.Engine, silence: a.o.SilenceLimit, dropped: func() { a.dropped.Add(1) }}
	preq := &protocol.Request{
		AttemptID: req.AttemptId, Model: req.Model, Prompt: req.Prompt, Continue: req.PrefixOutput,
		MaxTokens: int(req.MaxTokens), Priority: doc.Priorities[req.Priority].Rank,
		CacheSalt: fmt.Sprintf("%x", salt), WeightVersion: req.WeightVersion,
	}
	release, err := a.o.Gate.Acquire(ctx, doc, req)
	if err == nil {
		a.o.Cache.Import(ctx, doc, req, preq.CacheSalt)
		err = r.run(ctx, at, preq, req.Resume)
		release(at.tokens())
	}
	if err == nil {
		a.o.Cache.Export(doc, req, preq.CacheSalt, at.version())
	}
	if err != nil {
		a.abandon(at)
		frames, _, _, _ := at.since(0)
		err = translate(err, at.endpoint, len(frames) > 0)
		log.Warn().Str("request", req.RequestId).Str("attempt", at.id).Str("endpoint", at.endpoint).Err(err).Msg("attempt failed")
	}
	at.finish(err)
	time.AfterFunc(keepEnded, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.attempts, at.id)
	})
}

// abandon frees the attempt's place in the engine.
func (a *Agent) abandon(at *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := a.o.Engine.Cancel(ctx, at.address, at.id); err != nil {
		log.Debug().Str("attempt", at.id).Err(err).Msg("cancel at the engine failed; it ends by itself")
	}
}

// Cancel implements rpc.AgentServer.
func (a *Agent) Cancel(_ context.Context, req *rpc.CancelRequest) (*rpc.CancelReply, error) {
	a.mu.Lock()
	at, ok := a.attempts[req.AttemptId]
	a.mu.Unlock()
	if ok && at.customer == req.Customer {
		at.cancel(errCancelled)
	}
	return &rpc.CancelReply{}, nil
}

// follow sends the attempt's frames from seq on until it ends or ctx does.
func (a *Agent) follow(ctx context.Context, at *attempt, seq uint64, send func(*rpc.Frame) error) error {
	at.join()
	defer at.part(orphanGrace)
	keepAlive := time.NewTicker(frameKeepAlive)
	defer keepAlive.Stop()
	for {
		frames, done, changed, err := at.since(seq)
		for _, f := range frames {
			if f.GetStart() != nil || f.GetEnd() != nil {
				f = &rpc.Frame{AttemptId: f.AttemptId, Customer: f.Customer, Seq: f.Seq, Body: f.Body, Load: a.load(at.endpoint, "")}
			}
			if err := send(f); err != nil {
				return err
			}
			seq++
		}
		if done {
			if err != nil {
				return send(&rpc.Frame{AttemptId: at.id, Customer: at.customer, Seq: seq, Body: &rpc.Frame_Error{Error: rpc.EncodeError(err)}, Load: a.load(at.endpoint, "")})
			}
			return nil
		}
		select {
		case <-changed:
		case <-keepAlive.C:
			if err := send(&rpc.Frame{AttemptId: at.id, Customer: at.customer, Body: &rpc.Frame_KeepAlive{KeepAlive: &rpc.KeepAlive{}}}); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// join counts a follower.
func (a *attempt) join() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.followers++
	if a.orphaned != nil {
		a.orphaned.Stop()
	}
}

// part counts a follower out; the attempt is cancelled when nobody comes back
// within the grace.
func (a *attempt) part(grace time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.followers--
	if a.followers == 0 && !a.done {
		a.orphaned = time.AfterFunc(grace, func() {
			a.mu.Lock()
			alone := a.followers == 0
			a.mu.Unlock()
			if alone {
				a.cancel(errOrphaned)
			}
		})
	}
}
