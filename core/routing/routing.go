// Package routing chooses the endpoint for one attempt of a prompt.
package routing

import (
	"math/rand/v2"
	"time"
)

// Candidate is what is known of one endpoint when a prompt is routed.
type Candidate struct {
	Endpoint      string `json:"e"`
	Agent         string `json:"-"`
	FailureDomain string `json:"-"`
	WeightVersion string `json:"v,omitempty"`

	Slots        int           `json:"slots"`
	Running      int           `json:"run,omitempty"`        // sequences in the engine, by the last report
	Waiting      int           `json:"wait,omitempty"`       // requests queued at the agent, by the last report
	QueuedTokens int           `json:"queued,omitempty"`     // prefill tokens queued at the agent, by the last report
	ReportAge    time.Duration `json:"age"`                  // negative when there never was a report
	AheadTokens  int           `json:"ahead,omitempty"`      // of QueuedTokens, those that go before the request's class
	SlotTime     time.Duration `json:"slot_time,omitempty"`  // mean time that a sequence holds a slot, zero when unknown
	OwnInFlight  int           `json:"own,omitempty"`        // this entry's choices since that report
	OwnTokens    int           `json:"own_tokens,omitempty"` // and their prefill tokens, less what has been computed since

	Hop          time.Duration `json:"hop"`                  // one way from the entry
	EngineTokens int           `json:"engine,omitempty"`     // prefix tokens believed to be in the engine's cache
	StoreTokens  int           `json:"store,omitempty"`      // prefix tokens believed to be in a store
	FetchWait    time.Duration `json:"fetch_wait,omitempty"` // wait until the store's link is free
	FetchRate    float64       `json:"fetch_rate,omitempty"` // bytes per second that the link gives now, zero when it gives nothing
	Suspect      bool          `json:"suspect,omitempty"`
}

// Request is the prompt to route.
type Request struct {
	Customer        string
	Conversation    string
	Priority        string
	PromptTokens    int
	MaxTokens       int
	PrefillRate     float64 // tokens per second of one endpoint of the model
	DecodeMs        float64 // per token
	KVBytesPerToken int64
	Sticky          uint64 // hash of customer and conversation
}

// Choice is the endpoint chosen.
type Choice struct {
	Index    int           // into the candidates, -1 when there is none
	Estimate time.Duration // of the time to first token
	Fetch    bool          // import the prefix from the store
}

// Policy chooses an endpoint. Implementations are pure: they use only their
// arguments, keep no state, and don't allocate.
type Policy interface {
	Choose(r *Request, cs []Candidate, rng *rand.Rand) Choice
}
