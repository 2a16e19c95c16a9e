package protocol

import (
	"context"
	"fmt"
	"sync"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/prefix"
)

// DefaultProtocol is the protocol of endpoints whose configuration doesn't name one.
const DefaultProtocol kernel.ID = "protocol.streaming"

// EngineByEndpoint implements Engine by delegating to the protocol plug-in of each endpoint.
type EngineByEndpoint struct {
	// ProtocolAt returns the plug-in ID for the endpoint at an address, or an empty ID for
	// the default protocol.
	ProtocolAt func(address string) kernel.ID

	mu      sync.Mutex
	engines map[kernel.ID]Engine
}

// engineFor returns the engine client for the address. For a plug-in ID that this build
// doesn't include it returns ErrRejected instead of falling back to the default, since
// calling an engine with another protocol could do harm.
func (b *EngineByEndpoint) engineFor(address string) (Engine, error) {
	id := b.ProtocolAt(address)
	if id == "" {
		id = DefaultProtocol
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if e, ok := b.engines[id]; ok {
		return e, nil
	}
	e, err := kernel.New[Engine](id)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	if b.engines == nil {
		b.engines = map[kernel.ID]Engine{}
	}
	b.engines[id] = e
	return e, nil
}

// CloseIdle closes the idle connections of every protocol that supports it.
func (b *EngineByEndpoint) CloseIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.engines {
		if c, ok := e.(interface{ CloseIdle() }); ok {
			c.CloseIdle()
		}
	}
}

// withEngine calls f with the engine client for the address.
func (b *EngineByEndpoint) withEngine(address string, f func(Engine) error) error {
	e, err := b.engineFor(address)
	if err != nil {
		return err
	}
	return f(e)
}

// Generate implements Engine.
func (b *EngineByEndpoint) Generate(ctx context.Context, address string, r *Request, sink func(Event) error) error {
	return b.withEngine(address, func(e Engine) error { return e.Generate(ctx, address, r, sink) })
}

// Resume implements Engine.
func (b *EngineByEndpoint) Resume(ctx context.Context, address, attemptID string, fromSeq uint64, sink func(Event) error) error {
	return b.withEngine(address, func(e Engine) error { return e.Resume(ctx, address, attemptID, fromSeq, sink) })
}

// Cancel implements Engine.
func (b *EngineByEndpoint) Cancel(ctx context.Context, address, attemptID string) error {
	return b.withEngine(address, func(e Engine) error { return e.Cancel(ctx, address, attemptID) })
}

// LoadReport implements Engine.
func (b *EngineByEndpoint) LoadReport(ctx context.Context, address string) (l LoadReport, err error) {
	err = b.withEngine(address, func(e Engine) (err error) { l, err = e.LoadReport(ctx, address); return err })
	return l, err
}

// EngineState implements Engine.
func (b *EngineByEndpoint) EngineState(ctx context.Context, address string) (s EngineState, err error) {
	err = b.withEngine(address, func(e Engine) (err error) { s, err = e.EngineState(ctx, address); return err })
	return s, err
}

// CacheEvents implements Engine.
func (b *EngineByEndpoint) CacheEvents(ctx context.Context, address string, after uint64) (es []CacheEvent, err error) {
	err = b.withEngine(address, func(e Engine) (err error) { es, err = e.CacheEvents(ctx, address, after); return err })
	return es, err
}

// Export implements Engine.
func (b *EngineByEndpoint) Export(ctx context.Context, address string, block prefix.Hash) (data []byte, weightVersion string, err error) {
	err = b.withEngine(address, func(e Engine) (err error) { data, weightVersion, err = e.Export(ctx, address, block); return err })
	return data, weightVersion, err
}

// Import implements Engine.
func (b *EngineByEndpoint) Import(ctx context.Context, address string, block prefix.Hash, weightVersion string, data []byte) error {
	return b.withEngine(address, func(e Engine) error { return e.Import(ctx, address, block, weightVersion, data) })
}

// SendOrder implements Engine.
func (b *EngineByEndpoint) SendOrder(ctx context.Context, address string, o Order) error {
	return b.withEngine(address, func(e Engine) error { return e.SendOrder(ctx, address, o) })
}
