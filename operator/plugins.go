package operator

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/kernel"
	_ "github.com/galenaweir/galenaweir/plugins" // registers the plug-ins' IDs
)

// checkPlugins returns an error for each plug-in that the document names and this
// build doesn't have. Only the operator's commands check this: a process of an older
// build falls back to its default plug-in instead of rejecting the version.
func checkPlugins(d *config.Document) error {
	var errs []error
	check := func(path, family, id string) {
		if id != "" && !slices.Contains(kernel.IDs(family), kernel.ID(id)) {
			errs = append(errs, fmt.Errorf("%s: unknown plug-in %q; use one of %v", path, id, kernel.IDs(family)))
		}
	}
	check("policies.routing", "routing", d.Policies.Routing)
	check("policies.admission", "admission", d.Policies.Admission)
	check("policies.placement", "placement", d.Policies.Placement)
	for _, id := range slices.Sorted(maps.Keys(d.Endpoints)) {
		check("endpoints."+id+".protocol", "protocol", d.Endpoints[id].Protocol)
	}
	return errors.Join(errs...)
}
