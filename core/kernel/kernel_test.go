package kernel

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

type greeter interface{ Greet() string }

type politeGreeter struct{}

func (politeGreeter) Greet() string { return "good day" }

func init() { Register(Info{ID: "greeting.polite", New: func() any { return politeGreeter{} }}) }

// TestPluginByID guards against a registered plug-in of which New returns no instance,
// and against an error for an unknown ID that does not list the registered IDs.
func TestPluginByID(t *testing.T) {
	g, err := New[greeter]("greeting.polite")
	require.NoError(t, err)
	require.Equal(t, "good day", g.Greet())
	_, err = New[greeter]("greeting.rude")
	require.ErrorContains(t, err, "greeting.polite", "the error lists the IDs of the family")
}

type testComponent struct {
	name  string
	fail  bool
	trace *[]string
}

func (c testComponent) Start(context.Context) error {
	*c.trace = append(*c.trace, "start "+c.name)
	if c.fail {
		return errors.New("broken")
	}
	return nil
}

func (c testComponent) Drain(context.Context) error {
	*c.trace = append(*c.trace, "drain "+c.name)
	return nil
}

// TestFailedStartDrainsStarted guards against components that keep running after a
// later component failed to start.
func TestFailedStartDrainsStarted(t *testing.T) {
	var trace []string
	var l Lifecycle
	l.Add("log", testComponent{"log", false, &trace})
	l.Add("server", testComponent{"server", true, &trace})
	require.Error(t, l.Start(context.Background()))
	require.Equal(t, []string{"start log", "start server", "drain log"}, trace)
}
