// Package protocoltest provides a fake protocol.Engine.
package protocoltest

import (
	"context"
	"sync"

	"github.com/galenaweir/galenaweir/protocol"
)

// Stream is one scripted stream. It passes events to sink and returns.
type Stream func(ctx context.Context, sink func(protocol.Event) error) error

// Engine answers each Generate and Resume with the next stream of its script. Once the
// script is used up, a stream sends nothing and blocks until its context ends.
type Engine struct {
	protocol.Engine // handles the methods without a script; may be nil

	mu              sync.Mutex
	GenerateStreams []Stream
	ResumeStreams   []Stream
	CancelErrors    []error
	calls           []string
}

// Calls returns the calls so far, each as "generate", "resume" or "cancel".
func (e *Engine) Calls() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.calls...)
}

func (e *Engine) nextStream(call string, streams *[]Stream) Stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, call)
	if streams == nil || len(*streams) == 0 {
		return func(ctx context.Context, _ func(protocol.Event) error) error {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	s := (*streams)[0]
	*streams = (*streams)[1:]
	return s
}

// Generate implements protocol.Engine.
func (e *Engine) Generate(ctx context.Context, _ string, r *protocol.Request, sink func(protocol.Event) error) error {
	return e.nextStream("generate", &e.GenerateStreams)(ctx, withAttemptID(r.AttemptID, sink))
}

// Resume implements protocol.Engine.
func (e *Engine) Resume(ctx context.Context, _, id string, _ uint64, sink func(protocol.Event) error) error {
	return e.nextStream("resume", &e.ResumeStreams)(ctx, withAttemptID(id, sink))
}

// withAttemptID sets the attempt ID of events for which the script sets none.
func withAttemptID(id string, sink func(protocol.Event) error) func(protocol.Event) error {
	return func(ev protocol.Event) error {
		if ev.AttemptID == "" {
			ev.AttemptID = id
		}
		return sink(ev)
	}
}

// Cancel implements protocol.Engine. It returns the next of CancelErrors, if any.
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
