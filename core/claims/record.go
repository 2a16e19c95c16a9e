// Package claims holds the decisions behind at-most-once execution: the state of
// one claim partition, its keeper, the executor's attempt and the rules for
// keys; docs/design.md, section 7. It does no I/O, and times are passed in.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
)

// Hash identifies a key or a resource of one customer, or a body.
type Hash [sha256.Size]byte

// KeyHash returns the hash of an idempotency key of the customer.
func KeyHash(customer, key string) Hash { return digest("key", customer, key) }

// ResourceHash returns the hash of a resource that the customer reads.
func ResourceHash(customer, resource string) Hash { return digest("resource", customer, resource) }

// BodyHash returns the hash of all that must be equal in a repeat.
func BodyHash(service, method, path, contentType string, body []byte) Hash {
	return digest("body", service, method, path, contentType, string(body))
}

// digest hashes the parts with their lengths, so that no two lists collide.
func digest(parts ...string) Hash {
	h := sha256.New()
	for _, p := range parts {
		_ = binary.Write(h, binary.BigEndian, uint64(len(p))) // a hash never fails
		h.Write([]byte(p))
	}
	return Hash(h.Sum(nil))
}

// Kind tells the records of a claim stream apart.
type Kind int

// The kinds of records.
const (
	KindClaim Kind = iota + 1
	KindVoid
	KindRelease
	KindOutcome
	KindFloor
)

// Record is one record of a claim stream.
type Record struct {
	Kind     Kind
	Attempt  string  // all kinds but KindFloor
	Claim    Claim   // KindClaim
	Outcome  Outcome // KindOutcome
	Resource Hash    // KindFloor
	Version  uint64  // KindFloor
}

// Claim asks for the right to run a key once.
type Claim struct {
	Key         Hash
	Body        Hash
	Attempt     string
	Executor    string // ID of the agent that alone may dispatch the attempt
	Incarnation string // of the executor's process
	KeyTimeMs   int64  // Unix milliseconds
	ExpiresMs   int64  // Unix milliseconds; invalid when the log stamped it later
}

// Outcome is the final answer to a key.
type Outcome struct {
	Status          uint32 // HTTP status of the service
	Body            []byte
	ContentType     string
	BodyKept        bool // false when the body was too large to record
	ResourceVersion string
}

// Entry is one entry of the log: a group of records.
type Entry struct {
	Offset  int64
	TimeMs  int64 // the log's stamp, Unix milliseconds
	Records []Record
}

// Page is the answer to a read of the log.
type Page struct {
	First   int64 // offset of the first entry that the log still has
	Next    int64 // offset that the next append gets
	Entries []Entry
}
