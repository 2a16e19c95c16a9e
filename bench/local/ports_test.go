package local

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a port in the ephemeral range, which an outgoing connection can take
// while the process is down, and against one address being assigned twice.
func TestPorts(t *testing.T) {
	d := &Deployment{options: Options{Agents: 20, Entries: 10, Services: 10, Stores: 10}, OperatorAddresses: map[string]string{}, RPCAddresses: map[string]string{}}
	require.NoError(t, d.allocateAddresses())
	addresses := append([]string{d.LogAddress, d.HostListAddress}, d.EngineAddresses...)
	addresses = append(append(append(addresses, d.StoreAddresses...), d.ServiceAddresses...), d.CallerAddresses...)
	for name := range d.RPCAddresses {
		addresses = append(addresses, d.RPCAddresses[name], d.OperatorAddresses[name])
	}
	seen := map[string]bool{}
	for _, a := range addresses {
		p, err := netip.ParseAddrPort(a)
		require.NoError(t, err)
		assert.Less(t, int(p.Port()), portLimit)
		assert.GreaterOrEqual(t, int(p.Port()), firstPort)
		assert.False(t, seen[a], "%s was assigned twice", a)
		seen[a] = true
	}
}
