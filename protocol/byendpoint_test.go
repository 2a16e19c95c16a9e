package protocol_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/protocol"
	_ "github.com/galenaweir/galenaweir/protocol/streaming"
)

// spoken is a protocol that only a test knows.
type spoken struct{ protocol.Engine }

func (spoken) State(context.Context, string) (protocol.State, error) {
	return protocol.State{Model: "spoken"}, nil
}

func init() {
	kernel.Register(kernel.Info{ID: "protocol.spoken", New: func() any { return spoken{} }})
}

// Guards against an endpoint that is spoken to in another protocol than its own,
// and against a plug-in that needs more than its registration.
func TestByEndpoint(t *testing.T) {
	e := &protocol.ByEndpoint{Protocol: func(address string) kernel.ID {
		return map[string]kernel.ID{"a": "protocol.spoken", "b": "protocol.unknown"}[address]
	}}
	s, err := e.State(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, "spoken", s.Model)
	_, err = e.State(t.Context(), "b")
	require.ErrorIs(t, err, protocol.ErrRefused)
	require.ErrorContains(t, err, "protocol.spoken", "the error names what can be used")
	_, err = e.State(t.Context(), "127.0.0.1:1")
	require.ErrorIs(t, err, protocol.ErrNoConnect, "the default speaks HTTP")
}
