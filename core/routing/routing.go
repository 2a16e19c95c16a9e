// Package routing defines the policies that choose the endpoint for one attempt of
// a prompt, and the load estimates that they use.
package routing

import (
	"math/rand/v2"
	"time"
)

// Candidate is the state of one endpoint as the entry knows it when it routes a
// prompt.
type Candidate struct {
	Endpoint      string `json:"e"`
	Agent         string `json:"-"`
	FailureDomain string `json:"-"`
	WeightVersion string `json:"v,omitempty"`

	Slots        int           `json:"slots"`
	Running      int           `json:"run,omitempty"`        // sequences running in the engine, from the last report
	Waiting      int           `json:"wait,omitempty"`       // requests queued at the agent, from the last report
	QueuedTokens int           `json:"queued,omitempty"`     // prefill tokens queued at the agent, from the last report
	ReportAge    time.Duration `json:"age"`                  // negative when no report has arrived
	AheadTokens  int           `json:"ahead,omitempty"`      // the part of QueuedTokens that is served before a new request of the class
	SlotTime     time.Duration `json:"slot_time,omitempty"`  // mean time that a sequence occupies a slot, zero when unknown
	OwnInFlight  int           `json:"own,omitempty"`        // requests that this entry has sent since that report
	OwnTokens    int           `json:"own_tokens,omitempty"` // their prefill tokens, minus the estimated progress since

	HopLatency         time.Duration `json:"hop"`                  // one-way network latency from the entry
	EnginePrefixTokens int           `json:"engine,omitempty"`     // prefix tokens expected in the engine's KV cache
	StorePrefixTokens  int           `json:"store,omitempty"`      // prefix tokens expected in a store
	FetchWait          time.Duration `json:"fetch_wait,omitempty"` // queueing delay on the store's link
	FetchRate          float64       `json:"fetch_rate,omitempty"` // current bytes per second of the store's link, zero when it is down
	Suspect            bool          `json:"suspect,omitempty"`
}

// Request is the prompt to route.
type Request struct {
	Customer         string
	Conversation     string
	Priority         string
	PromptTokens     int
	MaxTokens        int
	PrefillRate      float64 // prompt tokens per second of one endpoint of the model
	DecodeMsPerToken float64 // milliseconds per generated token
	KVBytesPerToken  int64
	StickyHash       uint64 // hash of the customer and the conversation, for sticky routing
}

// Choice is the result of a routing decision.
type Choice struct {
	Index         int           // index of the chosen candidate, -1 when there are no candidates
	EstimatedTTFT time.Duration // estimated time to first token
	FetchPrefix   bool          // whether the prefix is to be imported from the store
}

// Policy chooses an endpoint. Implementations use only their arguments, keep no
// state between calls and don't allocate.
type Policy interface {
	Choose(r *Request, cs []Candidate, rng *rand.Rand) Choice
}
