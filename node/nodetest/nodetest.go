// Package nodetest provides fakes of the interfaces of package node.
package nodetest

import (
	"maps"
	"slices"
	"sync"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/node"
)

// Config is a fake node.Config whose state is set by tests.
type Config struct {
	mu      sync.Mutex
	state   *node.ConfigState
	changed chan struct{}
}

// NewConfig returns a Config with doc as version 1, or without a version if doc is nil.
func NewConfig(doc *config.Document) *Config {
	c := &Config{changed: make(chan struct{})}
	if doc != nil {
		c.Set(doc)
	}
	return c
}

// Set publishes doc as the next version.
func (c *Config) Set(doc *config.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	version := int64(1)
	if c.state != nil {
		version = c.state.Version + 1
	}
	c.state = &node.ConfigState{Version: version, Doc: doc}
	close(c.changed)
	c.changed = make(chan struct{})
}

// Current implements node.Config.
func (c *Config) Current() *node.ConfigState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// Changed implements node.Config.
func (c *Config) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Members is a fake node.Members with a fixed set of members.
type Members map[string]node.Member

// All implements node.Members.
func (m Members) All() []node.Member {
	var all []node.Member
	for _, id := range slices.Sorted(maps.Keys(m)) {
		if m[id].State != node.Gone {
			all = append(all, m[id])
		}
	}
	return all
}

// Get implements node.Members.
func (m Members) Get(id string) (node.Member, bool) {
	member, ok := m[id]
	return member, ok
}
