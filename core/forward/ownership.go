package forward

import (
	"slices"
	"strings"
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
// passed. The log removes a member after a longer time than the lease, so the lease of
// a previous owner that a list lacks has expired.
//
// A process that starts, or returns after the log has removed it, joins as a standby:
// under a name that tells the members that it owns nothing. It becomes an owner once the
// handover pause has passed, so the endpoints are never without an owner meanwhile.
type Ownership struct {
	Self     string
	Lease    time.Duration // how long a join entitles to send orders; shorter than MemberTTL by inFlightMargin at least
	Handover time.Duration // pause between the orders of two consecutive owners
	// MemberTTL is the time after its last join after which the log removes a member.
	MemberTTL time.Duration

	standby       bool          // the process joins as a standby
	roleDecided   bool          // standby has been decided since the start
	roleDecidedAt time.Duration // when that was last
	joinedAt      time.Duration // send time of the last join that was answered
	ownerSince    time.Duration // when the first list of the current uninterrupted membership as an owner was confirmed

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
	members     []string // owners and standbys
	owners      []string
	asStandby   bool // this process was a standby when the list was confirmed
	ownerCache  map[string]string
}

// maxCachedOwners bounds the cache of a list that stays for long while endpoints come and go.
const maxCachedOwners = 4096

// owner returns the member that owns an endpoint by this list, "" if none does. All endpoints are looked
// up many times a second, and hashing all members of a large group for each would take a large share of
// a small host.
func (l *memberList) owner(endpoint string) string {
	owner, ok := l.ownerCache[endpoint]
	if !ok {
		owner = rendezvous.Owner(rendezvous.Key([]byte(endpoint)), l.owners)
		if len(l.ownerCache) >= maxCachedOwners {
			clear(l.ownerCache)
		}
		l.ownerCache[endpoint] = owner
	}
	return owner
}

// standbySuffix marks the name of a member that owns nothing. Processes that don't know the mark
// take it for an owner and leave its endpoints alone.
const standbySuffix = "/standby"

// maxStandbyTime bounds the time for which updates of endpoints keep a process from becoming an
// owner: an endpoint may never carry out its orders.
const maxStandbyTime = 30 * time.Second

// JoinName returns the name under which to join the group, and false if the members must be read
// first and passed to DecideRole: at the start, and when the log may have removed it. A standby becomes
// an owner when no orders have been missed within the handover pause, but not while endpoints are
// being updated, as those that change their owner would wait.
func (o *Ownership) JoinName(updating func() bool, now time.Duration) (string, bool) {
	if !o.roleDecided || now >= max(o.joinedAt, o.roleDecidedAt)+o.MemberTTL {
		return "", false
	}
	if n := len(o.confirmed); o.standby && n > 0 {
		unowned := len(o.confirmed[n-1].owners) == 0
		wait := o.handoverWait()
		if updating() {
			wait = maxStandbyTime
		}
		o.standby = !unowned && now < o.memberSince+wait
	}
	return o.ListedName(), true
}

// ListedName returns the name under which the process joined last.
func (o *Ownership) ListedName() string {
	if o.standby {
		return o.Self + standbySuffix
	}
	return o.Self
}

// DecideRole decides from the members that were read whether to join as a standby: if another
// member is an owner, unless this process is still listed as one.
func (o *Ownership) DecideRole(members []string, now time.Duration) {
	wasOwner := o.roleDecided && !o.standby
	stays := wasOwner && slices.Contains(members, o.Self)
	standby := !stays && slices.ContainsFunc(members, func(m string) bool { return m != o.Self && !strings.HasSuffix(m, standbySuffix) })
	if standby != o.standby {
		o.unconfirmed, o.confirmed = nil, nil
	}
	o.standby, o.roleDecided, o.roleDecidedAt = standby, true, now
}

// RecordJoin records the result of a join that was sent at the given time. It reports
// whether this confirmed a new member list. A join that was answered in an older era has no
// effect.
func (o *Ownership) RecordJoin(generation Generation, sent time.Duration) bool {
	if generation.Era < o.generation.Era {
		return false
	}
	o.RecordEra(generation.Era)
	o.joinedAt = sent
	lapsed := sent >= o.renewedAt+o.Lease
	if n := len(o.confirmed); n > 0 && generation != o.confirmed[n-1].generation && lapsed {
		o.confirmed = nil // another member may have owned the endpoints in between
	}
	o.generation = generation
	if o.unconfirmed == nil || o.unconfirmed.generation != generation {
		if n := len(o.confirmed); n > 0 && o.confirmed[n-1].generation == generation {
			o.renewedAt = sent
			if lapsed {
				o.memberSince = sent // reports of the others' orders may have been missed
			}
		}
		return false
	}
	o.renewedAt = sent
	list := *o.unconfirmed
	list.confirmedAt, list.asStandby = sent, o.standby
	o.unconfirmed = nil
	if len(o.confirmed) == 0 || lapsed {
		o.memberSince = sent
	}
	if n := len(o.confirmed); n == 0 || o.confirmed[n-1].asStandby {
		o.ownerSince = sent
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
	l := memberList{generation: generation, ownerCache: map[string]string{}}
	for _, m := range members {
		name, standby := strings.CutSuffix(m, standbySuffix)
		l.members = append(l.members, name)
		if !standby {
			l.owners = append(l.owners, m)
		}
	}
	slices.Sort(l.members)
	l.members = slices.Compact(l.members) // a standby that has just become an owner is listed twice
	o.unconfirmed = &l
}

// KnowsMembers reports whether the members of the generation are known.
func (o *Ownership) KnowsMembers(generation Generation) bool {
	return o.unconfirmed != nil && o.unconfirmed.generation == generation ||
		len(o.confirmed) > 0 && o.confirmed[len(o.confirmed)-1].generation == generation
}

// Members returns the newest member list, with owners and standbys.
func (o *Ownership) Members() []string {
	if o.unconfirmed != nil {
		return o.unconfirmed.members
	}
	if len(o.confirmed) == 0 {
		return nil
	}
	return o.confirmed[len(o.confirmed)-1].members
}

// ConfirmedMembers returns the newest confirmed member list, with owners and standbys, its
// generation, and when it was last proved to be current. It reports false if there is none.
func (o *Ownership) ConfirmedMembers() (members []string, generation Generation, provedAt time.Duration, ok bool) {
	n := len(o.confirmed)
	if n == 0 {
		return nil, Generation{}, 0, false
	}
	last := &o.confirmed[n-1]
	return last.members, last.generation, o.renewedAt, true
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
	if !o.ownsNow(endpoint, now) {
		return false
	}
	for i := len(o.confirmed) - 1; i > 0; i-- {
		since, previous := o.confirmed[i], o.confirmed[i-1]
		if now >= since.confirmedAt+o.handoverWait() {
			return true
		}
		owner := previous.owner(endpoint)
		if owner == o.Self {
			continue
		}
		wait := o.Handover
		if slices.Contains(since.owners, owner) {
			wait = o.handoverWait() // it may not know the new list yet
		}
		return now >= since.confirmedAt+wait
	}
	return now >= o.confirmed[0].confirmedAt+o.handoverWait()
}

// IsSoleOwner reports whether no other process can send orders to the endpoint any
// more. The previous owner may have sent one within the handover pause, about which
// the members inform each other. A process that joined less than a full handover ago
// may have missed that information, so the result is false for it.
//
// An uninterrupted owner that owns the endpoint by the newest list was preferred to all
// other members of that list before, too, and the leases of all others have expired.
func (o *Ownership) IsSoleOwner(endpoint string, now time.Duration) bool {
	return o.Owns(endpoint, now) ||
		now >= o.memberSince+o.handoverWait() && now >= o.ownerSince+o.Lease+inFlightMargin && o.ownsNow(endpoint, now)
}

// inFlightMargin is the time for an order that was sent at the end of a lease to
// arrive.
const inFlightMargin = 300 * time.Millisecond

// ownsNow reports whether this process holds a valid lease on a list by which it owns the
// endpoint.
func (o *Ownership) ownsNow(endpoint string, now time.Duration) bool {
	if len(o.confirmed) == 0 || o.standby || now >= o.renewedAt+o.Lease {
		return false
	}
	last := o.confirmed[len(o.confirmed)-1]
	return last.owner(endpoint) == o.Self
}
