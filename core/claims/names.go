package claims

import (
	"encoding/binary"
	"strings"

	"github.com/google/uuid"
)

// names holds each string once and counts its uses, since many claims name the
// same executor and incarnation. A string without uses is dropped.
type names struct {
	byText map[string]uint32
	list   []name
	free   []uint32
}

type name struct {
	text string
	uses int
}

func newNames() names { return names{byText: map[string]uint32{}} }

// add counts one more use of the string.
func (n *names) add(text string) uint32 {
	i, ok := n.byText[text]
	if !ok {
		if last := len(n.free) - 1; last >= 0 {
			i, n.free = n.free[last], n.free[:last]
		} else {
			i = uint32(len(n.list))
			n.list = append(n.list, name{})
		}
		text = strings.Clone(text) // it may be a part of a larger string
		n.list[i].text, n.byText[text] = text, i
	}
	n.list[i].uses++
	return i
}

// drop ends one use of the string.
func (n *names) drop(i uint32) {
	e := &n.list[i]
	if e.uses--; e.uses == 0 {
		delete(n.byText, e.text)
		*e = name{}
		n.free = append(n.free, i)
	}
}

// attemptID is the short form of an attempt's ID: the bytes of a UUID in its usual
// form, or foreignBytes zeros and the number of another string in names.
type attemptID [16]byte

const foreignBytes = 12

func (a attemptID) foreign() bool {
	return [foreignBytes]byte(a[:foreignBytes]) == [foreignBytes]byte{}
}

func (a attemptID) number() uint32 { return binary.BigEndian.Uint32(a[foreignBytes:]) }

func foreignID(number uint32) (a attemptID) {
	binary.BigEndian.PutUint32(a[foreignBytes:], number)
	return a
}

// uuidOf returns the ID of a UUID in its usual form. Other spellings are other
// IDs, as in the log.
func uuidOf(text string) (attemptID, bool) {
	u, err := uuid.Parse(text)
	a := attemptID(u)
	return a, err == nil && len(text) == keyLength && text == strings.ToLower(text) && !a.foreign()
}

// findAttempt returns the short form of an ID, false when it is not in use.
func (n *names) findAttempt(text string) (attemptID, bool) {
	if a, ok := uuidOf(text); ok {
		return a, true
	}
	i, ok := n.byText[text]
	return foreignID(i), ok
}

func (n *names) addAttempt(text string) attemptID {
	if a, ok := uuidOf(text); ok {
		return a
	}
	return foreignID(n.add(text))
}

func (n *names) dropAttempt(a attemptID) {
	if a.foreign() {
		n.drop(a.number())
	}
}

func (n *names) attemptText(a attemptID) string {
	if a.foreign() {
		return n.list[a.number()].text
	}
	return uuid.UUID(a).String()
}
