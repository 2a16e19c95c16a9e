// Package node holds what both programs share: the configuration in force, the
// members, and the addresses of the other processes.
package node

import (
	"github.com/galenaweir/galenaweir/core/config"
)

// ConfigState is one version of the configuration. It is never changed once
// published.
type ConfigState struct {
	Version int64
	Hash    []byte
	Offset  int64 // of the record in the log that made the version
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
	Live MemberState = iota + 1
	Suspect
	Leaving
	Gone
)

// Member is one process of the system.
type Member struct {
	ID            string
	Role          string // RoleEntry or RoleAgent
	Address       string // IP number and port of its gRPC server
	FailureDomain string
	Region        string
	State         MemberState
}

// The roles of a member.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Members gives the other processes as this one sees them.
type Members interface {
	// All returns the members that are not gone, in the order of their IDs.
	All() []Member
	// Get returns one member, gone ones included.
	Get(id string) (Member, bool)
}
