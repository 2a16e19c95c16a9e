package forward

import (
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/core/rendezvous"
)

// Ownership determines which endpoints this process may send orders to, that is,
// commands to load weights. The processes form a group in the platform's log, whose
// generation increases with each membership change. Each endpoint is assigned to one
// member by rendezvous hashing, so a member that joins or leaves moves only its own
// share of the endpoints.
//
// After the log has returned from an older copy, generations are given out again, so a
// generation is identified together with its era, and no member list of an earlier era
// entitles to an order.
//
// A process uses a member list only for the duration of a lease, counted from when it
// sent its last join that returned the list's generation. A new owner of an endpoint
// first waits until the previous owner's lease has expired and the handover pause has
// passed.
type Ownership struct {
	Self     string
	Lease    time.Duration // how long a join entitles to send orders
	Handover time.Duration // pause between the orders of two consecutive owners

	generation  Generation
	renewedAt   time.Duration // send time of the last join that returned the newest confirmed generation
	memberSince time.Duration // start of the current uninterrupted membership
	unconfirmed *memberList   // member list whose generation has not been returned by a join since it was read
	confirmed   []memberList  // confirmed member lists, oldest first
}

// Generation identifies a member list of the group.
type Generation struct {
	Era    Era
	Number int64 // increases with each membership change of an era
}

// generationBits is the number of bits of a fencing token that hold the generation's
// number; the era is above them.
const generationBits = 32

// fencingToken returns a number that increases with each generation, also across eras.
func (g Generation) fencingToken() int64 { return int64(g.Era)<<generationBits | g.Number }

// memberList is the list of members in one generation of the group.
type memberList struct {
	generation  Generation
	confirmedAt time.Duration
	members     []string
}

// RecordJoin records the result of a join that was sent at the given time. It reports
// whether this confirmed a new member list. A join that was answered in an older era has no
// effect.
func (o *Ownership) RecordJoin(generation Generation, sent time.Duration) bool {
	if generation.Era < o.generation.Era {
		return false
	}
	o.RecordEra(generation.Era)
	if n := len(o.confirmed); n > 0 && generation != o.confirmed[n-1].generation && sent >= o.renewedAt+o.Lease {
		o.confirmed = nil // another member may have owned the endpoints in between
	}
	o.generation = generation
	if o.unconfirmed == nil || o.unconfirmed.generation != generation {
		if n := len(o.confirmed); n > 0 && o.confirmed[n-1].generation == generation {
			o.renewedAt = sent
		}
		return false
	}
	o.renewedAt = sent
	list := *o.unconfirmed
	list.confirmedAt = sent
	o.unconfirmed = nil
	if len(o.confirmed) == 0 {
		o.memberSince = sent
	}
	o.confirmed = append(o.confirmed, list)
	for len(o.confirmed) > 1 && o.confirmed[1].confirmedAt <= sent-o.handoverWait() {
		o.confirmed = o.confirmed[1:]
	}
	return true
}

// RecordEra records an era of the log. A newer one ends the use of all member lists.
func (o *Ownership) RecordEra(era Era) {
	if era > o.generation.Era {
		o.generation = Generation{Era: era}
		o.unconfirmed, o.confirmed = nil, nil
	}
}

// RecordMembers records the member list that was read after a join returned the generation.
func (o *Ownership) RecordMembers(generation Generation, members []string) {
	if generation.Era < o.generation.Era {
		return
	}
	o.unconfirmed = &memberList{generation: generation, members: slices.Sorted(slices.Values(members))}
}

// KnowsMembers reports whether the members of the generation are known.
func (o *Ownership) KnowsMembers(generation Generation) bool {
	return o.unconfirmed != nil && o.unconfirmed.generation == generation ||
		len(o.confirmed) > 0 && o.confirmed[len(o.confirmed)-1].generation == generation
}

// Members returns the newest member list.
func (o *Ownership) Members() []string {
	if o.unconfirmed != nil {
		return o.unconfirmed.members
	}
	if len(o.confirmed) == 0 {
		return nil
	}
	return o.confirmed[len(o.confirmed)-1].members
}

// Generation returns the newest generation.
func (o *Ownership) Generation() Generation { return o.generation }

// FencingToken returns the fencing token for orders: the generation of the member list in
// use. Two owners of an endpoint never use the same token.
func (o *Ownership) FencingToken() int64 {
	if len(o.confirmed) == 0 {
		return 0
	}
	return o.confirmed[len(o.confirmed)-1].generation.fencingToken()
}

func (o *Ownership) handoverWait() time.Duration { return o.Lease + o.Handover }

// Owns reports whether an order may be sent to the endpoint now, regardless of any
// orders of the previous owner.
func (o *Ownership) Owns(endpoint string, now time.Duration) bool {
	return o.ownedFor(endpoint, o.handoverWait(), now)
}

// IsSoleOwner reports whether no other process can send orders to the endpoint any
// more. The previous owner may have sent one within the handover pause, about which
// the members inform each other. A process that joined less than a full handover ago
// may have missed that information, so the result is false for it.
func (o *Ownership) IsSoleOwner(endpoint string, now time.Duration) bool {
	return now >= o.memberSince+o.handoverWait() && o.ownedFor(endpoint, o.Lease+inFlightMargin, now)
}

// inFlightMargin is the time for an order that was sent at the end of a lease to
// arrive.
const inFlightMargin = 300 * time.Millisecond

// ownedFor reports whether this process holds a valid lease and has owned the
// endpoint for at least the duration wait.
func (o *Ownership) ownedFor(endpoint string, wait, now time.Duration) bool {
	if len(o.confirmed) == 0 || now >= o.renewedAt+o.Lease || o.confirmed[0].confirmedAt > now-wait {
		return false
	}
	last := len(o.confirmed) - 1
	key := rendezvous.Key([]byte(endpoint))
	for i := last; i >= 0; i-- {
		if rendezvous.Owner(key, o.confirmed[i].members) != o.Self {
			return false
		}
		if o.confirmed[i].confirmedAt <= now-wait {
			break
		}
	}
	return true
}
