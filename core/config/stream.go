package config

import (
	"bytes"
	"errors"
	"fmt"
)

// State is one version of the configuration. It is immutable.
type State struct {
	Version int64
	Hash    Hash
	// AppliedOffset is the offset of the last log record that the state reflects: every
	// record up to it was either accepted or rejected.
	AppliedOffset int64
	Text          []byte // canonical document
	Doc           *Document
}

// Record is one record of the configuration log: a new version, as a patch or as a
// whole document, or a snapshot of the current version.
type Record struct {
	PublishID   string
	BaseVersion int64
	BaseHash    []byte
	NewVersion  int64
	NewHash     []byte
	Patch       []byte // JSON merge patch (RFC 7386)
	Document    []byte // whole document instead of a patch
	Publisher   string
	Snapshot    bool
	AsOfOffset  int64 // set for snapshots: offset of the last record that the version reflects
}

// Entry is a record with its position in the log.
type Entry struct {
	Offset int64
	TimeMs int64 // when the log appended the record, Unix milliseconds
	Record *Record
}

// The reasons to reject a record or a state.
var (
	ErrSuperseded = errors.New("another record precedes it in the log")
	ErrMalformed  = errors.New("the record is malformed")
	ErrInvalid    = errors.New("the resulting document is invalid")
	ErrPartitions = errors.New("claims.partitions can't change, since claims are assigned to partitions by it")
	ErrUnchanged  = errors.New("the document is the same as the current one")
	ErrGap        = errors.New("earlier records are no longer readable")
	ErrNotNewer   = errors.New("the version is not newer than the current one")
	ErrConflict   = errors.New("another document has the same version")
)

// RecordResult is the result of applying one record.
type RecordResult struct {
	Entry          Entry
	Err            error  // why the record was rejected, nil if it was accepted
	CurrentVersion int64  // current version after the record
	Publisher      string // publisher of the current version, if known
}

// Stream applies the records of the configuration log. It is a state machine without
// I/O and is not safe for concurrent use.
//
// Records are applied in log order without gaps. If the log trims records before
// they were read, the stream rejects further records and the current version stays,
// until a usable snapshot or a peer's state bridges the gap.
type Stream struct {
	state         *State
	appliedOffset int64 // offset of the last record that state reflects, -1 for none
	next          int64 // next offset to read
	hasGap        bool
	publisher     string

	firstRetained         int64 // first offset that the log retained at the last read
	firstRetainedMs       int64 // time of the first record read at or after firstRetained, 0 for none
	endOffset             int64 // offset of the next append at the last read
	pageRead              bool
	snapshotMs            int64 // time of the newest snapshot read, 0 for none
	snapshotOffset        int64 // AsOfOffset of that snapshot, -1 for none
	acceptedSinceSnapshot int   // records accepted since the newest snapshot was read

	history patchHistory // accepted patches that lead to the current version
}

// NewStream returns a stream without a version that has read nothing.
func NewStream() *Stream { return &Stream{appliedOffset: -1, snapshotOffset: -1} }

// State returns the current version, or nil if there is none yet.
func (s *Stream) State() *State { return s.state }

// Version returns the number of the current version, or 0 if there is none yet.
func (s *Stream) Version() int64 {
	if s.state == nil {
		return 0
	}
	return s.state.Version
}

// NextOffset returns the offset to read from.
func (s *Stream) NextOffset() int64 { return s.next }

// AppliedOffset returns the offset of the last record that the state reflects, or -1 if
// there is none.
func (s *Stream) AppliedOffset() int64 { return s.appliedOffset }

// AtEnd reports whether every record up to the end of the log at the last read was
// applied.
func (s *Stream) AtEnd() bool { return s.pageRead && !s.hasGap && s.next >= s.endOffset }

// HasGap reports whether the log has trimmed records that may have changed the version
// before this stream read them.
func (s *Stream) HasGap() bool { return s.hasGap }

// Stuck reports whether the log was read to its end and the stream still has a gap.
func (s *Stream) Stuck() bool { return s.pageRead && s.hasGap && s.next >= s.endOffset }

// ApplyPage applies the result of one read of the log: the first offset that the log
// retains, the offset of the next append, and the records from NextOffset on. It returns
// the result of each record that it processed. When a snapshot bridges a gap, the
// rest of the page is left for the next read, which starts after the snapshot's
// AsOfOffset.
func (s *Stream) ApplyPage(first, end int64, entries []Entry) []RecordResult {
	s.firstRetained, s.endOffset, s.pageRead = first, end, true
	if first > s.appliedOffset+1 && !s.hasGap {
		s.hasGap = true
	}
	if s.hasGap && s.next < first {
		s.next = first
	}
	var results []RecordResult
	for _, e := range entries {
		if e.Offset != s.next {
			if e.Offset < s.next {
				continue
			}
			break // records are missing; the next read starts at s.next
		}
		if s.firstRetainedMs == 0 || e.Offset <= first {
			s.firstRetainedMs = e.TimeMs
		}
		result, bridged := s.applyRecord(e)
		results = append(results, result)
		if bridged {
			break
		}
	}
	return results
}

