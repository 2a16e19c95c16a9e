package config_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/config"
)

// document returns a valid document. Documents with different names differ.
func document(t require.TestingT, name string, partitions int) []byte {
	b, err := json.Marshal(config.Document{
		Deployment:     name,
		FailureDomains: map[string]config.FailureDomain{"a": {Region: "r"}},
		Priorities:     map[string]config.Priority{"standard": {DefaultDeadlineMs: 1000}},
		Claims:         config.Claims{Partitions: partitions, KeyWindowSeconds: 3600, GroupIntervalMs: 40, MaxAnswerBytes: 1024},
	})
	require.NoError(t, err)
	c, err := config.Canonical(b)
	require.NoError(t, err)
	return c
}

// record returns the record that an operator publishes to replace base by doc, as a
// whole document or as a patch.
func record(t require.TestingT, id string, base *config.State, doc []byte, whole bool) *config.Record {
	h := config.HashOf(doc)
	r := &config.Record{PublishID: id, Publisher: id, NewVersion: 1, NewHash: h[:], Document: doc}
	if base != nil {
		r.BaseVersion, r.BaseHash, r.NewVersion = base.Version, base.Hash[:], base.Version+1
		if !whole {
			p, err := config.Diff(base.Text, doc)
			require.NoError(t, err)
			r.Patch, r.Document = p, nil
		}
	}
	return r
}

// memLog is an in-memory log.
type memLog struct {
	first   int64
	entries []config.Entry
}

func (l *memLog) end() int64 { return l.first + int64(len(l.entries)) }

func (l *memLog) append(r *config.Record) int64 {
	l.entries = append(l.entries, config.Entry{Offset: l.end(), TimeMs: 1 + l.end(), Record: r})
	return l.end() - 1
}

func (l *memLog) trim(before int64) {
	if n := min(before-l.first, int64(len(l.entries))); n > 0 {
		l.entries, l.first = l.entries[n:], l.first+n
	}
}

// readPage passes one page of up to limit records to the stream.
func (l *memLog) readPage(s *config.Stream, limit int) []config.RecordResult {
	i := min(max(0, s.NextOffset()-l.first), int64(len(l.entries)))
	j := min(i+int64(limit), int64(len(l.entries)))
	return s.ApplyPage(l.first, l.end(), l.entries[i:j])
}

func (l *memLog) readAll(s *config.Stream) (results []config.RecordResult) {
	for {
		at, gap := s.NextOffset(), s.HasGap()
		results = append(results, l.readPage(s, 3)...)
		if s.NextOffset() == at && s.HasGap() == gap {
			return results
		}
	}
}

// TestCanonical guards against texts with the same content that differ in their
// canonical form, and against texts that are not one JSON object.
func TestCanonical(t *testing.T) {
	for _, c := range []struct{ name, in, want string }{
		{"key order and white space", "{ \"b\": 1.0, \"a\": {\"y\":2, \"x\":1e3} }", `{"a":{"x":1000,"y":2},"b":1}`},
		{"nulls", `{"a":null,"b":[{"c":null,"d":"<&>"}]}`, `{"b":[{"d":"<&>"}]}`},
		{"not an object", `[1]`, ""},
		{"two values", `{} {}`, ""},
		{"not JSON", `{`, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, err := config.Canonical([]byte(c.in))
			assert.Equal(t, c.want == "", err != nil)
			assert.Equal(t, c.want, string(b))
		})
	}
}

