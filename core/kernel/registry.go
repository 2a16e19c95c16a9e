// Package kernel holds the registry of plug-ins and their life cycle. It knows
// no plug-in by name: plug-ins register themselves in init under dotted IDs.
package kernel

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// ID names a plug-in: its family, a dot, and its name, as in
// "routing.prefix_cost".
type ID string

// Family returns the part before the last dot.
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
	// New returns a fresh instance with the defaults set. The instance
	// implements the interface of its family.
	New func() any
}

var (
	registryMu sync.RWMutex
	registry   = map[ID]Info{}
)

// Register adds a plug-in. It panics when the ID has no family, is taken, or
// New is missing, because that is a programming error seen at the first start.
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

// New returns a fresh instance of the plug-in as type T. The error lists the
// IDs of the family when the ID is unknown or of another type.
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

// IDs returns the IDs of a family, sorted.
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
