package kernel

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

type greeter interface{ Greet() string }

type polite struct{}

func (polite) Greet() string { return "good day" }

func init() { Register(Info{ID: "greeting.polite", New: func() any { return polite{} }}) }

// Guards against a plug-in that needs more than its own registration.
func TestPluginByID(t *testing.T) {
	g, err := New[greeter]("greeting.polite")
	require.NoError(t, err)
	require.Equal(t, "good day", g.Greet())
	_, err = New[greeter]("greeting.rude")
	require.ErrorContains(t, err, "greeting.polite", "the error names what can be used")
}

type part struct {
	name  string
	fail  bool
	trace *[]string
}

func (p part) Start(context.Context) error {
	*p.trace = append(*p.trace, "start "+p.name)
	if p.fail {
		return errors.New("broken")
	}
	return nil
}

func (p part) Drain(context.Context) error {
	*p.trace = append(*p.trace, "drain "+p.name)
	return nil
}

// Guards against components left running after a failed start.
func TestFailedStartDrainsWhatWasStarted(t *testing.T) {
	var trace []string
	var l Lifecycle
	l.Add("log", part{"log", false, &trace})
	l.Add("server", part{"server", true, &trace})
	require.Error(t, l.Start(context.Background()))
	require.Equal(t, []string{"start log", "start server", "drain log"}, trace)
}
