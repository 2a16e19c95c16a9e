// Package protocoltest holds a fake of protocol.Engine.
package protocoltest

import (
	"context"
	"sync"

	"github.com/galenaweir/galenaweir/protocol"
)

// Stream is one scripted stream: it sends events and returns.
type Stream func(ctx context.Context, sink func(protocol.Event) error) error

// Engine answers each Generate and Resume with the next stream of its script.
// Beyond the script streams send nothing until their context ends.
type Engine struct {
	protocol.Engine // the methods that no script covers

	mu           sync.Mutex
	Generated    []Stream
	Resumed      []Stream
	CancelErrors []error
	calls        []string
}

// Calls returns the calls so far: generate, resume and cancel.
func (e *Engine) Calls() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.calls...)
}

func (e *Engine) next(call string, script *[]Stream) Stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, call)
	if script == nil || len(*script) == 0 {
		return func(ctx context.Context, _ func(protocol.Event) error) error {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	s := (*script)[0]
	*script = (*script)[1:]
	return s
}

// Generate implements protocol.Engine.
func (e *Engine) Generate(ctx context.Context, _ string, r *protocol.Request, sink func(protocol.Event) error) error {
	return e.next("generate", &e.Generated)(ctx, naming(r.AttemptID, sink))
}

// Resume implements protocol.Engine.
func (e *Engine) Resume(ctx context.Context, _, id string, _ uint64, sink func(protocol.Event) error) error {
	return e.next("resume", &e.Resumed)(ctx, naming(id, sink))
}

// naming fills in the attempt's ID where the script names none.
func naming(id string, sink func(protocol.Event) error) func(protocol.Event) error {
	return func(ev protocol.Event) error {
		if ev.AttemptID == "" {
			ev.AttemptID = id
		}
		return sink(ev)
	}
}

// Cancel implements protocol.Engine. It fails as often as CancelErrors says.
func (e *Engine) Cancel(context.Context, string, string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, "cancel")
	if len(e.CancelErrors) == 0 {
		return nil
	}
	err := e.CancelErrors[0]
	e.CancelErrors = e.CancelErrors[1:]
	return err
}
