package forward

import (
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/core/rendezvous"
)

// Ownership tells which endpoints this process gives orders to. The processes form
// a group in the platform's log, whose generation rises with each change of its
// members; each endpoint belongs to one member by rendezvous hashing, so that a
// member that comes or goes moves only its own share.
//
// A process acts on a list of members only for a lease after the last join that
// returned the list's generation. One that became an endpoint's owner waits
// for the former one's lease and for the pause between two holders.
type Ownership struct {
	Self     string
	Lease    time.Duration // how long a join entitles to orders
	Handover time.Duration // pause between the orders of two holders

	generation int64
	renewed    time.Duration // sent time of the last join under the newest confirmed list
	steady     time.Duration // a member without a break since then
	read       *epoch        // a list that no join has confirmed yet
	epochs     []epoch       // confirmed ones, oldest first
}

type epoch struct {
	generation int64
	confirmed  time.Duration
	members    []string
}

// Joined takes the answer of a join that was sent at the time. It returns true
// when a list of members became valid by it.
func (o *Ownership) Joined(generation int64, sent time.Duration) bool {
	if n := len(o.epochs); n > 0 && generation != o.epochs[n-1].generation && sent >= o.renewed+o.Lease {
		o.epochs = nil // others may have owned the endpoints in between
	}
	o.generation = generation
	if o.read == nil || o.read.generation != generation {
		if n := len(o.epochs); n > 0 && o.epochs[n-1].generation == generation {
			o.renewed = sent
		}
		return false
	}
	o.renewed = sent
	e := *o.read
	e.confirmed = sent
	o.read = nil
	if len(o.epochs) == 0 {
		o.steady = sent
	}
	o.epochs = append(o.epochs, e)
	for len(o.epochs) > 1 && o.epochs[1].confirmed <= sent-o.wait() {
		o.epochs = o.epochs[1:]
	}
	return true
}

// Listed takes the members as they were read after a join returned the generation.
func (o *Ownership) Listed(generation int64, members []string) {
	o.read = &epoch{generation: generation, members: slices.Sorted(slices.Values(members))}
}

// Current tells whether the members of the generation are known.
func (o *Ownership) Current(generation int64) bool {
	return o.read != nil && o.read.generation == generation ||
		len(o.epochs) > 0 && o.epochs[len(o.epochs)-1].generation == generation
}

// Members returns the members by the newest list.
func (o *Ownership) Members() []string {
	if o.read != nil {
		return o.read.members
	}
	if len(o.epochs) == 0 {
		return nil
	}
	return o.epochs[len(o.epochs)-1].members
}

// Generation is the newest one.
func (o *Ownership) Generation() int64 { return o.generation }

// Fence is the fencing token of orders: the generation of the list that this
// process acts on. Two owners of an endpoint never act under the same one.
func (o *Ownership) Fence() int64 {
	if len(o.epochs) == 0 {
		return 0
	}
	return o.epochs[len(o.epochs)-1].generation
}

func (o *Ownership) wait() time.Duration { return o.Lease + o.Handover }

// Owns tells whether an order may be given to the endpoint now, whatever the owner
// before may have done.
func (o *Ownership) Owns(endpoint string, now time.Duration) bool {
	return o.ownsFor(endpoint, o.wait(), now)
}

// OwnsAlone tells whether no other process can give orders to the endpoint any
// more; one may have done so within the pause between two holders, which a member
// hears of. One that has just joined has not heard of all of them.
func (o *Ownership) OwnsAlone(endpoint string, now time.Duration) bool {
	return now >= o.steady+o.wait() && o.ownsFor(endpoint, o.Lease+soloMargin, now)
}

// soloMargin covers an order on its way at the end of its sender's lease.
const soloMargin = 300 * time.Millisecond

func (o *Ownership) ownsFor(endpoint string, wait, now time.Duration) bool {
	if len(o.epochs) == 0 || now >= o.renewed+o.Lease || o.epochs[0].confirmed > now-wait {
		return false
	}
	last := len(o.epochs) - 1
	key := rendezvous.Key([]byte(endpoint))
	for i := last; i >= 0; i-- {
		if rendezvous.Owner(key, o.epochs[i].members) != o.Self {
			return false
		}
		if o.epochs[i].confirmed <= now-wait {
			break
		}
	}
	return true
}
