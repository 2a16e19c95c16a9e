// Package gateway forwards callers' requests unchanged to endpoints that it finds
// in the platform's log, and brings weight versions to them. The decisions are in
// core/forward; what the platform calls things is behind the interfaces here.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/galenaweir/galenaweir/core/forward"
)

// ErrTrimmed means that the records asked for are no longer kept; start again
// from the newest record of each key.
var ErrTrimmed = errors.New("the log no longer has these records")

// Call is what a caller's headers say.
type Call struct {
	ID        string
	Key       string
	HasKey    bool
	Deadline  time.Duration // time that the caller waits, 0 when not given
	Prompt    *forward.Prompt
	LastEvent string // resume a stream after this event
}

// Outgoing is what an endpoint is told beside the caller's own headers.
type Outgoing struct {
	Endpoint  string // the only endpoint that may run the request
	Customer  string
	Remaining time.Duration
	Prompted  bool
	Priority  int
	Salt      string // cached prompts are found only under the same salt
	Version   int64  // the only weights that may answer, 0 for any
	LastEvent string
	Fetch     []string // for each part of the prompt the address that it is fetched from, "" for none; one for the whole prompt where the engine takes no list
	Save      []string // for each part of the prompt the address that it is saved to, "" for none
	UntilMs   int64    // on the stores' clock: a fetch ends by then
}

// Reply is what the headers of an endpoint's answer say.
type Reply struct {
	RequestID     string
	Signed        bool // a receipt is present
	NotRun        bool // the request has not run and won't
	OtherEndpoint bool // another endpoint has the address, or this one doesn't fit what the request expects
	WeightVersion int64
}

// Dialect translates headers.
type Dialect interface {
	Call(h http.Header) (Call, error)
	Outgoing(h http.Header, o Outgoing)
	Reply(status int, h http.Header) Reply
}

// Feed follows one keyed stream of records.
type Feed[T any] interface {
	// Newest returns the newest record of each key and the offset to read from.
	Newest(ctx context.Context) (records []T, next int64, err error)
	// Read returns the records from an offset on, after the wait when there is none.
	Read(ctx context.Context, from int64, wait time.Duration) (records []T, next int64, err error)
}

// Membership is the answer to a join.
type Membership struct {
	Generation int64 // rises with each change of the group
}

// Group is a group of processes kept by the platform's log.
type Group interface {
	Join(ctx context.Context, group, member string, generation int64, lease time.Duration) (Membership, error)
	Leave(ctx context.Context, group, member string) error
	Members(ctx context.Context, group string) ([]string, error)
}

// Stores speaks to the cache stores, which are named by their address.
type Stores interface {
	List(ctx context.Context, address string) (forward.StoreList, error)
	Events(ctx context.Context, address string, since int64, wait time.Duration) (forward.StoreEvents, error)
	// Free frees parts while the store has the incarnation and its clock is before untilMs.
	Free(ctx context.Context, address string, parts []forward.StoredPart, epoch, untilMs int64) error
}

// LoadOrder tells an endpoint to load a weight version.
type LoadOrder struct {
	Endpoint forward.Endpoint
	Model    string
	Version  int64
	Holder   string
	Fence    int64
	Seq      int64 // the order is void when the endpoint has accepted another number of orders
}

// Orders gives orders to endpoints.
type Orders interface {
	Report(ctx context.Context, e forward.Endpoint) (forward.EndpointReport, error)
	LoadVersion(ctx context.Context, o LoadOrder) (status int, err error)
}
