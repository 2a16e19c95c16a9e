// Package node holds what both programs share: the configuration in force, the
// members, and the addresses of the other processes. Package peer implements it.
package node

import (
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/membership"
)

// ConfigStream is the stream of the platform's log that holds the configuration.
const ConfigStream = "config"

// ConfigState is one version of the configuration. It is never changed once
// published.
type ConfigState struct {
	Version int64
	Hash    []byte
	Offset  int64 // last record of the log that the version accounted for when it came into force
	Doc     *config.Document
}

// Config gives the configuration in force. Versions never decrease.
type Config interface {
	// Current returns nil until a first version is known.
	Current() *ConfigState
	// Changed returns a channel that closes at the next version.
	Changed() <-chan struct{}
}

// MemberState is what is believed of a member.
type MemberState int

// The states of a member, as in docs/design.md, section 5.
const (
	Live    = MemberState(membership.Live)
	Suspect = MemberState(membership.Suspect)
	Leaving = MemberState(membership.Leaving)
	Gone    = MemberState(membership.Gone)
)

// Member is one process of the system.
type Member struct {
	ID            string
	Role          string // RoleEntry or RoleAgent
	Address       string // IP number and port of its gRPC server
	FailureDomain string
	Region        string
	State         MemberState
	Endpoints     []membership.Endpoint // as the member announces them
}

// The roles of a member.
const (
	RoleEntry = membership.RoleEntry
	RoleAgent = membership.RoleAgent
)

// Members gives the other processes as this one sees them.
type Members interface {
	// All returns the members that are not gone, in the order of their IDs.
	All() []Member
	// Get returns one member, gone ones included.
	Get(id string) (Member, bool)
}
