// Package prefixcostv2 registers routing.prefix_cost_v2, the second version of
// the prefix cost policy, kept for comparison: it requests an import only when
// it estimates the import to be faster than recomputing the prefix, and a load report
// loses its weight over one second, more slowly than in the current version.
package prefixcostv2

import (
	"time"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/routing/prefixcost"
)

// ID is the name under which the policy is registered.
const ID kernel.ID = "routing.prefix_cost_v2"

func init() {
	kernel.Register(kernel.Info{ID: ID, New: func() any { return prefixcost.New(prefixcost.Options{MaxFetchRatio: 1, ReversionTime: time.Second}) }})
}
