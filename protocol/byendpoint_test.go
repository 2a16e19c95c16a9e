package protocol_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/protocol"
	_ "github.com/galenaweir/galenaweir/protocol/streaming"
)

// fakeEngine implements a protocol that only this test registers.
type fakeEngine struct{ protocol.Engine }

func (fakeEngine) EngineState(context.Context, string) (protocol.EngineState, error) {
	return protocol.EngineState{Model: "spoken"}, nil
}

func init() {
	kernel.Register(kernel.Info{ID: "protocol.spoken", New: func() any { return fakeEngine{} }})
}

// Guards against calling an endpoint with a protocol other than its own, and against
// plug-ins that need more than their registration.
func TestByEndpoint(t *testing.T) {
	e := &protocol.EngineByEndpoint{ProtocolAt: func(address string) kernel.ID {
		return map[string]kernel.ID{"a": "protocol.spoken", "b": "protocol.unknown"}[address]
	}}
	s, err := e.EngineState(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, "spoken", s.Model)
	_, err = e.EngineState(t.Context(), "b")
	require.ErrorIs(t, err, protocol.ErrRejected)
	require.ErrorContains(t, err, "protocol.spoken", "the error lists the known protocols")
	_, err = e.EngineState(t.Context(), "127.0.0.1:1")
	require.ErrorIs(t, err, protocol.ErrUnreachable, "the default protocol is HTTP")
}
