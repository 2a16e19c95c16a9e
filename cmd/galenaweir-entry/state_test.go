package main

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/gateway"
)

// Guards against an entry on an older configuration, or one that can't be asked,
// which an operator doesn't notice.
func TestStateShowsWhatDiffers(t *testing.T) {
	published := gateway.Published{Config: 7, Weights: map[string]int64{"m": 2}}
	good := gateway.ProcessStatus{Host: "10.0.0.1", Status: gateway.Status{
		ID: "entry-1", Ready: true, Config: 7, Weights: map[string]int64{"m": 2}, Endpoints: 3, Usable: 2, Holds: []string{"i-1"}, Rollouts: map[string]string{"i-1": "emptying"},
	}}
	var b strings.Builder
	require.NoError(t, printState(&b, published, []gateway.ProcessStatus{good}))
	for _, text := range []string{"configuration 7", "m=2", "entry-1", "2/3", "i-1=emptying"} {
		require.Contains(t, b.String(), text)
	}
	old := good
	old.Status.Config = 6
	require.ErrorIs(t, printState(&b, published, []gateway.ProcessStatus{good, old}), errDiffers)
	silent := gateway.ProcessStatus{Host: "10.0.0.2", Err: errors.New("connection refused")}
	b.Reset()
	require.ErrorIs(t, printState(&b, published, []gateway.ProcessStatus{good, silent}), errDiffers)
	require.Contains(t, b.String(), "connection refused")
}
