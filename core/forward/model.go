// Package forward decides how requests are forwarded unchanged to endpoints:
// which route and customer a request belongs to, which endpoint takes it, when it
// is refused, and how weight versions reach the endpoints. It is pure: the clock
// is an argument, counted from any fixed instant on a clock that includes suspends.
package forward

import "time"

// Kind tells how often a request may run.
type Kind int

// The kinds of a route.
const (
	Unsafe Kind = iota // at most once
	Safe               // any number of times
	Stream             // at most once, unless the route is resumable
)

// Repeatable tells whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string
	Kind          Kind
	Targets       []Target
	Timeout       time.Duration // longest time that a caller is kept waiting
	LatencyTarget time.Duration // up to the answer, for streams to the first event
	GapTarget     time.Duration // longest pause between events
	MaxAttempts   int
	Priority      int // 0 is the most urgent
	Public        bool
	Resumable     bool
	Prompted      bool // requests carry prompts whose prefixes endpoints cache
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int
	CapacityTokens int
	TokenBytes     int
	LinkMbps       float64
	Models         []string
	PartSources    bool // a request may name a source for each part of its prompt
}

// Service is a group of endpoints, or a cache store when StoreAddress is set.
type Service struct {
	Name           string
	HealthPath     string
	MaxConns       int // over all callers of one endpoint
	Engine         *Engine
	StoreAddress   string
	FailureDomain  string
	CapacityTokens int
	Managed        bool // the store drops nothing by itself
}

// Customer owns keys. A dedicated customer shares no cached prompt with others.
type Customer struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool
	Dedicated   bool
}

// Limits bound what a caller may send.
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
	Customers []Customer // none means that requests carry no keys
	Limits    Limits
}

// WeightVersion names the weights that a model's endpoints are to have.
type WeightVersion struct {
	Model   string
	Version int64
}

// OperatorChange is one record of the operators: exactly one field is set, none
// when the record can't be read.
type OperatorChange struct {
	Config  *Config
	Weights *WeightVersion
	Err     error
}

// ModelState is a model with the weight version that an endpoint has.
type ModelState struct {
	Name    string
	Version int64
}

// Endpoint is one entry of the list of endpoints.
type Endpoint struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	ColdLeft      time.Duration // how much longer it is slow after its start
	Models        []ModelState
	Started       int64 // Unix ms, 0 when unknown
}

// EndpointChange replaces the entry of an ID. Endpoint is nil when the entry was
// removed or names no usable endpoint.
type EndpointChange struct {
	ID       string
	Endpoint *Endpoint
	Err      error // why the entry is unusable, nil when it was removed
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes a request to a model engine.
type Prompt struct {
	Model     string
	Parts     []Part
	Tokens    int // of the prompt
	MaxOutput int
	Length    int // the caller's estimate of the output, 0 when absent
}

// Shared returns the parts that other requests may have too: all but the last.
func (p *Prompt) Shared() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}
