// Package entry is the process between the callers and the agents: it
// authenticates callers, chooses endpoints, and relays answers.
package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/galenaweir/galenaweir/core/limits"
	"github.com/galenaweir/galenaweir/core/routing"
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
	Routing       routing.Policy
	Contexts      ContextLookup // nil for no hints
	Seed          uint64        // of the random source that breaks ties
}

// Entry serves callers.
type Entry struct {
	o    Options
	view *view

	rngMu sync.Mutex
	rng   *rand.Rand

	draining atomic.Bool
	running  sync.WaitGroup
	limits   customerLimits
	foreign  atomic.Int64 // frames of another attempt or customer
	resumes  atomic.Int64
}

// New returns an entry.
func New(o Options) *Entry {
	return &Entry{o: o, view: newView(), limits: customerLimits{l: limits.New(o.ID)}, rng: rand.New(rand.NewPCG(o.Seed, 0))}
}

// Ready reports whether the entry can serve: it has a configuration and isn't
// leaving.
func (e *Entry) Ready() bool { return !e.draining.Load() && e.o.Config.Current() != nil }

// Drain refuses new requests and waits until the running ones have ended.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	ended := make(chan struct{})
	go func() {
		e.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
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
