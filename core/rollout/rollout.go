// Package rollout advances one endpoint to the weight version that the
// configuration names, together with the other endpoints of its model and without
// anyone in charge.
//
// If every announcement reaches the other agents within half of AnnounceWait, no
// more endpoints load at once than the limit: of two agents that announce at about
// the same time, either both see the other and the hash order decides, or the later
// one saw the earlier before it announced. If agents are split into groups that
// don't see each other, each group keeps the limit, so that the bound is the number
// of groups times the limit.
package rollout

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/core/rendezvous"
)

// Times of a step.
const (
	AnnounceWait = time.Second
	// orderTimeout is the time after which an order without effect is repeated.
	orderTimeout = 2 * time.Second
	// backoffStep spreads the next tries of agents that stood back, by their place.
	backoffStep = 500 * time.Millisecond
	// patience is how long an endpoint waits while nothing happens for those before
	// it in hash order, which may be unable to load, or gone without this agent
	// knowing. Each place waits longer by patienceStep, so that not all try at once.
	patience     = 10 * time.Second
	patienceStep = 4 * time.Second
)

// Stage is what an agent announces of its endpoint.
type Stage int

// The stages.
const (
	Serving Stage = iota
	Announced
	Loading
)

// Peer is one endpoint of the model, as this agent sees it.
type Peer struct {
	Endpoint string
	Live     bool
	Version  string
	Stage    Stage
}

// View is what the agent knows when it takes a step.
type View struct {
	Self          string
	Desired       string
	ConfigVersion int64
	MaxLoading    int
	MinServing    float64 // share of the configured endpoints
	Peers         []Peer  // all configured endpoints of the model; Self may be missing
}

// Engine is what the engine says of itself.
type Engine struct {
	Version string
	Loading bool
	Fencing int64
}

// Action is what the agent must do after a step.
type Action struct {
	Stage   Stage // to announce
	Order   bool
	Fencing int64
	Version string
}

// Errors of a step. The endpoint stays as it is.
var (
	ErrStaleConfig = errors.New("the engine has an order of a later configuration version")
	ErrAttempts    = errors.New("the fencing numbers of this configuration version are used up")
)

// Machine is the state of one endpoint. It is lost at a restart without harm.
type Machine struct {
	stage   Stage
	since   time.Time
	backoff time.Time
	wanting time.Time // since when the endpoint wants to load and no other does
	issued  int64     // last fencing number
	version string
}

// Step decides what to do now.
func (m *Machine) Step(v *View, e Engine, now time.Time) (Action, error) {
	switch {
	case e.Loading:
		if m.stage != Loading {
			m.enter(Loading, now)
		}
	case e.Version == v.Desired:
		m.enter(Serving, now)
		m.wanting = time.Time{}
	case m.stage == Loading:
		// Ordered, but neither loading nor loaded: the order was lost, or a delayed
		// earlier one has replaced its effect. The place among the loading is kept.
		if now.Sub(m.since) >= orderTimeout || m.version != v.Desired {
			return m.order(v, e, now)
		}
	case m.stage == Announced:
		if now.Sub(m.since) >= AnnounceWait {
			if !v.first() || !v.enough() {
				m.enter(Serving, now)
				m.backoff = now.Add(time.Duration(1+v.rank()) * backoffStep)
				break
			}
			return m.order(v, e, now)
		}
	default:
		m.want(v, now)
	}
	return Action{Stage: m.stage}, nil
}

// want announces when it is this endpoint's turn.
func (m *Machine) want(v *View, now time.Time) {
	if m.wanting.IsZero() || v.busy() > 0 {
		m.wanting = now
	}
	rank := v.rank()
	turn := rank < v.MaxLoading-v.busy() || now.Sub(m.wanting) >= patience+time.Duration(rank)*patienceStep
	if turn && v.enough() && !now.Before(m.backoff) {
		m.enter(Announced, now)
	}
}

func (m *Machine) enter(s Stage, now time.Time) { m.stage, m.since = s, now }

const attemptBits = 16

// order issues the next fencing number: the configuration version, which never
// reverts, and an attempt above the engine's and the own last one.
func (m *Machine) order(v *View, e Engine, now time.Time) (Action, error) {
	last := max(e.Fencing, m.issued)
	next := max(v.ConfigVersion<<attemptBits, last) + 1
	if next>>attemptBits != v.ConfigVersion {
		m.enter(Serving, now)
		if last>>attemptBits > v.ConfigVersion {
			return Action{}, ErrStaleConfig
		}
		return Action{}, ErrAttempts
	}
	m.enter(Loading, now)
	m.issued, m.version = next, v.Desired
	return Action{Stage: Loading, Order: true, Fencing: next, Version: v.Desired}, nil
}

// busy counts the live others that load or announced that they will.
func (v *View) busy() int {
	n := 0
	for _, p := range v.Peers {
		if p.Endpoint != v.Self && p.Live && p.Stage != Serving {
			n++
		}
	}
	return n
}

// before orders the endpoints by their hash for the desired version.
func (v *View) before(a, b string) int {
	ka, kb := rendezvous.Key([]byte(v.Desired+"\x00"+a)), rendezvous.Key([]byte(v.Desired+"\x00"+b))
	if c := cmp.Compare(ka, kb); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

// place returns the index of this endpoint in hash order among the live others for
// which the condition holds.
func (v *View) place(in func(Peer) bool) int {
	n := 0
	for _, p := range v.Peers {
		if p.Endpoint != v.Self && p.Live && in(p) && v.before(p.Endpoint, v.Self) < 0 {
			n++
		}
	}
	return n
}

// rank is the place among the endpoints that have not loaded and do nothing about it.
func (v *View) rank() int {
	return v.place(func(p Peer) bool { return p.Version != v.Desired && p.Stage == Serving })
}

// first reports whether this endpoint is among those announced that may load.
func (v *View) first() bool {
	loading := 0
	for _, p := range v.Peers {
		if p.Endpoint != v.Self && p.Live && p.Stage == Loading {
			loading++
		}
	}
	return v.place(func(p Peer) bool { return p.Stage == Announced }) < v.MaxLoading-loading
}

// enough reports whether the share that must serve is kept while this endpoint
// loads; those that announced and come after it will stand back. A model with few endpoints may always have one of them loading.
func (v *View) enough() bool {
	serving := 0
	for _, p := range v.Peers {
		after := p.Stage == Announced && v.before(v.Self, p.Endpoint) < 0
		if p.Endpoint != v.Self && p.Live && (p.Stage == Serving || after) {
			serving++
		}
	}
	total := len(v.Peers)
	if !slices.ContainsFunc(v.Peers, func(p Peer) bool { return p.Endpoint == v.Self }) {
		total++
	}
	need := int(math.Ceil(v.MinServing * float64(total)))
	return serving >= min(need, total-1)
}
