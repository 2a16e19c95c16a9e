package agent

import (
	"sync/atomic"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/node"
)

// protocolIndex maps addresses to protocol plug-ins for one version of the
// configuration.
type protocolIndex struct {
	state     *node.ConfigState
	byAddress map[string]kernel.ID
}

// NewProtocolLookup returns a function that returns the protocol plug-in of the
// endpoint at an address, according to the configuration in force.
func NewProtocolLookup(c node.Config) func(address string) kernel.ID {
	var latest atomic.Pointer[protocolIndex]
	return func(address string) kernel.ID {
		st := c.Current()
		if st == nil {
			return ""
		}
		index := latest.Load()
		if index == nil || index.state != st {
			index = &protocolIndex{state: st, byAddress: map[string]kernel.ID{}}
			for _, e := range st.Doc.Endpoints {
				index.byAddress[e.Address] = kernel.ID(e.Protocol)
			}
			latest.Store(index)
		}
		return index.byAddress[address]
	}
}