// TestRecordValidation guards against a reader that accepts a record that it must
// reject, or rejects a valid one.
func TestRecordValidation(t *testing.T) {
	d := func(name string) []byte { return document(t, name, 8) }
	base := config.NewStream()
	l := &memLog{}
	l.append(record(t, "first", nil, d("one"), true))
	l.readAll(base)
	st := base.State()
	require.NotNil(t, st)
	change := func(f func(r *config.Record)) *config.Record {
		r := record(t, "x", st, d("two"), false)
		f(r)
		return r
	}
	for _, c := range []struct {
		name string
		r    *config.Record
		want error
	}{
		{"patch", change(func(*config.Record) {}), nil},
		{"whole document", record(t, "x", st, d("two"), true), nil},
		{"older base", change(func(r *config.Record) { r.BaseVersion, r.NewVersion = 0, 1 }), config.ErrSuperseded},
		{"skipped version", change(func(r *config.Record) { r.NewVersion = 3 }), config.ErrSuperseded},
		{"other base document", change(func(r *config.Record) { r.BaseHash = make([]byte, 32) }), config.ErrSuperseded},
		{"wrong hash", change(func(r *config.Record) { r.NewHash = make([]byte, 32) }), config.ErrMalformed},
		{"not JSON", change(func(r *config.Record) { r.Patch = []byte("{") }), config.ErrMalformed},
		{"undecodable", nil, config.ErrMalformed},
		{"invalid", record(t, "x", st, d(""), false), config.ErrInvalid},
		{"claim partitions", record(t, "x", st, document(t, "two", 9), false), config.ErrPartitions},
		{"snapshot of later records", &config.Record{Snapshot: true, AsOfOffset: 1, NewVersion: 9}, config.ErrMalformed},
		{"no change", record(t, "x", st, d("one"), true), config.ErrUnchanged},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, l := config.NewStream(), &memLog{entries: append([]config.Entry(nil), l.entries...)}
			l.append(c.r)
			results := l.readAll(s)
			require.Len(t, results, 2)
			require.ErrorIs(t, results[1].Err, c.want)
			assert.Equal(t, c.want == nil, s.Version() == 2)
			assert.True(t, s.AtEnd())
			assert.Equal(t, s.AppliedOffset(), s.State().AppliedOffset)
		})
	}
}

// TestTrimmedLog guards against a delayed snapshot that hides a newer version, and
// against a stream that stays stuck although a usable snapshot or a peer's state is
// available.
func TestTrimmedLog(t *testing.T) {
	l, s := &memLog{}, config.NewStream()
	for i := range 4 {
		l.append(record(t, fmt.Sprint(i), s.State(), document(t, fmt.Sprint("v", i+1), 8), false))
		l.readAll(s)
	}
	old := config.NewStream()
	(&memLog{entries: l.entries[:2]}).readAll(old)
	delayed := old.SnapshotRecord("late", "late")
	fromPeer := config.NewStream()
	require.NoError(t, fromPeer.Adopt(s.State()))
	l.readAll(fromPeer)
	now := time.UnixMilli(1 << 40)
	assert.False(t, fromPeer.SnapshotDue(now, time.Hour), "a snapshot is due although no retention time has passed")
	assert.True(t, fromPeer.SnapshotDue(now.Add(time.Hour/2), time.Hour))
	l.trim(3)
	l.append(delayed) // its AsOfOffset is 1, but offset 2 is trimmed
	fresh := config.NewStream()
	l.readAll(fresh)
	assert.Zero(t, fresh.Version(), "a delayed snapshot was adopted")
	assert.True(t, fresh.Stuck())
	l.readAll(old)
	assert.EqualValues(t, 2, old.Version(), "records after a gap were accepted")
	assert.True(t, old.Stuck())
	assert.False(t, old.SnapshotDue(now, time.Hour), "a stuck stream must not write a snapshot on its own")

	require.NoError(t, old.Adopt(s.State()))
	l.readAll(old)
	assert.True(t, old.AtEnd() && old.Version() == 4, "a peer's state did not bridge the gap")

	l.readAll(s)
	assert.True(t, s.SnapshotDue(time.UnixMilli(6), time.Hour), "no usable snapshot is left")
	l.append(s.SnapshotRecord("s", "s"))
	l.readAll(s)
	assert.False(t, s.SnapshotDue(time.UnixMilli(6), time.Hour))
	assert.True(t, s.SnapshotDue(time.UnixMilli(6+30*60_000), time.Hour), "half of the retention has passed")
	l.append(record(t, "5", s.State(), document(t, "v5", 8), false))
	l.readAll(fresh)
	assert.True(t, fresh.AtEnd() && fresh.Version() == 5, "the snapshot was not adopted")

	start := config.NewStream()
	require.NoError(t, start.AdoptSnapshot(l.first, []config.Entry{{Offset: 9, Record: delayed}}))
	assert.Nil(t, start.State(), "a delayed snapshot was adopted at the start")
	require.NoError(t, start.AdoptSnapshot(l.first, []config.Entry{l.entries[len(l.entries)-2], {Offset: 9, Record: delayed}}))
	assert.EqualValues(t, 4, start.Version())
	l.readAll(start)
	assert.True(t, start.AtEnd() && start.Version() == 5, "the records after the snapshot were not read")

	stuck := config.NewStream()
	require.NoError(t, stuck.Adopt(s.State()))
	l.trim(l.end())
	l.append(nil)
	l.trim(l.end())
	l.readAll(stuck)
	require.True(t, stuck.Stuck())
	l.append(stuck.SnapshotRecord("reset", "reset"))
	l.readAll(stuck)
	assert.True(t, stuck.AtEnd(), "the snapshot of a stuck stream did not bridge the gap")
}

