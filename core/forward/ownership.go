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
// A process acts on a list of members only while its last join, at most a lease
// ago, returned the list's generation. One that became an endpoint's owner waits
// for the former one's lease and for the pause between two holders.
type Ownership struct {
	Self     string
	Lease    time.Duration // how long a join entitles to orders
	Handover time.Duration // pause between the orders of two holders

	generation int64
	renewed    time.Duration
	joined     bool
	read       *epoch  // a list that no join has confirmed yet
	epochs     []epoch // confirmed ones, oldest first
}

type epoch struct {
	generation int64
	confirmed  time.Duration
	members    []string
}

// Joined takes the answer of a join that was sent at the time. It returns true
// when a list of members became valid by it.
func (o *Ownership) Joined(generation int64, sent time.Duration) bool {
	if generation != o.generation && sent >= o.renewed+o.Lease {
		o.epochs = nil // others may have owned the endpoints in between
	}
	o.generation, o.renewed, o.joined = generation, sent, true
	if o.read == nil || o.read.generation != generation {
		return false
	}
	e := *o.read
	e.confirmed = sent
	o.read = nil
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

// Generation is the newest one; it serves as the fencing token of orders, as two
// owners of an endpoint never act under the same one.
func (o *Ownership) Generation() int64 { return o.generation }

func (o *Ownership) wait() time.Duration { return o.Lease + o.Handover }

// Owns tells whether an order may be given to the endpoint now.
func (o *Ownership) Owns(endpoint string, now time.Duration) bool {
	if !o.joined || now >= o.renewed+o.Lease || len(o.epochs) == 0 {
		return false
	}
	last := len(o.epochs) - 1
	if o.epochs[last].generation != o.generation || o.epochs[0].confirmed > now-o.wait() {
		return false
	}
	key := rendezvous.Key([]byte(endpoint))
	for i := last; i >= 0; i-- {
		if rendezvous.Owner(key, o.epochs[i].members) != o.Self {
			return false
		}
		if o.epochs[i].confirmed <= now-o.wait() {
			break
		}
	}
	return true
}
