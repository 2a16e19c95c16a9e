package gateway

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/phuslu/log"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/galenaweir/galenaweir/core/forward"
)

const (
	relayProtocol = "galenaweir-relay-1"
	relayMinKnown = 2 * time.Second // how long a peer must have been known before it passes reports on: by then it knows its own neighbours
)

// relayMessage asks the receiver to apply a report and to pass it on to its peers in its own
// failure domain.
type relayMessage struct {
	Protocol string
	Report   []byte
}

// isRelay reports whether a datagram is a relayMessage.
func isRelay(data []byte) bool {
	return bytes.Contains(data[:min(len(data), 2*len(relayProtocol))], []byte(relayProtocol))
}

// relayDomains returns the failure domains of the peers that can pass reports on. The
// caller holds the state's mutex.
func (s *state) relayDomains(now time.Duration) map[string]string {
	out := map[string]string{}
	for m, f := range s.peerFacts {
		if f.domain != "" && now >= f.since+relayMinKnown && now < f.receivedAt+factsTTL {
			out[m] = f.domain
		}
	}
	return out
}

// sendReport sends an encoded report to the peers, once to each other failure domain.
func (g *Gateway) sendReport(data []byte, peers []string, seq int64) {
	s := g.state
	s.mu.Lock()
	domains := s.relayDomains(s.clock())
	s.mu.Unlock()
	f := forward.PlanFanout(g.memberID, g.settings.FailureDomain, peers, domains, seq)
	for _, m := range f.Direct {
		g.sendDatagram(data, m)
	}
	if len(f.Relays) == 0 {
		return
	}
	wrapped, err := encodeMessage(&relayMessage{relayProtocol, data})
	if err != nil || len(wrapped) > maxDatagram {
		log.Error().Str("event", "relay_failed").Int("bytes", len(wrapped)).Err(err).Msg("cannot have the load report passed on")
		return
	}
	for _, m := range f.Relays {
		g.sendDatagram(wrapped, m)
	}
}

func (g *Gateway) sendDatagram(data []byte, member string) {
	if to, err := netip.ParseAddrPort(member); err == nil { // otherwise not the address of an entry
		_, _ = g.peerConn.WriteToUDPAddrPort(data, to) // a lost message is replaced by the next one
	}
}

// encodeMessage encodes a message with structs as arrays, to keep the datagram small.
func encodeMessage(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	err := e.Encode(v)
	return b.Bytes(), err
}

// passOn unwraps a report and passes it on to the peers in the own failure domain. It
// returns nil if the message is invalid.
func (g *Gateway) passOn(data []byte) []byte {
	var r relayMessage
	if msgpack.Unmarshal(data, &r) != nil || r.Protocol != relayProtocol || isRelay(r.Report) {
		return nil
	}
	s := g.state
	s.mu.Lock()
	var neighbours []string
	for m, f := range s.peerFacts {
		if f.domain == g.settings.FailureDomain && m != g.memberID {
			neighbours = append(neighbours, m)
		}
	}
	s.mu.Unlock()
	for _, m := range neighbours {
		g.sendDatagram(r.Report, m)
	}
	return r.Report
}
