// Package node defines what the entry and agent processes share: the configuration in
// force, the members and their addresses. Package peer implements its interfaces.
package node

import (
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/membership"
)

// ConfigStream is the name of the stream in the platform's log that holds the
// configuration.
const ConfigStream = "config"

// ConfigState is one version of the configuration. It must not be modified after it
// was published.
type ConfigState struct {
	Version int64
	Hash    []byte
	Offset  int64 // offset of the last log record that had been read when the version came into force
	Doc     *config.Document
}

// Config provides the configuration in force. Its version never decreases.
type Config interface {
	// Current returns the configuration in force, or nil if none is known yet.
	Current() *ConfigState
	// Changed returns a channel that is closed when the next version comes into force.
	Changed() <-chan struct{}
}

// MemberState is this process's view of a member's state.
type MemberState int

// The states of a member, as described in docs/design.md, section 5.
const (
	Live    = MemberState(membership.Live)
	Suspect = MemberState(membership.Suspect)
	Leaving = MemberState(membership.Leaving)
	Gone    = MemberState(membership.Gone)
)

// Member is one process of the deployment.
type Member struct {
	ID            string
	Role          string // RoleEntry or RoleAgent
	Address       string // IP address and port of its gRPC server
	FailureDomain string
	Region        string
	State         MemberState
	Endpoints     []membership.Endpoint // as announced by the member
}

// The roles of a member.
const (
	RoleEntry = membership.RoleEntry
	RoleAgent = membership.RoleAgent
)

// Members provides this process's view of the other processes.
type Members interface {
	// All returns the members that are not gone, sorted by ID.
	All() []Member
	// Get returns the member with the ID, including members that are gone.
	Get(id string) (Member, bool)
}
