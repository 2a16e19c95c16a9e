// Package rollout updates one endpoint to the weight version in the configuration.
// The agents of a model's endpoints coordinate without a leader, by announcing their
// state to each other.
//
// If every announcement reaches the other agents within half of AnnounceDelay, the
// number of endpoints that load at the same time stays within the limit: of two
// agents that announce at about the same time, either both see the other's
// announcement and the hash order decides, or the later one has seen the earlier
// announcement before its own. During a network partition the limit applies to each
// part separately, so that the total is bounded by the number of parts times the
// limit.
package rollout

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/core/rendezvous"
)

// Durations of the steps of a rollout.
const (
	// AnnounceDelay is the time between the announcement of an endpoint and its order,
	// in which the announcements of other agents arrive.
	AnnounceDelay = time.Second
	// orderTimeout is the time after which an order without effect is repeated.
	orderTimeout = 2 * time.Second
	// backoffStep spreads the retries of agents that gave way, by their position in
	// hash order.
	backoffStep = 500 * time.Millisecond
	// turnTimeout is how long an endpoint waits for those before it in hash order
	// while no other is announced or loading. Those may be unable to load, or may have failed
	// without this agent noticing. Each position adds turnTimeoutStep, so that not
	// all endpoints start at the same time.
	turnTimeout     = 10 * time.Second
	turnTimeoutStep = 4 * time.Second
)

// Stage is the state that an agent announces for its endpoint.
type Stage int

// Stages of an endpoint.
const (
	Serving Stage = iota
	Announced
	Loading
)

// Peer is one endpoint of the model, as known to this agent.
type Peer struct {
	Endpoint string
	Live     bool
	Version  string
	Stage    Stage
}

// View is an agent's knowledge when it takes a step.
type View struct {
	Self            string
	DesiredVersion  string
	ConfigVersion   int64
	MaxLoading      int
	MinServingShare float64 // share of the configured endpoints that must keep serving
	Peers           []Peer  // all configured endpoints of the model; may lack Self
}

// EngineState is the state that the engine reports.
type EngineState struct {
	Version      string
	Loading      bool
	FencingToken int64
}

// Action is what the agent must do after a step.
type Action struct {
	Stage        Stage // stage to announce
	SendOrder    bool
	FencingToken int64
	Version      string
}

// Errors returned by Step. The endpoint's state does not change.
var (
	ErrStaleConfig       = errors.New("engine has accepted an order of a later configuration version")
	ErrAttemptsExhausted = errors.New("fencing tokens of this configuration version are exhausted")
)

// StateMachine is the state machine of one endpoint. Its state can be lost in a restart
// without harm.
type StateMachine struct {
	stage          Stage
	stageSince     time.Time
	backoffUntil   time.Time
	waitingSince   time.Time // time since which the endpoint has waited to load and no other has been announced or loading
	lastFencing    int64     // last fencing token used
	orderedVersion string
}

// Step decides on the next action.
func (m *StateMachine) Step(v *View, e EngineState, now time.Time) (Action, error) {
	switch {
	case e.Loading:
		if m.stage != Loading {
			m.enterStage(Loading, now)
		}
	case e.Version == v.DesiredVersion:
		m.enterStage(Serving, now)
		m.waitingSince = time.Time{}
	case m.stage == Loading:
		// An order was sent, but the endpoint is neither loading nor up to date: the
		// order was lost, or a delayed earlier one has replaced its effect. The
		// endpoint still counts as loading.
		if now.Sub(m.stageSince) >= orderTimeout || m.orderedVersion != v.DesiredVersion {
			return m.order(v, e, now)
		}
	case m.stage == Announced:
		if now.Sub(m.stageSince) >= AnnounceDelay {
			if !v.mayLoad() || !v.enoughServing() {
				m.enterStage(Serving, now)
				m.backoffUntil = now.Add(time.Duration(1+v.waitingPosition()) * backoffStep)
				break
			}
			return m.order(v, e, now)
		}
	default:
		m.announceInTurn(v, now)
	}
	return Action{Stage: m.stage}, nil
}

