package forward

import (
	"strconv"

	"github.com/galenaweir/galenaweir/core/rendezvous"
)

// memberListReaders is the number of members that read the list of a new generation at once. The others
// get it from them. Several of them, as one may be the member that has just left.
const memberListReaders = 3

// maxOfferedLists bounds the lists that peers offered and that aren't used yet.
const maxOfferedLists = 4

// MemberReads decides which members read the list of a new generation of the group from the log. In a
// generation the list doesn't change, so a list that a peer has read and confirmed is as good as one's
// own, however late it comes: its generation is confirmed by a join like that of one's own.
//
// Load pattern: each start, stop or loss of an entry makes new generations, and each member would read
// each of them: the number of calls grows with the square of the group. The zero value knows no lists.
type MemberReads struct {
	offered []OfferedList // oldest first
	wanted  Generation    // that was put off last
}

// OfferedList is the list of a generation that a peer has read.
type OfferedList struct {
	Generation Generation
	Members    []string // names as the log has them
}

// Offer records the list of a generation that a peer has read and confirmed.
func (r *MemberReads) Offer(l OfferedList) {
	for _, known := range r.offered {
		if known.Generation == l.Generation {
			return
		}
	}
	if len(r.offered) >= maxOfferedLists {
		r.offered = r.offered[1:]
	}
	r.offered = append(r.offered, l)
}

// List returns the offered list of a generation.
func (r *MemberReads) List(g Generation) ([]string, bool) {
	for _, l := range r.offered {
		if l.Generation == g {
			return l.Members, true
		}
	}
	return nil, false
}

// ShouldRead reports whether this process reads the list of a generation now: if it is one of the
// readers, has put off a read at the last join, or knows no other members. Ownership lapses if a new
// list isn't confirmed within two joins, so a read is put off only once.
func (r *MemberReads) ShouldRead(g Generation, self string, members []string) bool {
	key := rendezvous.Key([]byte(strconv.FormatInt(g.fencingToken(), 10)))
	if len(members) <= memberListReaders || r.wanted != (Generation{}) || rendezvous.Rank(key, members, self) < memberListReaders {
		r.wanted = Generation{}
		return true
	}
	r.wanted = g
	return false
}

// Settled records that the newest list is known.
func (r *MemberReads) Settled() { r.wanted = Generation{} }
