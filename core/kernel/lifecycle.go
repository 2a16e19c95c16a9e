package kernel

import (
	"context"
	"errors"
	"fmt"
)

// Provisioner is a component that acquires resources before it is validated.
type Provisioner interface {
	Provision(ctx context.Context) error
}

// Validator is a component that checks its settings before any component starts.
type Validator interface {
	Validate() error
}

// Starter is a component that must be started. Start returns once it is running.
type Starter interface {
	Start(ctx context.Context) error
}

// Drainer is a component that stops gracefully. Drain rejects new work, waits for the
// work in progress, and returns early if ctx is done.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Cleaner is a component that releases what Provision acquired. Cleanup is also called
// if Provision or Validate failed.
type Cleaner interface {
	Cleanup() error
}

type component struct {
	name  string
	value any
}

// Lifecycle starts components in the order in which they were added and drains them
// in reverse order. The zero value is ready to use.
type Lifecycle struct {
	components []component
	started    int
}

// Add appends a component. It may implement any of Provisioner, Validator, Starter,
// Drainer and Cleaner.
func (l *Lifecycle) Add(name string, v any) { l.components = append(l.components, component{name, v}) }

// Start provisions and validates all components and then starts them. On an error it
// drains the components that were started and cleans up those that were provisioned.
func (l *Lifecycle) Start(ctx context.Context) error {
	for i, c := range l.components {
		if err := provisionAndValidate(ctx, c); err != nil {
			return errors.Join(err, cleanup(l.components[:i+1]))
		}
	}
	for _, c := range l.components {
		if s, ok := c.value.(Starter); ok {
			if err := s.Start(ctx); err != nil {
				return errors.Join(fmt.Errorf("start %s: %w", c.name, err), l.Drain(ctx))
			}
		}
		l.started++
	}
	return nil
}

// provisionAndValidate calls Provision and then Validate, if the component has them.
func provisionAndValidate(ctx context.Context, c component) error {
	if p, ok := c.value.(Provisioner); ok {
		if err := p.Provision(ctx); err != nil {
			return fmt.Errorf("provision %s: %w", c.name, err)
		}
	}
	if v, ok := c.value.(Validator); ok {
		if err := v.Validate(); err != nil {
			return fmt.Errorf("validate %s: %w", c.name, err)
		}
	}
	return nil
}

// Drain drains the started components and cleans up all components, both in reverse
// order.
func (l *Lifecycle) Drain(ctx context.Context) error {
	var errs []error
	for i := l.started - 1; i >= 0; i-- {
		if d, ok := l.components[i].value.(Drainer); ok {
			if err := d.Drain(ctx); err != nil {
				errs = append(errs, fmt.Errorf("drain %s: %w", l.components[i].name, err))
			}
		}
	}
	l.started = 0
	return errors.Join(append(errs, cleanup(l.components))...)
}

func cleanup(components []component) error {
	var errs []error
	for i := len(components) - 1; i >= 0; i-- {
		if c, ok := components[i].value.(Cleaner); ok {
			if err := c.Cleanup(); err != nil {
				errs = append(errs, fmt.Errorf("clean up %s: %w", components[i].name, err))
			}
		}
	}
	return errors.Join(errs...)
}

// Hooks is a component that consists of functions, each of which may be nil.
type Hooks struct {
	OnStart func(ctx context.Context) error
	OnDrain func(ctx context.Context) error
	OnClean func() error
}

// Start calls OnStart. It implements Starter.
func (h Hooks) Start(ctx context.Context) error {
	if h.OnStart == nil {
		return nil
	}
	return h.OnStart(ctx)
}

// Drain calls OnDrain. It implements Drainer.
func (h Hooks) Drain(ctx context.Context) error {
	if h.OnDrain == nil {
		return nil
	}
	return h.OnDrain(ctx)
}

// Cleanup calls OnClean. It implements Cleaner.
func (h Hooks) Cleanup() error {
	if h.OnClean == nil {
		return nil
	}
	return h.OnClean()
}
