// Package prefixcostv3 registers routing.prefix_cost_v3, the third version of the
// prefix cost policy, kept for comparison: a load report loses its weight over one
// second, more slowly than in the current version.
package prefixcostv3

import (
	"time"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/routing/prefixcost"
)

// ID is the name under which the policy is registered.
const ID kernel.ID = "routing.prefix_cost_v3"

func init() {
	kernel.Register(kernel.Info{ID: ID, New: func() any { return prefixcost.New(prefixcost.Options{ReversionTime: time.Second}) }})
}
