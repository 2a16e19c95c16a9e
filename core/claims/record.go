// Package claims implements the state machines of at-most-once execution: the state
// of a claim partition, the Keeper that serves it, the executor's Attempt and
// the rules for idempotency keys; see docs/design.md, section 7. It does no I/O, and
// the caller passes in the time.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
)

// Hash is the SHA-256 of a customer's key, of a customer's resource or of a request
// body.
type Hash [sha256.Size]byte

// KeyHash returns the hash of the customer's idempotency key.
func KeyHash(customer, key string) Hash { return hashParts("key", customer, key) }

// ResourceHash returns the hash of a customer's resource. The same resource has another
// hash for each customer.
func ResourceHash(customer, resource string) Hash { return hashParts("resource", customer, resource) }

// BodyHash returns the hash of all parts of a request that must be equal when it is
// repeated with the same key.
func BodyHash(service, method, path, contentType string, body []byte) Hash {
	return hashParts("body", service, method, path, contentType, string(body))
}

// hashParts hashes the parts, each prefixed with its length, so that different lists
// of parts never have the same input to the hash.
func hashParts(parts ...string) Hash {
	h := sha256.New()
	for _, p := range parts {
		_ = binary.Write(h, binary.BigEndian, uint64(len(p))) // hash.Hash.Write never returns an error
		h.Write([]byte(p))
	}
	return Hash(h.Sum(nil))
}

// RecordKind is the type of a record in a claim partition's log.
type RecordKind int

// The kinds of records.
const (
	KindClaim   RecordKind = iota + 1 // an attempt asks to hold a key
	KindVoid                          // an attempt's claim must not become valid
	KindRelease                       // an attempt was not dispatched; frees its key
	KindOutcome                       // the result of an attempt
	KindFloor                         // the lowest version of a resource that may be returned
)

// Record is one record in a claim partition's log.
type Record struct {
	Kind     RecordKind
	Attempt  string  // set for all kinds except KindFloor
	Claim    Claim   // set for KindClaim
	Outcome  Outcome // set for KindOutcome
	Resource Hash    // set for KindFloor
	Version  uint64  // set for KindFloor
}

// Claim is an attempt's request for the exclusive right to run a key.
type Claim struct {
	Key         Hash
	Body        Hash
	Attempt     string
	Executor    string // ID of the only agent that may dispatch the attempt
	Incarnation string // incarnation of the executor's process
	KeyTimeMs   int64  // timestamp of the key, Unix milliseconds
	ExpiresMs   int64  // Unix milliseconds; the claim is invalid if the log appended it later
}

// Outcome is the recorded result of a request.
type Outcome struct {
	Status          uint32 // HTTP status that the service returned
	Body            []byte
	ContentType     string
	BodyKept        bool // false when the body was too large to record
	ResourceVersion string
}

// Entry is one log entry, which holds a group of records.
type Entry struct {
	Offset  int64
	TimeMs  int64 // when the log appended the entry, Unix milliseconds
	Records []Record
}

// Page is the result of a read of the log.
type Page struct {
	FirstOffset int64 // offset of the first entry that the log retains
	NextOffset  int64 // offset of the next entry to be appended
	Entries     []Entry
}
