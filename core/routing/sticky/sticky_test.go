package sticky

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/routing"
)

// Guards against moving conversations whose endpoint remains, and against a hash
// that distributes conversations unevenly.
func TestRemovedEndpointMovesOnlyItsConversations(t *testing.T) {
	cs := make([]routing.Candidate, 12)
	for i := range cs {
		cs[i].Endpoint = fmt.Sprintf("e%02d", i)
	}
	const conversations = 6000
	perEndpoint := map[int]int{}
	for s := range uint64(conversations) {
		r := &routing.Request{StickyHash: s * 0x9e3779b97f4a7c15}
		before := (Policy{}).Choose(r, cs, nil).Index
		perEndpoint[before]++
		if after := (Policy{}).Choose(r, cs[:11], nil).Index; before != 11 {
			require.Equal(t, before, after)
		}
	}
	for i, n := range perEndpoint {
		require.InDelta(t, conversations/len(cs), n, 100, "endpoint %d", i)
	}
}
