package config

import (
	"bytes"
	"errors"
	"fmt"
)

// State is one version of the configuration. It is not changed once published.
type State struct {
	Version int64
	Hash    Hash
	// Through is the offset of the last record that the version accounts for:
	// every record up to it has been judged.
	Through int64
	Text    []byte // canonical document
	Doc     *Document
}

// Record is one record of the configuration stream: a new version as a patch or
// as a whole document, or a snapshot of the version in force.
type Record struct {
	PublishID   string
	BaseVersion int64
	BaseHash    []byte
	NewVersion  int64
	NewHash     []byte
	Patch       []byte // JSON merge patch (RFC 7386)
	Document    []byte // whole document in place of a patch
	Publisher   string
	Snapshot    bool
	AsOf        int64 // snapshots: last offset that the version accounts for
}

// Entry is a record at its place in the log.
type Entry struct {
	Offset int64
	TimeMs int64 // when the log took it, Unix milliseconds
	Record *Record
}

// Reasons for which a record is not accepted.
var (
	ErrLost       = errors.New("another record came first")
	ErrMalformed  = errors.New("the record is malformed")
	ErrInvalid    = errors.New("the resulting document is invalid")
	ErrPartitions = errors.New("claims.partitions can't change, since claims are assigned by it")
	ErrUnchanged  = errors.New("the document is already in force")
	ErrGap        = errors.New("earlier records are no longer readable")
	ErrOld        = errors.New("the version isn't newer")
	ErrConflict   = errors.New("another document has the same version")
)

// Outcome is the judgement of one record. Err is nil when it was accepted.
type Outcome struct {
	Entry     Entry
	Err       error
	InForce   int64  // version in force after the record
	Publisher string // who published the version in force, when known
}

// Stream orders the records of the configuration stream. It is a state machine
// without I/O and isn't safe for concurrent use.
//
// Records are judged in log order without gaps. When the log was trimmed past
// the position, records are only judged again after a usable snapshot or a
// peer's state has bridged the gap; until then the version stays in force.
type Stream struct {
	state     *State
	through   int64 // last offset judged, -1 for none
	next      int64 // next offset to read
	gap       bool
	publisher string

	first      int64 // first offset that the log still kept at the last read
	firstMs    int64 // time of the first record seen at or after first, 0 for none
	end        int64 // next offset of the log at the last read
	everRead   bool
	snapshotMs int64 // time of the newest snapshot seen, 0 for none
	snapshotAs int64
	accepted   int // records accepted since the newest snapshot seen

	history history // accepted patches that lead to the version in force
}

// NewStream returns a stream that knows no version and has read nothing.
func NewStream() *Stream { return &Stream{through: -1, snapshotAs: -1} }

// State returns the version in force, nil before the first.
func (s *Stream) State() *State { return s.state }

// Version returns the number of the version in force, 0 before the first.
func (s *Stream) Version() int64 {
	if s.state == nil {
		return 0
	}
	return s.state.Version
}

// Next returns the offset to read from.
func (s *Stream) Next() int64 { return s.next }

// Through returns the last offset judged, -1 for none.
func (s *Stream) Through() int64 { return s.through }

// AtEnd reports whether every record up to the end of the last read is judged.
func (s *Stream) AtEnd() bool { return s.everRead && !s.gap && s.next >= s.end }

// Gap reports whether records that may have changed the version can no longer
// be read.
func (s *Stream) Gap() bool { return s.gap }

// Stuck reports whether the log was read to its end and no snapshot in it
// bridges the gap.
func (s *Stream) Stuck() bool { return s.everRead && s.gap && s.next >= s.end }

// Page takes one read of the log: the first offset that is kept, the offset of
// the next append, and the records from Next on. It returns the outcome of each
// record that it judged. When a snapshot bridges a gap, the rest of the page is
// left for the next read, which begins after the snapshot's offset.
func (s *Stream) Page(first, end int64, entries []Entry) []Outcome {
	s.first, s.end, s.everRead = first, end, true
	if first > s.through+1 && !s.gap {
		s.gap = true
	}
	if s.gap && s.next < first {
		s.next = first
	}
	var outcomes []Outcome
	for _, e := range entries {
		if e.Offset != s.next {
			if e.Offset < s.next {
				continue
			}
			break // a hole in the page; read again
		}
		if s.firstMs == 0 || e.Offset <= first {
			s.firstMs = e.TimeMs
		}
		o, moved := s.record(e)
		outcomes = append(outcomes, o)
		if moved {
			break
		}
	}
	return outcomes
}

