// Package membership detects failures and spreads the members' states by gossip
// on a finger ring; docs/design.md, section 5. It is pure: the driver passes in
// the time, the messages and the results of exchanges, and runs the commands.
package membership

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// State is what is believed of a member.
type State uint8

// The states of a member. At equal incarnations a later one prevails.
const (
	Live State = iota + 1
	Suspect
	Leaving
	Gone
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"unknown", "live", "suspect", "leaving", "gone"}[min(s, Gone+1)%(Gone+1)]
}

// Endpoint is what a member announces of one of its endpoints.
type Endpoint struct {
	ID            string
	WeightVersion string
	Leaving       bool
	Stage         uint32 // of a weight rollout, as package rollout numbers them
}

// Member is one process and, in messages, an update about it. An update without
// an address is short: it carries the state of a member that the receiver knows.
// One with state 0 asks the member itself to announce itself again.
type Member struct {
	ID            string
	Role          string
	Address       string
	FailureDomain string
	Region        string
	State         State
	Incarnation   uint64
	ConfigVersion int64
	Endpoints     []Endpoint
}

// Usage is a heavy customer's demand at one entry.
type Usage struct {
	Customer        string
	Entry           string
	TokensPerSecond uint32
	Age             time.Duration // since the entry measured it
}

// Message is one side of an exchange.
type Message struct {
	From          string
	Incarnation   uint64
	ConfigVersion int64
	ConfigHash    []byte
	Updates       []Member
	Usage         []Usage
}

// Kind tells what a command asks the driver to do.
type Kind uint8

// The kinds of commands, each with the call that reports its result.
const (
	Exchange      Kind = iota + 1 // Answered or Failed
	IndirectProbe                 // Probed
	FetchMembers                  // Merge or FetchFailed
)

// Command asks the driver for one call to another process.
type Command struct {
	Kind       Kind
	Target     string
	Address    string // of the target
	Via        string // IndirectProbe: who probes
	ViaAddress string
	Message    Message // Exchange
}

// Options sets a machine. Zero durations and sizes get their defaults.
type Options struct {
	Self Member // Incarnation must be higher than in earlier lives, such as the start in Unix ms
	Rand *rand.Rand

	Interval     time.Duration // between exchanges, 1 s
	Late         time.Duration // a tick later than this is late, half an interval
	Suspicion    time.Duration // from suspect to gone, 8 intervals
	MaxSuspicion time.Duration // limit of the doubling for flapping members, 16 × Suspicion
	FlapDecay    time.Duration // one flap is forgotten after this, 15 × Suspicion
	Reprobe      time.Duration // between probes of gone members, 10 intervals
	Forget       time.Duration // gone members that the host list lacks are forgotten, 720 × Reprobe
	JoinJitter   time.Duration // wait before the first fetch of members, up to 2 intervals
	ListMaxAge   time.Duration // older host lists are no witness, 1200 intervals
	UsageMaxAge  time.Duration // older usage isn't passed on, 10 intervals
	MaxGrants    int           // member snapshots handed out at a time, 4
	MessageBytes int           // bound of an encoded message, 400
}

// Defaults of the options.
const (
	defaultInterval     = time.Second
	suspicionIntervals  = 8
	maxSuspicionFactor  = 16
	flapDecayFactor     = 15
	reprobeIntervals    = 10
	forgetReprobes      = 720
	joinIntervals       = 2
	listIntervals       = 1200
	usageIntervals      = 10
	defaultMaxGrants    = 4
	defaultMessageBytes = 400
)

func (o *Options) defaults() {
	o.Interval = cmp.Or(o.Interval, defaultInterval)
	o.Late = cmp.Or(o.Late, o.Interval/2)
	o.Suspicion = cmp.Or(o.Suspicion, suspicionIntervals*o.Interval)
	o.MaxSuspicion = cmp.Or(o.MaxSuspicion, maxSuspicionFactor*o.Suspicion)
	o.FlapDecay = cmp.Or(o.FlapDecay, flapDecayFactor*o.Suspicion)
	o.Reprobe = cmp.Or(o.Reprobe, reprobeIntervals*o.Interval)
	o.Forget = cmp.Or(o.Forget, forgetReprobes*o.Reprobe)
	o.JoinJitter = cmp.Or(o.JoinJitter, joinIntervals*o.Interval)
	o.ListMaxAge = cmp.Or(o.ListMaxAge, listIntervals*o.Interval)
	o.UsageMaxAge = cmp.Or(o.UsageMaxAge, usageIntervals*o.Interval)
	o.MaxGrants = cmp.Or(o.MaxGrants, defaultMaxGrants)
	o.MessageBytes = cmp.Or(o.MessageBytes, defaultMessageBytes)
}
