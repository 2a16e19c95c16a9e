// Package protocol defines how an agent communicates with a model engine. Protocols
// are plug-ins of the family "protocol".
package protocol

import (
	"context"
	"errors"

	"github.com/galenaweir/galenaweir/core/prefix"
)

// Request describes one attempt to run on an engine.
type Request struct {
	AttemptID     string
	Model         string
	Prompt        string
	PriorOutput   string // output that an earlier attempt already generated
	MaxTokens     int    // limit for the whole output, including PriorOutput
	Priority      int    // higher values run first
	CacheSalt     string // separates the cache blocks of different customers
	WeightVersion string // the engine rejects the request if it has another version loaded; empty for any
	Sampling      []byte // JSON object of sampling parameters; nil for the engine's defaults
}

// EventKind is the type of an Event.
type EventKind int

// The kinds of stream events.
const (
	EventStarted EventKind = iota
	EventText
	EventEnded
	EventKeepAlive
)

// Event is one event of an engine's output stream.
type Event struct {
	Kind          EventKind
	AttemptID     string // attempt ID as returned by the engine
	Seq           uint64
	Text          string
	WeightVersion string
	FinishReason  string
	LengthBytes   uint64 // length of the attempt's whole text; set in EventEnded
	PromptTokens  int
	CachedTokens  int
	OutputTokens  int
}

// LoadReport is an engine's load report. It may lag behind the actual load.
type LoadReport struct {
	Running      int   `json:"running"`
	Waiting      int   `json:"waiting"`
	QueuedTokens int   `json:"queued_tokens"`
	CachedPieces int   `json:"cached_pieces"`
	AsOfMs       int64 `json:"as_of_ms"` // when the engine measured the load, Unix milliseconds
}

// EngineState is an engine's report on its model and weights.
type EngineState struct {
	Model         string `json:"model"`
	WeightVersion string `json:"weight_version"`
	Loading       bool   `json:"loading"`
	FencingToken  int64  `json:"fencing"` // highest fencing token that the engine accepted; 0 for none
}

// CacheEvent is one change of an engine's prefix cache. Event numbers are consecutive;
// a gap means that events were lost.
type CacheEvent struct {
	Number  uint64
	Block   prefix.Hash
	Evicted bool
}

// Order tells an engine to load a weight version.
type Order struct {
	FencingToken  int64
	WeightVersion string
}

// Errors into which every protocol translates its failures.
var (
	ErrRejected              = errors.New("engine rejected the request")
	ErrWeightVersionMismatch = errors.New("engine has a different weight version loaded")
	ErrNotFound              = errors.New("the engine does not know the request or block")
	ErrStaleFencingToken     = errors.New("engine has already accepted an equal or higher fencing token")
	ErrStreamTruncated       = errors.New("engine stream ended without an end frame")
	ErrUnreachable           = errors.New("cannot connect to the engine")
)

// Engine is a client of model engines; address is an engine's IP number and port.
// Generate and Resume call sink for each event in order, and return when the stream
// ends. They return ErrStreamTruncated if it ends early. Implementations are safe for
// concurrent use.
type Engine interface {
	Generate(ctx context.Context, address string, r *Request, sink func(Event) error) error
	Resume(ctx context.Context, address, attemptID string, fromSeq uint64, sink func(Event) error) error
	Cancel(ctx context.Context, address, attemptID string) error
	LoadReport(ctx context.Context, address string) (LoadReport, error)
	EngineState(ctx context.Context, address string) (EngineState, error)
	CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
	Export(ctx context.Context, address string, block prefix.Hash) (data []byte, weightVersion string, err error)
	Import(ctx context.Context, address string, block prefix.Hash, weightVersion string, data []byte) error
	SendOrder(ctx context.Context, address string, o Order) error
}