// record judges one record. It returns true when the position went back to just
// after a snapshot's offset.
func (s *Stream) record(e Entry) (Outcome, bool) {
	s.next = e.Offset + 1
	var err error
	moved := false
	switch r := e.Record; {
	case r == nil:
		err = ErrMalformed
	case r.Snapshot:
		moved, err = s.snapshot(e)
	case s.gap:
		err = ErrGap
	default:
		err = s.accept(e)
	}
	if !s.gap && !moved {
		s.advance(e.Offset)
	}
	return Outcome{Entry: e, Err: err, InForce: s.Version(), Publisher: s.publisher}, moved
}

// advance marks the records up to the offset as judged.
func (s *Stream) advance(through int64) {
	s.through = max(s.through, through)
	if s.state != nil && s.state.Through < s.through {
		c := *s.state
		c.Through = s.through
		s.state = &c
	}
}

// snapshot takes a snapshot record. It counts only when every record after its
// offset is still readable, so that a delayed snapshot of an old version can't
// hide a newer one.
func (s *Stream) snapshot(e Entry) (bool, error) {
	r := e.Record
	if r.AsOf >= e.Offset {
		return false, ErrMalformed
	}
	if e.TimeMs >= s.snapshotMs && r.AsOf >= s.snapshotAs {
		s.snapshotMs, s.snapshotAs, s.accepted = e.TimeMs, r.AsOf, 0
	}
	if !s.gap {
		return false, nil
	}
	if r.AsOf+1 < s.first {
		return false, fmt.Errorf("%w: records after offset %d", ErrGap, r.AsOf)
	}
	st, err := NewState(r.NewVersion, r.NewHash, r.AsOf, r.Document)
	if err != nil {
		return false, err
	}
	if err := s.Adopt(st); err != nil && !errors.Is(err, ErrOld) {
		return false, err
	}
	return !s.gap, nil
}

// accept judges a record against the version in force at its place in the log.
func (s *Stream) accept(e Entry) error {
	st, err := s.successor(e.Record, e.Offset)
	if err != nil {
		return err
	}
	s.history.add(e.Record)
	s.accepted++
	s.state, s.publisher = st, e.Record.Publisher
	return nil
}

// successor returns the version that the record makes of the one in force.
func (s *Stream) successor(r *Record, offset int64) (*State, error) {
	var base Hash
	var text []byte
	if s.state != nil {
		base, text = s.state.Hash, s.state.Text
	}
	if r.BaseVersion != s.Version() || r.NewVersion != r.BaseVersion+1 || (s.state != nil && !bytes.Equal(r.BaseHash, base[:])) {
		return nil, fmt.Errorf("%w: made from version %d, version %d was in force", ErrLost, r.BaseVersion, s.Version())
	}
	var err error
	switch {
	case len(r.Document) > 0:
		text, err = Canonical(r.Document)
	case s.state == nil:
		err = errors.New("a patch without a base")
	default:
		text, err = Merge(text, r.Patch)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	st, err := canonicalState(r.NewVersion, r.NewHash, offset, text)
	if err != nil {
		return nil, err
	}
	if s.state != nil && st.Doc.Claims.Partitions != s.state.Doc.Claims.Partitions {
		return nil, ErrPartitions
	}
	if s.state != nil && st.Hash == s.state.Hash {
		return nil, ErrUnchanged
	}
	return st, nil
}

// NewState returns the version after checking the document and its hash.
func NewState(version int64, hash []byte, through int64, document []byte) (*State, error) {
	text, err := Canonical(document)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return canonicalState(version, hash, through, text)
}

func canonicalState(version int64, hash []byte, through int64, text []byte) (*State, error) {
	h := HashOf(text)
	if !bytes.Equal(h[:], hash) {
		return nil, fmt.Errorf("%w: the document's hash is %s, not %x", ErrMalformed, h, hash)
	}
	d, err := Decode(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return &State{Version: version, Hash: h, Through: through, Text: text, Doc: d}, nil
}

// Adopt takes a checked state from a peer or a snapshot. A state of a lower
// version is never put in force. A state of the version in force only moves the
// position forward.
func (s *Stream) Adopt(st *State) error {
	v := s.Version()
	switch {
	case st.Version == v && s.state != nil && st.Hash != s.state.Hash:
		return fmt.Errorf("%w %d", ErrConflict, v)
	case st.Version < v:
		return ErrOld
	case st.Version > v:
		if s.state != nil && st.Doc.Claims.Partitions != s.state.Doc.Claims.Partitions {
			return ErrPartitions
		}
		s.state, s.through, s.publisher, s.history = st, st.Through, "", history{}
	case st.Through > s.through:
		s.advance(st.Through)
	default:
		return ErrOld
	}
	s.gap = s.everRead && s.through+1 < s.first
	if s.gap {
		s.next = s.first
	} else {
		s.next = s.through + 1
	}
	return nil
}

// Publisher returns who published the version in force, empty when this stream
// didn't read its record.
func (s *Stream) Publisher() string { return s.publisher }
