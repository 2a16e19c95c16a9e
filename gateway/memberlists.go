package gateway

import (
	"bytes"
	"slices"

	"github.com/phuslu/log"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/galenaweir/galenaweir/core/forward"
)

const memberListProtocol = "galenaweir-members-1"

// maxMemberNameBytes limits the name of a member in a message: an address and the mark of a standby.
const maxMemberNameBytes = 128

// memberListMessage tells the peers the members of a generation, which the sender has read from the
// log and confirmed.
type memberListMessage struct {
	Protocol string
	Sender   string
	Era      int64
	Number   int64
	Members  boundedList[string]
}

// isMemberList reports whether a datagram is a memberListMessage.
func isMemberList(data []byte) bool {
	return bytes.Contains(data[:min(len(data), 2*len(memberListProtocol))], []byte(memberListProtocol))
}

// offerMembers sends the peers the list of a generation that this process has read and confirmed.
func (g *Gateway) offerMembers(l forward.OfferedList) {
	m := memberListMessage{memberListProtocol, g.memberID, int64(l.Generation.Era), l.Generation.Number, l.Members}
	data, err := encodeMessage(&m)
	if err != nil || len(data) > maxDatagram {
		log.Warn().Str("event", "members_not_offered").Int("bytes", len(data)).Err(err).Msg("cannot tell the peers the members of the group; each of them reads the log")
		return
	}
	g.state.mu.Lock()
	peers := slices.Clone(g.state.peerLoads.members)
	g.state.mu.Unlock()
	for _, p := range peers {
		if p != g.memberID {
			g.sendDatagram(data, p)
		}
	}
}

// receiveMemberList records the list that a peer offers. It reports whether the message is valid.
func (g *Gateway) receiveMemberList(data []byte) bool {
	var m memberListMessage
	if msgpack.Unmarshal(data, &m) != nil || m.Protocol != memberListProtocol || m.Sender == g.memberID || len(m.Members) == 0 || m.Era < 0 || m.Number <= 0 {
		return false
	}
	if slices.ContainsFunc(m.Members, func(name string) bool { return name == "" || len(name) > maxMemberNameBytes }) {
		return false
	}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.peerLoads.members, m.Sender) {
		return true // not known as a member: its address may have belonged to one before
	}
	s.memberReads.Offer(forward.OfferedList{Generation: forward.Generation{Era: forward.Era(m.Era), Number: m.Number}, Members: m.Members})
	return true
}

// adoptMembers uses the list of a generation that a peer has offered, or decides whether to read it.
// It reports whether the list is known now, and whether it is to be read.
func (g *Gateway) adoptMembers(generation forward.Generation) (known, read bool) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.settings.SharedMemberLists {
		return false, true
	}
	if members, ok := s.memberReads.List(generation); ok {
		g.ownership.RecordMembers(generation, members)
		s.memberReads.Settled()
		return true, false
	}
	return false, s.memberReads.ShouldRead(generation, g.memberID, s.peerLoads.members)
}
