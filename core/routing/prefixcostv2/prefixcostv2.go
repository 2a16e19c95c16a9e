// Package prefixcostv2 registers routing.prefix_cost_v2, the second version of
// the product's policy, kept for comparison: it asks for an import only when its
// own estimate says that the import is faster.
package prefixcostv2

import (
	"time"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/routing/prefixcost"
)

// ID is the plug-in's name.
const ID kernel.ID = "routing.prefix_cost_v2"

func init() {
	kernel.Register(kernel.Info{ID: ID, New: func() any { return prefixcost.New(prefixcost.Options{FetchSlack: 1, Reversion: time.Second}) }})
}
