package main

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/gateway"
)

// Guards against the state command succeeding although an entry has an older configuration
// or cannot be queried.
func TestStateReportsDifferences(t *testing.T) {
	published := gateway.PublishedVersions{ConfigVersion: 7, WeightVersions: map[string]int64{"m": 2}}
	good := gateway.EntryStatus{Host: "10.0.0.1", Status: gateway.Status{
		ID: "entry-1", Ready: true, ConfigVersion: 7, WeightVersions: map[string]int64{"m": 2}, Endpoints: 3, Usable: 2, OwnedEndpoints: []string{"i-1"}, Rollouts: map[string]string{"i-1": "emptying"},
		SecondAttempts: map[string]forward.SecondAttemptUse{"s": {Requests: 100, Limit: 5, Used: 2}},
	}}
	var b strings.Builder
	require.NoError(t, printState(&b, published, []gateway.EntryStatus{good}))
	for _, text := range []string{"configuration 7", "m=2", "entry-1", "2/3", "i-1=emptying", "s=2/5"} {
		require.Contains(t, b.String(), text)
	}
	limited := good
	limited.Status.HeldBytes, limited.Status.HeldBytesLimit, limited.Status.HeldEnded = 3<<20, 64<<20, 2
	b.Reset()
	require.NoError(t, printState(&b, published, []gateway.EntryStatus{limited}))
	require.Contains(t, b.String(), "3.0/64.0 (2 ended)")
	old := good
	old.Status.ConfigVersion = 6
	require.ErrorIs(t, printState(&b, published, []gateway.EntryStatus{good, old}), errStateDiffers)
	silent := gateway.EntryStatus{Host: "10.0.0.2", Err: errors.New("connection refused")}
	b.Reset()
	require.ErrorIs(t, printState(&b, published, []gateway.EntryStatus{good, silent}), errStateDiffers)
	require.Contains(t, b.String(), "connection refused")
}
