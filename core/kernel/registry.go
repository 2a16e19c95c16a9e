// Package kernel provides the plug-in registry and the life cycle of components. It
// does not depend on any plug-in: plug-ins register themselves in their init
// functions under dotted IDs.
package kernel

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// ID identifies a plug-in by its family and name, separated by a dot, as in
// "routing.prefix_cost".
type ID string

// Family returns the part before the last dot, or "" if there is no dot.
func (id ID) Family() string {
	i := strings.LastIndexByte(string(id), '.')
	if i < 0 {
		return ""
	}
	return string(id[:i])
}

// Info describes a registered plug-in.
type Info struct {
	ID ID
	// New returns a new instance with default settings. The instance implements
	// the interface of its family.
	New func() any
}

var (
	registryMu sync.RWMutex
	registry   = map[ID]Info{}
)

// Register adds a plug-in. It panics if the ID has no family or is already registered
// or if New is nil, since these are programming errors that show at the first start.
func Register(info Info) {
	registryMu.Lock()
	defer registryMu.Unlock()
	if info.ID.Family() == "" || info.New == nil {
		panic(fmt.Sprintf("kernel: plug-in %q needs a dotted ID and a constructor", info.ID))
	}
	if _, ok := registry[info.ID]; ok {
		panic(fmt.Sprintf("kernel: plug-in %q is registered twice", info.ID))
	}
	registry[info.ID] = info
}

// New returns a new instance of the plug-in as type T. It returns an error if the ID
// is not registered or the instance is not a T. The error for an unknown ID lists the
// registered IDs of its family.
func New[T any](id ID) (T, error) {
	var zero T
	registryMu.RLock()
	info, ok := registry[id]
	registryMu.RUnlock()
	if !ok {
		return zero, fmt.Errorf("unknown plug-in %q; use one of %v", id, IDs(id.Family()))
	}
	v, ok := info.New().(T)
	if !ok {
		return zero, fmt.Errorf("plug-in %q does not implement %T", id, &zero)
	}
	return v, nil
}

// IDs returns the sorted IDs of the family's plug-ins.
func IDs(family string) []ID {
	registryMu.RLock()
	defer registryMu.RUnlock()
	var ids []ID
	for id := range registry {
		if id.Family() == family {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
