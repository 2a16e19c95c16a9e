package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

// Guards against a list that is used without a join that returned its generation, and against
// messages that are no lists.
func TestMembersAreLearnedFromPeers(t *testing.T) {
	s := testSettings()
	s.SharedMemberLists = true
	clock := &testClock{}
	g := New(Options{Settings: s, Clock: clock.start(time.Hour), Seed: 1, HeaderCodec: testHeaderCodec{}})
	members := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1/standby", g.memberID}
	g.state.peerLoads.members = []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", g.memberID}
	message := func(sender string, number int64, members ...string) []byte {
		data, err := encodeMessage(&memberListMessage{memberListProtocol, sender, 0, number, members})
		require.NoError(t, err)
		require.True(t, isMemberList(data))
		return data
	}
	require.True(t, g.receiveMemberList(message("10.0.0.1:1", 7, members...)))
	require.True(t, g.receiveMemberList(message("10.9.9.9:1", 8, "10.9.9.9:1")), "from an address that is no member's: without effect")
	known, read := g.adoptMembers(forward.Generation{Number: 8})
	require.False(t, known)
	_ = read
	known, _ = g.adoptMembers(forward.Generation{Number: 7})
	require.True(t, known)
	require.True(t, g.recordJoin(forward.Generation{Number: 9}, clock.read()), "the list is not of this generation")
	require.False(t, g.ownership.IsSoleOwner("e", clock.read()))
	for name, data := range map[string][]byte{
		"no members":     message("10.0.0.1:1", 8),
		"an empty name":  message("10.0.0.1:1", 8, ""),
		"no generation":  message("10.0.0.1:1", 0, "a"),
		"its own":        message(g.memberID, 8, "a"),
		"truncated":      message("10.0.0.1:1", 8, "a")[:20],
		"very long name": message("10.0.0.1:1", 8, string(make([]byte, 200))),
	} {
		require.False(t, g.receiveMemberList(data), name)
	}

	s.SharedMemberLists = false
	off := New(Options{Settings: s, Clock: clock.read, Seed: 1, HeaderCodec: testHeaderCodec{}})
	known, read = off.adoptMembers(forward.Generation{Number: 7})
	require.False(t, known)
	require.True(t, read, "without the setting, each member reads")
}