// TestPatchExchange guards against wrong patches between peers, a version that
// decreases, and a document that changes without a new version.
func TestPatchExchange(t *testing.T) {
	l, s, p := &memLog{}, config.NewStream(), config.NewStream()
	l.append(record(t, "0", nil, document(t, "v1", 8), true))
	l.readAll(s)
	l.readAll(p)
	first := p.State()
	for i := range 3 {
		l.append(record(t, fmt.Sprint(i+1), s.State(), document(t, fmt.Sprint("v", i+2), 8), false))
		l.readAll(s)
	}
	rs, ok := s.PatchesSince(1, first.Hash.Short())
	require.True(t, ok && len(rs) == 3)
	_, ok = s.PatchesSince(1, make([]byte, 8))
	assert.False(t, ok, "patches for a base with another hash")
	_, ok = s.PatchesSince(0, nil)
	assert.False(t, ok)
	require.Error(t, p.AdoptPatches(rs[1:], s.AppliedOffset()))
	assert.EqualValues(t, 1, p.Version())
	require.NoError(t, p.AdoptPatches(rs, s.AppliedOffset()))
	assert.Equal(t, s.State(), p.State())
	_, ok = p.PatchesSince(1, first.Hash.Short())
	assert.True(t, ok, "adopted patches are not available to other peers")
	require.ErrorIs(t, p.Adopt(first), config.ErrNotNewer)
	require.ErrorIs(t, p.AdoptPatches(rs, s.AppliedOffset()), config.ErrNotNewer)
	l.append(record(t, "w", s.State(), document(t, "v5", 8), true))
	l.readAll(s)
	_, ok = s.PatchesSince(3, nil)
	assert.False(t, ok, "patches across a record with a whole document")
	_, ok = s.PatchesSince(1, first.Hash.Short())
	assert.False(t, ok, "patches that don't lead to the current version")
	require.NoError(t, p.Adopt(s.State()))
	other := *s.State()
	other.Hash = config.Hash{}
	require.ErrorIs(t, p.Adopt(&other), config.ErrConflict)
	otherPartitions, err := config.NewState(9, hashOf(document(t, "x", 9)), 9, document(t, "x", 9))
	require.NoError(t, err)
	require.ErrorIs(t, p.Adopt(otherPartitions), config.ErrPartitions)
	assert.Equal(t, s.State(), p.State())
}

// TestSnapshotAfterManyVersions guards against a cold start that applies more records
// than the limit.
func TestSnapshotAfterManyVersions(t *testing.T) {
	l, s := &memLog{}, config.NewStream()
	for i := range 500 {
		assert.False(t, s.SnapshotDue(time.UnixMilli(1), time.Hour), "after %d versions", i)
		l.append(record(t, fmt.Sprint(i), s.State(), document(t, fmt.Sprint("v", i), 8), false))
		l.readAll(s)
	}
	assert.True(t, s.SnapshotDue(time.UnixMilli(1), time.Hour))
	l.append(s.SnapshotRecord("s", "s"))
	l.readAll(s)
	assert.False(t, s.SnapshotDue(time.UnixMilli(1), time.Hour))
}

func hashOf(doc []byte) []byte { h := config.HashOf(doc); return h[:] }
