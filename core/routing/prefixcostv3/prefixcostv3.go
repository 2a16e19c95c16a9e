// Package prefixcostv3 registers routing.prefix_cost_v3, the third version of the
// product's policy, kept for comparison: it trusts a load report for a second.
package prefixcostv3

import (
	"time"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/routing/prefixcost"
)

// ID is the plug-in's name.
const ID kernel.ID = "routing.prefix_cost_v3"

func init() {
	kernel.Register(kernel.Info{ID: ID, New: func() any { return prefixcost.New(prefixcost.Options{Reversion: time.Second}) }})
}
