// Package nostore registers the baseline policy routing.no_store: the prefix cost
// policy without the prefixes in stores.
package nostore

import (
	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/routing/prefixcost"
)

// ID is the name under which the policy is registered.
const ID kernel.ID = "routing.no_store"

func init() {
	kernel.Register(kernel.Info{ID: ID, New: func() any { return prefixcost.New(prefixcost.Options{IgnoreStore: true}) }})
}
