package config_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/config"
)

// BenchmarkApplyPatch applies a patch of one customer to a document of 2,900
// customers.
func BenchmarkApplyPatch(b *testing.B) {
	var d config.Document
	require.NoError(b, json.Unmarshal(document(b, "d", 8), &d))
	d.Customers = map[string]config.Customer{}
	for i := range 2900 {
		d.Customers[fmt.Sprintf("customer-%04d", i)] = config.Customer{
			Keys:   map[string]config.Key{"first": {Salt: strings.Repeat("a", 32), SHA256: strings.Repeat("b", 64)}},
			Weight: 1, TokensPerSecond: 1000, BurstTokens: 1000, MaxPriority: "standard",
		}
	}
	text, err := json.Marshal(d)
	require.NoError(b, err)
	text, err = config.Canonical(text)
	require.NoError(b, err)
	base := config.NewStream()
	l := &memLog{}
	l.append(record(b, "0", nil, text, true))
	l.readAll(base)
	c := d.Customers["customer-0007"]
	c.Weight = 2
	d.Customers["customer-0007"] = c
	changed, err := json.Marshal(d)
	require.NoError(b, err)
	changed, err = config.Canonical(changed)
	require.NoError(b, err)
	r := record(b, "1", base.State(), changed, false)
	b.ReportMetric(float64(len(text)), "document-bytes")
	b.ReportMetric(float64(len(r.Patch)), "patch-bytes")
	for b.Loop() {
		s := config.NewStream()
		require.NoError(b, s.Adopt(base.State()))
		s.ApplyPage(0, 2, []config.Entry{{Offset: 1, Record: r}})
		require.EqualValues(b, 2, s.Version())
	}
}
