package agent

import (
	"sync/atomic"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/node"
)

// protocolIndex is the protocols of one version of the configuration by address.
type protocolIndex struct {
	state     *node.ConfigState
	byAddress map[string]kernel.ID
}

// ProtocolOf returns the lookup of the protocol plug-in that the configuration
// in force names for the endpoint at an address.
func ProtocolOf(c node.Config) func(address string) kernel.ID {
	var latest atomic.Pointer[protocolIndex]
	return func(address string) kernel.ID {
		st := c.Current()
		if st == nil {
			return ""
		}
		ix := latest.Load()
		if ix == nil || ix.state != st {
			ix = &protocolIndex{state: st, byAddress: map[string]kernel.ID{}}
			for _, e := range st.Doc.Endpoints {
				ix.byAddress[e.Address] = kernel.ID(e.Protocol)
			}
			latest.Store(ix)
		}
		return ix.byAddress[address]
	}
}