// applyRecord accepts or rejects one record. It returns true if a snapshot bridged the gap
// and moved the read position to just after the snapshot's AsOfOffset.
func (s *Stream) applyRecord(e Entry) (RecordResult, bool) {
	s.next = e.Offset + 1
	var err error
	bridged := false
	switch r := e.Record; {
	case r == nil:
		err = ErrMalformed
	case r.Snapshot:
		bridged, err = s.applySnapshot(e)
	case s.hasGap:
		err = ErrGap
	default:
		err = s.acceptRecord(e)
	}
	if !s.hasGap && !bridged {
		s.advanceTo(e.Offset)
	}
	return RecordResult{Entry: e, Err: err, CurrentVersion: s.Version(), Publisher: s.publisher}, bridged
}

// advanceTo marks the records up to the offset as applied.
func (s *Stream) advanceTo(offset int64) {
	s.appliedOffset = max(s.appliedOffset, offset)
	if s.state != nil && s.state.AppliedOffset < s.appliedOffset {
		c := *s.state
		c.AppliedOffset = s.appliedOffset
		s.state = &c
	}
}

// applySnapshot applies a snapshot record. A snapshot bridges a gap only if the log
// retains every record after the snapshot's AsOfOffset, so that a delayed snapshot of an
// old version can't hide a newer version.
func (s *Stream) applySnapshot(e Entry) (bool, error) {
	r := e.Record
	if r.AsOfOffset >= e.Offset {
		return false, ErrMalformed
	}
	if e.TimeMs >= s.snapshotMs && r.AsOfOffset >= s.snapshotOffset {
		s.snapshotMs, s.snapshotOffset, s.acceptedSinceSnapshot = e.TimeMs, r.AsOfOffset, 0
	}
	if !s.hasGap {
		return false, nil
	}
	if r.AsOfOffset+1 < s.firstRetained {
		return false, fmt.Errorf("%w: records after offset %d are missing", ErrGap, r.AsOfOffset)
	}
	st, err := NewState(r.NewVersion, r.NewHash, r.AsOfOffset, r.Document)
	if err != nil {
		return false, err
	}
	if err := s.Adopt(st); err != nil && !errors.Is(err, ErrNotNewer) {
		return false, err
	}
	return !s.hasGap, nil
}

// acceptRecord checks a record against the current version and adopts the new version.
func (s *Stream) acceptRecord(e Entry) error {
	st, err := s.nextState(e.Record, e.Offset)
	if err != nil {
		return err
	}
	s.history.add(e.Record)
	s.acceptedSinceSnapshot++
	s.state, s.publisher = st, e.Record.Publisher
	return nil
}

// nextState returns the version that results from applying the record to the current one.
func (s *Stream) nextState(r *Record, offset int64) (*State, error) {
	var base Hash
	var text []byte
	if s.state != nil {
		base, text = s.state.Hash, s.state.Text
	}
	if r.BaseVersion != s.Version() || r.NewVersion != r.BaseVersion+1 || (s.state != nil && !bytes.Equal(r.BaseHash, base[:])) {
		return nil, fmt.Errorf("%w: made from version %d, version %d was in force", ErrSuperseded, r.BaseVersion, s.Version())
	}
	var err error
	switch {
	case len(r.Document) > 0:
		text, err = Canonical(r.Document)
	case s.state == nil:
		err = errors.New("the record is a patch, but there is no version to apply it to")
	default:
		text, err = Merge(text, r.Patch)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	st, err := newCanonicalState(r.NewVersion, r.NewHash, offset, text)
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

// NewState returns the version after validating the document and its hash.
func NewState(version int64, hash []byte, appliedOffset int64, document []byte) (*State, error) {
	text, err := Canonical(document)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return newCanonicalState(version, hash, appliedOffset, text)
}

func newCanonicalState(version int64, hash []byte, appliedOffset int64, text []byte) (*State, error) {
	h := HashOf(text)
	if !bytes.Equal(h[:], hash) {
		return nil, fmt.Errorf("%w: the document's hash is %s, but the record states %x", ErrMalformed, h, hash)
	}
	d, err := Decode(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return &State{Version: version, Hash: h, AppliedOffset: appliedOffset, Text: text, Doc: d}, nil
}

// Adopt replaces the current version by a validated state from a peer or a snapshot.
// It rejects a lower version. A state of the current version only advances the
// offset up to which records were applied.
func (s *Stream) Adopt(st *State) error {
	v := s.Version()
	switch {
	case st.Version == v && s.state != nil && st.Hash != s.state.Hash:
		return fmt.Errorf("%w %d", ErrConflict, v)
	case st.Version < v:
		return ErrNotNewer
	case st.Version > v:
		if s.state != nil && st.Doc.Claims.Partitions != s.state.Doc.Claims.Partitions {
			return ErrPartitions
		}
		s.state, s.appliedOffset, s.publisher, s.history = st, st.AppliedOffset, "", patchHistory{}
	case st.AppliedOffset > s.appliedOffset:
		s.advanceTo(st.AppliedOffset)
	default:
		return ErrNotNewer
	}
	s.hasGap = s.pageRead && s.appliedOffset+1 < s.firstRetained
	if s.hasGap {
		s.next = s.firstRetained
	} else {
		s.next = s.appliedOffset + 1
	}
	return nil
}

// Publisher returns the publisher of the current version, or "" if this stream did
// not read its record.
func (s *Stream) Publisher() string { return s.publisher }
