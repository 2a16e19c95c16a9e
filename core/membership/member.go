// Package membership implements failure detection and the dissemination of member
// states by gossip on a finger ring (docs/design.md, section 5). It does no I/O: the
// driver passes in the time, the messages and the results of exchanges, and runs the
// returned commands.
package membership

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// State is the state of a member as seen by this process.
type State uint8

// The states of a member. At equal incarnations, the state listed later takes
// precedence.
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

// Endpoint is the state of one endpoint that a member announces.
type Endpoint struct {
	ID            string
	WeightVersion string
	Leaving       bool
	RolloutStage  uint32 // stage of a weight rollout, as numbered by package rollout
}

// Member describes one process; in messages it is an update about that process. An
// update without an address is short: it contains only the state of a member that the
// receiver knows. An update with state 0 asks the receiver to announce itself again.
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

// Demand is the demand of one customer at one entry, as in package limits. On the wire
// it is named usage.
type Demand struct {
	Customer        string
	Entry           string
	TokensPerSecond uint32
	Age             time.Duration // since the entry measured it
}

// Message is the request or the answer of an exchange.
type Message struct {
	From          string
	Incarnation   uint64
	ConfigVersion int64
	ConfigHash    []byte
	Updates       []Member
	Demands       []Demand
}

// CommandKind is the kind of a command.
type CommandKind uint8

// The kinds of commands, each with the methods that report its result.
const (
	Exchange      CommandKind = iota + 1 // result reported by HandleAnswer or HandleFailure
	IndirectProbe                        // result reported by HandleProbeResult
	FetchMembers                         // result reported by MergeMembers or HandleFetchFailure
)

// Command tells the driver to make one call to another process.
type Command struct {
	Kind          CommandKind
	Target        string
	Address       string  // address of the target
	Prober        string  // for IndirectProbe, the member that probes the target
	ProberAddress string  // address of Prober
	Message       Message // for Exchange, the message to send
}

// Options configures a machine. Zero durations and sizes select the defaults.
type Options struct {
	Self Member // Incarnation must increase with each restart, such as the start time in Unix ms
	Rand *rand.Rand

	ExchangeInterval    time.Duration // time between exchanges; default 1 s
	MaxTickDelay        time.Duration // delay from which a tick counts as late; default half an interval
	SuspicionTimeout    time.Duration // time from suspect to gone; default 8 intervals
	MaxSuspicionTimeout time.Duration // limit of the suspicion timeout of flapping members; default 16 × SuspicionTimeout
	FlapDecay           time.Duration // time after which one flap no longer counts; default 15 × SuspicionTimeout
	GoneProbeInterval   time.Duration // time between probes of gone members; default 10 intervals
	GoneRetention       time.Duration // time after which gone members missing from the host list are removed; default 720 × GoneProbeInterval
	JoinJitter          time.Duration // maximum random delay before a fetch of the members; default 2 intervals
	HostListMaxAge      time.Duration // age up to which a host list can delay declaring a suspect gone; default 1200 intervals
	DemandMaxAge        time.Duration // age up to which a demand is sent on; default 10 intervals
	MaxSnapshots        int           // maximum number of concurrent member snapshots; default 4
	MaxMessageBytes     int           // maximum size of an encoded message; default 400
}

// Defaults of the options.
const (
	defaultInterval           = time.Second
	suspicionTimeoutIntervals = 8
	maxSuspicionFactor        = 16
	flapDecayFactor           = 15
	goneProbeIntervals        = 10
	goneRetentionProbes       = 720
	joinJitterIntervals       = 2
	hostListMaxAgeIntervals   = 1200
	demandMaxAgeIntervals     = 10
	defaultMaxSnapshots       = 4
	defaultMaxMessageBytes    = 400
)

func (o *Options) setDefaults() {
	o.ExchangeInterval = cmp.Or(o.ExchangeInterval, defaultInterval)
	o.MaxTickDelay = cmp.Or(o.MaxTickDelay, o.ExchangeInterval/2)
	o.SuspicionTimeout = cmp.Or(o.SuspicionTimeout, suspicionTimeoutIntervals*o.ExchangeInterval)
	o.MaxSuspicionTimeout = cmp.Or(o.MaxSuspicionTimeout, maxSuspicionFactor*o.SuspicionTimeout)
	o.FlapDecay = cmp.Or(o.FlapDecay, flapDecayFactor*o.SuspicionTimeout)
	o.GoneProbeInterval = cmp.Or(o.GoneProbeInterval, goneProbeIntervals*o.ExchangeInterval)
	o.GoneRetention = cmp.Or(o.GoneRetention, goneRetentionProbes*o.GoneProbeInterval)
	o.JoinJitter = cmp.Or(o.JoinJitter, joinJitterIntervals*o.ExchangeInterval)
	o.HostListMaxAge = cmp.Or(o.HostListMaxAge, hostListMaxAgeIntervals*o.ExchangeInterval)
	o.DemandMaxAge = cmp.Or(o.DemandMaxAge, demandMaxAgeIntervals*o.ExchangeInterval)
	o.MaxSnapshots = cmp.Or(o.MaxSnapshots, defaultMaxSnapshots)
	o.MaxMessageBytes = cmp.Or(o.MaxMessageBytes, defaultMaxMessageBytes)
}
