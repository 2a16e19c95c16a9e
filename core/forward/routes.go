package forward

import (
	"cmp"
	"slices"
	"strings"
)

// Table indexes a Config for look-ups.
type Table struct {
	Config   *Config
	byHost   map[string][]*Route // sorted by descending length of the path prefix
	byKey    map[string]*Customer
	services map[string]*Service
	ranks    []priorityPair
	groups   cacheGroups
}

// NewTable returns a Table for c, which must not be modified afterwards.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, byHost: map[string][]*Route{}, byKey: map[string]*Customer{}, services: map[string]*Service{}, ranks: rankedPairs(c), groups: newCacheGroups(c.Customers)}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, rs := range t.byHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range c.Customers {
		for _, k := range c.Customers[i].Keys {
			t.byKey[k] = &c.Customers[i]
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Route returns the host's route with the longest matching path prefix, nil if there
// is none.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Customer returns the owner of a key, nil if there is none.
func (t *Table) Customer(key string) *Customer { return t.byKey[key] }

// Service returns the service with the given name, nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Target selects a service by the weights of the route's targets. The argument draw
// is a random number in [0, 1).
func (r *Route) Target(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	remaining := draw * float64(total)
	for _, t := range r.Targets {
		if remaining -= float64(max(t.Weight, 0)); remaining < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// EffectivePriority returns the customer's priority if it has one, otherwise the
// route's.
func EffectivePriority(r *Route, c *Customer) int {
	if c != nil && c.HasPriority {
		return c.Priority
	}
	return r.Priority
}
