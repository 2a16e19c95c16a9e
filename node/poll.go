package node

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/hostlist"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/rpc"
)

// ConfigStream is the stream of the platform's log that holds the configuration.
const ConfigStream = "config"

// pollInterval is the interval of reads of the log and the host list.
const pollInterval = time.Second

// LogConfig follows the configuration stream of the log.
type LogConfig struct {
	log logsvc.Log

	mu      sync.Mutex
	state   *ConfigState
	changed chan struct{}
	next    int64
}

// NewLogConfig returns a follower that has read nothing yet.
func NewLogConfig(l logsvc.Log) *LogConfig {
	return &LogConfig{log: l, changed: make(chan struct{})}
}

// Current implements Config.
func (c *LogConfig) Current() *ConfigState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// Changed implements Config.
func (c *LogConfig) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Run reads the stream until ctx ends.
func (c *LogConfig) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p, err := c.log.Read(ctx, ConfigStream, c.next, pollInterval)
		if err != nil {
			pause(ctx, pollInterval)
			continue
		}
		for _, r := range p.Records {
			c.apply(r)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (c *LogConfig) apply(r logsvc.Record) {
	c.next = r.Offset + 1
	var rec rpc.ConfigRecord
	if err := proto.Unmarshal(r.Data, &rec); err != nil {
		log.Error().Err(err).Int64("offset", r.Offset).Msg("configuration record is malformed; ignored")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	version := int64(0)
	if c.state != nil {
		version = c.state.Version
	}
	if rec.BaseVersion != version || rec.NewVersion != version+1 {
		log.Warn().Int64("base_version", rec.BaseVersion).Int64("in_force", version).Msg("configuration record lost against another; ignored")
		return
	}
	doc := new(config.Document)
	if err := json.Unmarshal(rec.Document, doc); err != nil || doc.Validate() != nil {
		log.Error().Int64("offset", r.Offset).Msg("configuration document is invalid; ignored")
		return
	}
	hash := sha256.Sum256(rec.Document)
	c.state = &ConfigState{Version: rec.NewVersion, Hash: hash[:], Offset: r.Offset, Doc: doc}
	close(c.changed)
	c.changed = make(chan struct{})
	log.Info().Int64("version", rec.NewVersion).Msg("configuration in force")
}

// ListMembers follows the platform's host list.
type ListMembers struct {
	list *hostlist.Client

	mu      sync.Mutex
	members map[string]Member
}

// NewListMembers returns a follower that knows no member yet.
func NewListMembers(l *hostlist.Client) *ListMembers {
	return &ListMembers{list: l, members: map[string]Member{}}
}

// Run reads the list until ctx ends.
func (m *ListMembers) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if l, err := m.list.Hosts(ctx); err == nil {
			m.apply(l)
		}
		pause(ctx, pollInterval)
	}
}

func (m *ListMembers) apply(l hostlist.List) {
	members := make(map[string]Member, len(l.Hosts))
	for _, h := range l.Hosts {
		state := Live
		if h.Leaving {
			state = Leaving
		}
		members[h.ID] = Member{h.ID, h.Role, h.Address, h.FailureDomain, h.Region, state}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members = members
}

// All implements Members.
func (m *ListMembers) All() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Member, 0, len(m.members))
	for _, x := range m.members {
		all = append(all, x)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Get implements Members.
func (m *ListMembers) Get(id string) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.members[id]
	return x, ok
}
