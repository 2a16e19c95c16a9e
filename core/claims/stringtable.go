package claims

import (
	"encoding/binary"
	"strings"

	"github.com/google/uuid"
)

// stringTable interns strings with reference counts, since many claims have the same
// executor and incarnation. A string without references is removed.
type stringTable struct {
	indexes     map[string]uint32
	entries     []stringEntry
	freeIndexes []uint32
}

type stringEntry struct {
	text string
	refs int
}

func newStringTable() stringTable { return stringTable{indexes: map[string]uint32{}} }

// intern adds a reference to the string and returns its index.
func (n *stringTable) intern(text string) uint32 {
	i, ok := n.indexes[text]
	if !ok {
		if last := len(n.freeIndexes) - 1; last >= 0 {
			i, n.freeIndexes = n.freeIndexes[last], n.freeIndexes[:last]
		} else {
			i = uint32(len(n.entries))
			n.entries = append(n.entries, stringEntry{})
		}
		text = strings.Clone(text) // text may share the memory of a larger string
		n.entries[i].text, n.indexes[text] = text, i
	}
	n.entries[i].refs++
	return i
}

// release removes a reference to the string at the index.
func (n *stringTable) release(i uint32) {
	e := &n.entries[i]
	if e.refs--; e.refs == 0 {
		delete(n.indexes, e.text)
		*e = stringEntry{}
		n.freeIndexes = append(n.freeIndexes, i)
	}
}

// attemptID is the compact form of an attempt's ID: the bytes of a UUID, or
// zeroPrefixBytes zeros followed by the stringTable index of an ID that is not a
// canonical UUID.
type attemptID [16]byte

const zeroPrefixBytes = 12

func (a attemptID) isInterned() bool {
	return [zeroPrefixBytes]byte(a[:zeroPrefixBytes]) == [zeroPrefixBytes]byte{}
}

func (a attemptID) stringIndex() uint32 { return binary.BigEndian.Uint32(a[zeroPrefixBytes:]) }

func internedAttemptID(index uint32) (a attemptID) {
	binary.BigEndian.PutUint32(a[zeroPrefixBytes:], index)
	return a
}

// parseUUIDAttempt returns the attemptID of a UUID in canonical form. Other spellings
// of the UUID are different IDs, as they are in the log.
func parseUUIDAttempt(text string) (attemptID, bool) {
	u, err := uuid.Parse(text)
	a := attemptID(u)
	return a, err == nil && len(text) == keyLength && text == strings.ToLower(text) && !a.isInterned()
}

// findAttempt returns the compact form of an ID, or false if the ID is neither a
// canonical UUID nor interned.
func (n *stringTable) findAttempt(text string) (attemptID, bool) {
	if a, ok := parseUUIDAttempt(text); ok {
		return a, true
	}
	i, ok := n.indexes[text]
	return internedAttemptID(i), ok
}

func (n *stringTable) internAttempt(text string) attemptID {
	if a, ok := parseUUIDAttempt(text); ok {
		return a
	}
	return internedAttemptID(n.intern(text))
}

func (n *stringTable) releaseAttempt(a attemptID) {
	if a.isInterned() {
		n.release(a.stringIndex())
	}
}

func (n *stringTable) attemptText(a attemptID) string {
	if a.isInterned() {
		return n.entries[a.stringIndex()].text
	}
	return uuid.UUID(a).String()
}
