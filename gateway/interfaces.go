// Package gateway forwards callers' requests unchanged to endpoints that it discovers in
// the platform's log, and rolls out weight versions to them. The decisions are made in
// core/forward; the platform's protocols are behind the interfaces in this file.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/galenaweir/galenaweir/core/forward"
)

// ErrTrimmed is returned when the requested records have been deleted from the log.
// The reader has to restart from the newest record of each key.
var ErrTrimmed = errors.New("records have been trimmed from the log")

// RequestInfo holds the values of a caller's request headers.
type RequestInfo struct {
	ID          string
	APIKey      string
	HasAPIKey   bool
	Timeout     time.Duration // how long the caller waits, 0 if not set
	Prompt      *forward.Prompt
	LastEventID string // ID of the event after which the stream resumes
	Resumes     string // ID of the request that brought the first event of that stream, "" if not stated
}

// ForwardInfo holds the values that are added to the headers of a forwarded request.
type ForwardInfo struct {
	Endpoint        string // the only endpoint that may run the request
	Customer        string
	Remaining       time.Duration
	HasPrompt       bool
	Priority        int
	Salt            string // cache salt: cached prompts are shared only under the same salt
	WeightVersion   int64  // required weight version, 0 for any
	LastEventID     string
	FetchFrom       []string // store address to fetch each part of the prompt from, "" for none; a single address if the engine accepts no list
	SaveTo          []string // store address to save each part of the prompt to, "" for none
	FetchDeadlineMs int64    // deadline of fetches, on the stores' clock
}

// ResponseInfo holds the values of an endpoint's response headers.
type ResponseInfo struct {
	RequestID     string
	HasReceipt    bool // a receipt header is present
	NotRun        bool // the request has not run and will not run
	Misdirected   bool // the address belongs to another endpoint, or the endpoint does not meet the request's expectations
	WeightVersion int64
	Limit         NamedLimit
	Endpoint      string        // ID of the endpoint that responds, "" if not stated
	Leaving       bool          // the endpoint leaves
	WarmUp        time.Duration // how much longer the endpoint is warming up, 0 if not stated
	RetryAfter    time.Duration // the endpoint turned the request away and wants nothing from this process for so long, 0 if it states no time
	Unreadable    []string      // headers of which a value says nothing, as "NAME: VALUE"
	Unknown       []string      // headers that begin like those of the platform and aren't known
}

// NamedLimit is what a response says about the requests a second that the endpoint takes from all
// entries together.
type NamedLimit struct {
	Stated    bool // the response names a limit, readable or not
	Valid     bool // PerSecond could be read
	PerSecond float64
}

// HeaderCodec reads and writes the platform's HTTP headers.
type HeaderCodec interface {
	ParseRequest(h http.Header) (RequestInfo, error)
	WriteRequest(h http.Header, o ForwardInfo)
	ParseResponse(status int, h http.Header) ResponseInfo
}

// Batch is a set of records that was read from the log.
type Batch[T any] struct {
	Records []T
	Offsets []int64     // of the records, nil if not known
	Next    int64       // offset from which Read continues
	Partial bool        // the log held further records when it answered
	Era     forward.Era // era of the log that the records and Next belong to
}

// Feed reads a log of keyed records.
type Feed[T any] interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (Batch[T], error)
	// Read returns the records from an offset on. If there are none, it waits for up to
	// the given time for one.
	Read(ctx context.Context, from int64, wait time.Duration) (Batch[T], error)
}

// MemberList is the list of the members of a group.
type MemberList struct {
	Era     forward.Era
	Members []string
}

// NamingStore keeps in the log when weight versions were named, and until when none was.
type NamingStore interface {
	Save(ctx context.Context, n forward.StoredNaming) error
	SaveProofs(ctx context.Context, proofs []forward.NamingProof) error
	Load(ctx context.Context) (forward.NamingRecords, error)
}

// GroupClient manages membership of processes in groups that are stored in the platform's log.
type GroupClient interface {
	Join(ctx context.Context, group, member string, generation int64, lease time.Duration) (forward.Generation, error)
	Leave(ctx context.Context, group, member string) error
	Members(ctx context.Context, group string) (MemberList, error)
}

// StoreClient is a client of the cache stores, which are identified by their address.
type StoreClient interface {
	List(ctx context.Context, address string) (forward.StoreList, error)
	Events(ctx context.Context, address string, since int64, wait time.Duration) (forward.StoreEvents, error)
	// DeleteParts deletes parts, provided that the store still has the given epoch and its clock
	// is before untilMs.
	DeleteParts(ctx context.Context, address string, parts []forward.StoredPart, epoch, untilMs int64) error
	// CloseIdleConnections closes the connections on which events were read, except those in use.
	CloseIdleConnections()
}

// LoadOrder is an order to an endpoint to load a weight version.
type LoadOrder struct {
	Endpoint           forward.Endpoint
	Model              string
	Version            int64
	Owner              string
	FencingToken       int64
	ExpectedOrderCount int64 // number of orders accepted before; the endpoint rejects the order if its own count differs
}

// EndpointControl sends load orders to endpoints and reads their state. Both calls also return what
// the headers of the answer say.
type EndpointControl interface {
	ReadState(ctx context.Context, e forward.Endpoint) (forward.EndpointReport, ResponseInfo, error)
	SendLoadOrder(ctx context.Context, o LoadOrder) (status int, info ResponseInfo, err error)
}
