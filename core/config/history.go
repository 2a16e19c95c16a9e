package config

import (
	"bytes"
	"fmt"
	"time"
)

// Limits of the patches that are retained for peers. A process that is further
// behind gets the whole document.
const (
	maxHistoryRecords = 64
	maxHistoryBytes   = 256 << 10
)

// patchHistory holds consecutive accepted patches in ascending order of version.
type patchHistory struct {
	records []*Record
	bytes   int
}

func (h *patchHistory) add(r *Record) {
	if len(r.Document) > 0 || len(r.Patch) > maxHistoryBytes {
		*h = patchHistory{}
		return
	}
	h.records = append(h.records, r)
	h.bytes += len(r.Patch)
	for len(h.records) > maxHistoryRecords || h.bytes > maxHistoryBytes {
		h.bytes -= len(h.records[0].Patch)
		h.records = h.records[1:]
	}
}

// PatchesSince returns the records that lead from the given version to the current
// one, in ascending order, or false if the whole document is needed. hash is the
// version's hash or a prefix of at least 8 bytes.
func (s *Stream) PatchesSince(version int64, hash []byte) ([]*Record, bool) {
	for i, r := range s.history.records {
		if r.BaseVersion == version && len(hash) >= shortHashBytes && bytes.HasPrefix(r.BaseHash, hash) {
			return s.history.records[i:], true
		}
	}
	return nil, false
}

// AdoptPatches applies a peer's patches to the current version and adopts the
// result. appliedOffset is the offset of the last log record that the result reflects.
func (s *Stream) AdoptPatches(records []*Record, appliedOffset int64) error {
	t := Stream{state: s.state}
	for _, r := range records {
		if r.BaseVersion < t.Version() {
			continue // already applied
		}
		st, err := t.nextState(r, appliedOffset)
		if err != nil {
			return fmt.Errorf("patch to version %d: %w", r.NewVersion, err)
		}
		t.state = st
	}
	if t.state == nil || t.state == s.state {
		return ErrNotNewer
	}
	previous := s.history
	if err := s.Adopt(t.state); err != nil {
		return err
	}
	s.history = previous
	for _, r := range records {
		if n := len(s.history.records); n == 0 || s.history.records[n-1].NewVersion == r.BaseVersion {
			s.history.add(r)
		}
	}
	return nil
}

// maxRecordsSinceSnapshot is the number of accepted records after which a new
// snapshot is due, so that a process that starts without peers applies few patches
// to a large document.
const maxRecordsSinceSnapshot = 500

// SnapshotDue reports whether a new snapshot is needed: half of the log's retention
// has passed since the last one, many versions were accepted since then, or the log
// was trimmed so that no usable snapshot is left.
func (s *Stream) SnapshotDue(now time.Time, retention time.Duration) bool {
	if s.state == nil || !s.AtEnd() {
		return false
	}
	if s.firstRetained > s.snapshotOffset+1 || s.acceptedSinceSnapshot >= maxRecordsSinceSnapshot {
		return true
	}
	last := s.snapshotMs
	if last == 0 {
		if s.firstRetainedMs == 0 { // no record was read yet; the state came from a peer
			s.firstRetainedMs = now.UnixMilli()
		}
		last = s.firstRetainedMs
	}
	return now.UnixMilli()-last >= (retention / 2).Milliseconds()
}

// AdoptSnapshot adopts the newest usable snapshot, if there is one, so that a starting
// process need not apply every record. A snapshot is usable if the log retains every
// record after its AsOfOffset. snapshots are all snapshots in the log in ascending
// order, and first is the first offset that the log retains.
func (s *Stream) AdoptSnapshot(first int64, snapshots []Entry) error {
	for i := len(snapshots) - 1; i >= 0; i-- {
		r := snapshots[i].Record
		if r.AsOfOffset+1 < first || r.AsOfOffset >= snapshots[i].Offset {
			continue
		}
		st, err := NewState(r.NewVersion, r.NewHash, r.AsOfOffset, r.Document)
		if err != nil {
			return err
		}
		return s.Adopt(st)
	}
	return nil
}

// SnapshotRecord returns a snapshot of the current version, or nil if there is none.
// If the stream has a gap, the snapshot declares that the current version is the one
// before the first retained record. The caller must first compare versions with the
// other processes and make sure that none of them could read the trimmed records.
func (s *Stream) SnapshotRecord(publisher, publishID string) *Record {
	if s.state == nil {
		return nil
	}
	asOf := s.appliedOffset
	if s.hasGap {
		asOf = s.firstRetained - 1
	}
	return &Record{PublishID: publishID, NewVersion: s.state.Version, NewHash: s.state.Hash[:], Document: s.state.Text,
		Publisher: publisher, Snapshot: true, AsOfOffset: asOf}
}