// announceInTurn announces the endpoint if it is its turn to load.
func (m *StateMachine) announceInTurn(v *View, now time.Time) {
	if m.waitingSince.IsZero() || v.busyPeers() > 0 {
		m.waitingSince = now
	}
	rank := v.waitingPosition()
	turn := rank < v.MaxLoading-v.busyPeers() || now.Sub(m.waitingSince) >= turnTimeout+time.Duration(rank)*turnTimeoutStep
	if turn && v.enoughServing() && !now.Before(m.backoffUntil) {
		m.enterStage(Announced, now)
	}
}

func (m *StateMachine) enterStage(s Stage, now time.Time) { m.stage, m.stageSince = s, now }

const attemptBits = 16 // low bits of a fencing token, which hold the attempt number

// order issues the next fencing token. It consists of the configuration version,
// which never decreases, and an attempt number above the last ones of the engine and
// of this machine.
func (m *StateMachine) order(v *View, e EngineState, now time.Time) (Action, error) {
	last := max(e.FencingToken, m.lastFencing)
	next := max(v.ConfigVersion<<attemptBits, last) + 1
	if next>>attemptBits != v.ConfigVersion {
		m.enterStage(Serving, now)
		if last>>attemptBits > v.ConfigVersion {
			return Action{}, ErrStaleConfig
		}
		return Action{}, ErrAttemptsExhausted
	}
	m.enterStage(Loading, now)
	m.lastFencing, m.orderedVersion = next, v.DesiredVersion
	return Action{Stage: Loading, SendOrder: true, FencingToken: next, Version: v.DesiredVersion}, nil
}

// busyPeers returns the number of other live endpoints that are loading or announced.
func (v *View) busyPeers() int {
	n := 0
	for _, p := range v.Peers {
		if p.Endpoint != v.Self && p.Live && p.Stage != Serving {
			n++
		}
	}
	return n
}

// compareByHash compares two endpoints by their hash for the desired version.
func (v *View) compareByHash(a, b string) int {
	ka, kb := rendezvous.Key([]byte(v.DesiredVersion+"\x00"+a)), rendezvous.Key([]byte(v.DesiredVersion+"\x00"+b))
	if c := cmp.Compare(ka, kb); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

// hashPosition returns the position of this endpoint in hash order among the other
// live endpoints for which in returns true.
func (v *View) hashPosition(in func(Peer) bool) int {
	n := 0
	for _, p := range v.Peers {
		if p.Endpoint != v.Self && p.Live && in(p) && v.compareByHash(p.Endpoint, v.Self) < 0 {
			n++
		}
	}
	return n
}

// waitingPosition returns the position among the endpoints that have yet to load and
// are not announced.
func (v *View) waitingPosition() int {
	return v.hashPosition(func(p Peer) bool { return p.Version != v.DesiredVersion && p.Stage == Serving })
}

// mayLoad reports whether this endpoint is among the announced ones that may load
// within the limit.
func (v *View) mayLoad() bool {
	loading := 0
	for _, p := range v.Peers {
		if p.Endpoint != v.Self && p.Live && p.Stage == Loading {
			loading++
		}
	}
	return v.hashPosition(func(p Peer) bool { return p.Stage == Announced }) < v.MaxLoading-loading
}

// enoughServing reports whether the required share of endpoints keeps serving while
// this one loads. Announced endpoints after it in hash order will give way, so they
// count as serving. A model with few endpoints may always have one of them loading.
func (v *View) enoughServing() bool {
	serving := 0
	for _, p := range v.Peers {
		after := p.Stage == Announced && v.compareByHash(v.Self, p.Endpoint) < 0
		if p.Endpoint != v.Self && p.Live && (p.Stage == Serving || after) {
			serving++
		}
	}
	total := len(v.Peers)
	if !slices.ContainsFunc(v.Peers, func(p Peer) bool { return p.Endpoint == v.Self }) {
		total++
	}
	need := int(math.Ceil(v.MinServingShare * float64(total)))
	return serving >= min(need, total-1)
}
