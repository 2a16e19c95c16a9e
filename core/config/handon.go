package config

import (
	"bytes"
	"fmt"
	"time"
)

// Limits of the patches kept for peers. A process that is further behind gets
// the whole document.
const (
	maxHistoryRecords = 64
	maxHistoryBytes   = 256 << 10
)

// history holds consecutive accepted patches, oldest first.
type history struct {
	records []*Record
	bytes   int
}

func (h *history) add(r *Record) {
	if len(r.Document) > 0 || len(r.Patch) > maxHistoryBytes {
		*h = history{}
		return
	}
	h.records = append(h.records, r)
	h.bytes += len(r.Patch)
	for len(h.records) > maxHistoryRecords || h.bytes > maxHistoryBytes {
		h.bytes -= len(h.records[0].Patch)
		h.records = h.records[1:]
	}
}

// PatchesSince returns the records that lead from a version to the one in force,
// oldest first, or false when the whole document is needed. hash is the version's
// hash or its first bytes.
func (s *Stream) PatchesSince(version int64, hash []byte) ([]*Record, bool) {
	for i, r := range s.history.records {
		if r.BaseVersion == version && len(hash) >= shortHashBytes && bytes.HasPrefix(r.BaseHash, hash) {
			return s.history.records[i:], true
		}
	}
	return nil, false
}

// AdoptPatches applies a peer's patches to the version in force and adopts the
// result. through is the last offset that the result accounts for.
func (s *Stream) AdoptPatches(records []*Record, through int64) error {
	t := Stream{state: s.state}
	for _, r := range records {
		if r.BaseVersion < t.Version() {
			continue // learned from elsewhere in the meantime
		}
		st, err := t.successor(r, through)
		if err != nil {
			return fmt.Errorf("patch to version %d: %w", r.NewVersion, err)
		}
		t.state = st
	}
	if t.state == nil || t.state == s.state {
		return ErrOld
	}
	kept := s.history
	if err := s.Adopt(t.state); err != nil {
		return err
	}
	s.history = kept
	for _, r := range records {
		if n := len(s.history.records); n == 0 || s.history.records[n-1].NewVersion == r.BaseVersion {
			s.history.add(r)
		}
	}
	return nil
}

// maxUnsnapshotted is the number of accepted records after which a snapshot is
// written, so that a start without peers judges few records of a large document.
const maxUnsnapshotted = 500

// SnapshotDue reports whether a new snapshot is needed: half of the retention
// has passed since the last one, many versions were accepted since, or trims have
// left none that is usable.
func (s *Stream) SnapshotDue(now time.Time, retention time.Duration) bool {
	if s.state == nil || !s.AtEnd() {
		return false
	}
	if s.first > s.snapshotAs+1 || s.accepted >= maxUnsnapshotted {
		return true
	}
	last := s.snapshotMs
	if last == 0 {
		if s.firstMs == 0 { // nothing was read yet, since a peer handed over the state
			s.firstMs = now.UnixMilli()
		}
		last = s.firstMs
	}
	return now.UnixMilli()-last >= (retention / 2).Milliseconds()
}

// StartFrom adopts the newest usable one of the snapshots of the whole log, so that a
// process that starts needn't judge every record. first is the first offset that
// is kept.
func (s *Stream) StartFrom(first int64, snapshots []Entry) error {
	for i := len(snapshots) - 1; i >= 0; i-- {
		r := snapshots[i].Record
		if r.AsOf+1 < first || r.AsOf >= snapshots[i].Offset {
			continue
		}
		st, err := NewState(r.NewVersion, r.NewHash, r.AsOf, r.Document)
		if err != nil {
			return err
		}
		return s.Adopt(st)
	}
	return nil
}

// SnapshotRecord returns a snapshot of the version in force. When the stream is
// stuck in a gap, which means that no process could read what was trimmed, the
// snapshot declares the version to be the one before the first kept record; the
// caller has first compared versions with the other processes.
func (s *Stream) SnapshotRecord(publisher, publishID string) *Record {
	if s.state == nil {
		return nil
	}
	asOf := s.through
	if s.gap {
		asOf = s.first - 1
	}
	return &Record{PublishID: publishID, NewVersion: s.state.Version, NewHash: s.state.Hash[:], Document: s.state.Text,
		Publisher: publisher, Snapshot: true, AsOf: asOf}
}
