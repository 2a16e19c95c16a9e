// Package forward decides how requests are forwarded to endpoints: which route and
// customer a request belongs to, which endpoint it is placed on, when it is refused,
// and how weight versions are rolled out to the endpoints. The package does no I/O.
// Callers pass the time, measured from an arbitrary instant on a clock that continues
// while the system is suspended.
package forward

import "time"

// RouteKind defines how often a request of a route may be executed.
type RouteKind int

// Kinds of routes.
const (
	Unsafe RouteKind = iota // at most once
	Safe                    // any number of times
	Stream                  // at most once, unless the route is resumable
)

// Repeatable reports whether a request that may have been executed may be sent again.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Target is a service of a route and its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name           string
	Host           string
	PathPrefix     string
	Kind           RouteKind
	Targets        []Target
	Timeout        time.Duration // longest time that a caller is kept waiting
	LatencyTarget  time.Duration // time to the answer, for streams to the first event
	EventGapTarget time.Duration // longest pause between two events of a stream
	MaxAttempts    int
	Priority       int // 0 is the highest priority
	Public         bool
	Resumable      bool
	CarriesPrompts bool // requests carry prompts whose prefixes are cached by the endpoints
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int
	CapacityTokens int
	TokenBytes     int
	LinkMbps       float64
	Models         []string
	SourcePerPart  bool // a request may name a separate source for each part of its prompt
}

// Service is a group of endpoints, or a cache store if StoreAddress is set.
type Service struct {
	Name           string
	HealthPath     string
	MaxConns       int // limit for one endpoint, over all callers
	Engine         *Engine
	StoreAddress   string
	FailureDomain  string
	CapacityTokens int
	NoAutoEviction bool          // the store never evicts parts by itself
	WarmUpPerS     float64       // requests a second that a warming endpoint takes from all entries together, 0 for no bound
	WarmUpLength   time.Duration // how long an endpoint warms up after its start
}

// Customer is an owner of API keys. A dedicated customer shares no cached prompts
// with others.
type Customer struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool
	Dedicated   bool
}

// Limits restrict the requests that callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version   int64
	Routes    []Route
	Services  []Service
	Customers []Customer // if empty, requests carry no keys
	Limits    Limits
}

// WeightVersion is the target weight version of a model.
type WeightVersion struct {
	Model   string
	Version int64
}

// OperatorChange is one record written by the operators. Exactly one field is set;
// Err is set if the record can't be decoded.
type OperatorChange struct {
	Config     *Config
	Weights    *WeightVersion
	Evacuation *EvacuationChange
	Err        error
}

// ModelState is the weight version of a model on an endpoint.
type ModelState struct {
	Name    string
	Version int64
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID              string
	Service         string
	Build           string // version of the software, not of the weights
	Address         string
	FailureDomain   string
	Slots           int
	Draining        bool
	WarmUpRemaining time.Duration // remaining time until the endpoint has warmed up
	Models          []ModelState
	StartedUnixMs   int64 // Unix time in ms, 0 if unknown
	Heartbeat       int64 // number of the heartbeat since the start, 0 if unknown
}

// EndpointChange replaces the entry of an endpoint. Endpoint is nil if the entry was
// removed or is invalid.
type EndpointChange struct {
	ID       string
	Endpoint *Endpoint
	Err      error // why the entry is invalid, nil if it was removed
}

// Part is a contiguous part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes a request to a model engine.
type Prompt struct {
	Model      string
	Parts      []Part
	Tokens     int // length of the whole prompt
	MaxOutput  int
	OutputHint int // the caller's estimate of the output tokens, 0 if absent
}

// SharedParts returns the parts that other requests may also contain: all but the last.
func (p *Prompt) SharedParts() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}
