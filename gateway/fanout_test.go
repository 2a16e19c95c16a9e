package gateway

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// listenUDP returns a socket on the loopback interface and its address as a member.
func listenUDP(t *testing.T) (*net.UDPConn, string) {
	t.Helper()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c, c.LocalAddr().String()
}

// receive returns the next datagram. On the loopback interface it is in the socket's buffer
// as soon as it has been sent.
func receive(t *testing.T, c *net.UDPConn) []byte {
	t.Helper()
	buf := make([]byte, maxDatagram)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	n, _, err := c.ReadFromUDPAddrPort(buf)
	require.NoError(t, err)
	return buf[:n]
}

// Guards against load reports that cross to another failure domain once for each peer there,
// and against reports that are lost or changed on the way over a relay.
func TestReportsArePassedOnInAFailureDomain(t *testing.T) {
	g, clock := newGateway(t)
	g.peerConn, _ = listenUDP(t)
	conns := map[string]*net.UDPConn{}
	var peers []string
	add := func(domain string, n int) {
		for range n {
			c, m := listenUDP(t)
			conns[m] = c
			peers = append(peers, m)
			g.state.peerLoads.members = peers
			g.applyFacts(&factsMessage{Protocol: factsProtocol, Member: m, Domain: domain})
		}
	}
	add("a", 2) // the domain of g
	add("b", 3)
	add("c", 1)
	clock.advance(relayMinKnown)
	require.Len(t, g.state.relayDomains(clock.read()), len(peers))
	report, err := encodeReport(testReport("127.0.0.1:1", 5, 2))
	require.NoError(t, err)
	g.sendReport(report, peers, 1)
	for i, m := range peers {
		if i < 2 || i >= 5 {
			require.Equal(t, report, receive(t, conns[m]))
		}
	}
	relayed := 0
	for _, m := range peers[2:5] {
		require.NoError(t, conns[m].SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		buf := make([]byte, maxDatagram)
		if n, _, err := conns[m].ReadFromUDPAddrPort(buf); err == nil {
			require.True(t, isRelay(buf[:n]))
			relayed++
			require.Equal(t, report, g.passOn(buf[:n]))
			require.Equal(t, report, receive(t, conns[peers[0]]), "passed on to the neighbours")
			require.Equal(t, report, receive(t, conns[peers[1]]))
		}
	}
	require.Equal(t, 1, relayed)

	clock.advance(factsTTL)
	require.Empty(t, g.state.relayDomains(clock.read()), "peers that are silent pass nothing on")
}

// Guards against messages that are passed on without end, and against invalid ones.
func TestRelayedMessageIsNotRelayedAgain(t *testing.T) {
	g, _ := newGateway(t)
	inner, err := encodeMessage(&relayMessage{relayProtocol, []byte("report")})
	require.NoError(t, err)
	outer, err := encodeMessage(&relayMessage{relayProtocol, inner})
	require.NoError(t, err)
	require.Nil(t, g.passOn(outer))
	require.Nil(t, g.passOn(inner[:len(inner)-3]))
	require.Equal(t, []byte("report"), g.passOn(inner))
	other, err := msgpack.Marshal("galenaweir-relay-1 as text")
	require.NoError(t, err)
	require.Nil(t, g.passOn(other))
}
