// Package plugins links all plug-ins into the programs. Each plug-in needs an import
// here.
package plugins

import (
	_ "github.com/galenaweir/galenaweir/core/admission/fair"
	_ "github.com/galenaweir/galenaweir/core/admission/fifo"
	_ "github.com/galenaweir/galenaweir/core/placement/baseline"
	_ "github.com/galenaweir/galenaweir/core/placement/value"
	_ "github.com/galenaweir/galenaweir/core/routing/leastload"
	_ "github.com/galenaweir/galenaweir/core/routing/nostore"
	_ "github.com/galenaweir/galenaweir/core/routing/prefixcost"
	_ "github.com/galenaweir/galenaweir/core/routing/prefixcostv1"
	_ "github.com/galenaweir/galenaweir/core/routing/prefixcostv2"
	_ "github.com/galenaweir/galenaweir/core/routing/prefixcostv3"
	_ "github.com/galenaweir/galenaweir/core/routing/sticky"
	_ "github.com/galenaweir/galenaweir/protocol/streaming"
)
