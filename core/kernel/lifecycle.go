package kernel

import (
	"context"
	"errors"
	"fmt"
)

// Provisioner prepares a component before validation.
type Provisioner interface {
	Provision(ctx context.Context) error
}

// Validator reports settings that can't work.
type Validator interface {
	Validate() error
}

// Starter begins a component's work and returns when it is started.
type Starter interface {
	Start(ctx context.Context) error
}

// Drainer ends a component gracefully: it takes no new work, finishes what runs,
// and returns. It returns early when ctx ends.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Cleaner frees what Provision acquired.
type Cleaner interface {
	Cleanup() error
}

type component struct {
	name string
	v    any
}

// Lifecycle starts components in the order of Add and drains them in reverse.
type Lifecycle struct {
	parts   []component
	started int
}

// Add appends a component; it may implement any of the interfaces above.
func (l *Lifecycle) Add(name string, v any) { l.parts = append(l.parts, component{name, v}) }

// Start provisions and validates all components, then starts them. On an error
// it cleans up what was provisioned.
func (l *Lifecycle) Start(ctx context.Context) error {
	for i, c := range l.parts {
		if err := provision(ctx, c); err != nil {
			return errors.Join(err, cleanup(l.parts[:i+1]))
		}
	}
	for _, c := range l.parts {
		if s, ok := c.v.(Starter); ok {
			if err := s.Start(ctx); err != nil {
				return errors.Join(fmt.Errorf("start %s: %w", c.name, err), l.Drain(ctx))
			}
		}
		l.started++
	}
	return nil
}

func provision(ctx context.Context, c component) error {
	if p, ok := c.v.(Provisioner); ok {
		if err := p.Provision(ctx); err != nil {
			return fmt.Errorf("provision %s: %w", c.name, err)
		}
	}
	if v, ok := c.v.(Validator); ok {
		if err := v.Validate(); err != nil {
			return fmt.Errorf("validate %s: %w", c.name, err)
		}
	}
	return nil
}

// Drain drains the started components in reverse order and cleans up all.
func (l *Lifecycle) Drain(ctx context.Context) error {
	var errs []error
	for i := l.started - 1; i >= 0; i-- {
		if d, ok := l.parts[i].v.(Drainer); ok {
			if err := d.Drain(ctx); err != nil {
				errs = append(errs, fmt.Errorf("drain %s: %w", l.parts[i].name, err))
			}
		}
	}
	l.started = 0
	return errors.Join(append(errs, cleanup(l.parts))...)
}

func cleanup(parts []component) error {
	var errs []error
	for i := len(parts) - 1; i >= 0; i-- {
		if c, ok := parts[i].v.(Cleaner); ok {
			if err := c.Cleanup(); err != nil {
				errs = append(errs, fmt.Errorf("clean up %s: %w", parts[i].name, err))
			}
		}
	}
	return errors.Join(errs...)
}

// Hooks is a component made of functions; any may be nil.
type Hooks struct {
	OnStart func(ctx context.Context) error
	OnDrain func(ctx context.Context) error
	OnClean func() error
}

// Start implements Starter.
func (h Hooks) Start(ctx context.Context) error {
	if h.OnStart == nil {
		return nil
	}
	return h.OnStart(ctx)
}

// Drain implements Drainer.
func (h Hooks) Drain(ctx context.Context) error {
	if h.OnDrain == nil {
		return nil
	}
	return h.OnDrain(ctx)
}

// Cleanup implements Cleaner.
func (h Hooks) Cleanup() error {
	if h.OnClean == nil {
		return nil
	}
	return h.OnClean()
}
