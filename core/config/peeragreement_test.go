package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a process that serves with an older configuration than a peer holds, because that peer
// was late in one round and the answer of another one was taken for the agreement of all.
func TestPeerThatIsLateOnceIsNotLeftOut(t *testing.T) {
	same, other, none := PeerAnswer{"a", true, true}, PeerAnswer{"b", true, false}, PeerAnswer{"b", false, false}
	back := PeerAnswer{"b", true, true}
	for name, c := range map[string]struct {
		rounds [][]PeerAnswer
		want   bool // after the last round
	}{
		"both agree":                   {[][]PeerAnswer{{same, back}}, true},
		"they disagree":                {[][]PeerAnswer{{same, other}}, false},
		"late once":                    {[][]PeerAnswer{{same, none}}, false},
		"late after it disagreed":      {[][]PeerAnswer{{same, other}, {same, none}}, false},
		"late every other time":        {[][]PeerAnswer{{same, none}, {same, none}, {same, other}, {same, none}, {same, none}}, false},
		"unreachable":                  {[][]PeerAnswer{{same, none}, {same, none}, {same, none}}, true},
		"unreachable, and back again":  {[][]PeerAnswer{{same, none}, {same, none}, {same, none}, {same, other}}, false},
		"none answers, however often":  {[][]PeerAnswer{{none}, {none}, {none}, {none}}, false},
		"not asked while others agree": {[][]PeerAnswer{{same, none}, {same}}, true},
		"no peers":                     {[][]PeerAnswer{{}}, false},
	} {
		var a PeerAgreement
		got := false
		for _, r := range c.rounds {
			got = a.Agree(r)
		}
		require.Equal(t, c.want, got, name)
	}
}
