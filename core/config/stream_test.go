package config_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenaweir/galenaweir/core/config"
)

// document returns a valid document; name tells documents apart.
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

// record returns the record that an operator makes of the base.
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

// memLog is a log in memory.
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

// read gives the stream one page of up to limit records.
func (l *memLog) read(s *config.Stream, limit int) []config.Outcome {
	i := min(max(0, s.Next()-l.first), int64(len(l.entries)))
	j := min(i+int64(limit), int64(len(l.entries)))
	return s.Page(l.first, l.end(), l.entries[i:j])
}

func (l *memLog) readAll(s *config.Stream) (os []config.Outcome) {
	for {
		at, gap := s.Next(), s.Gap()
		os = append(os, l.read(s, 3)...)
		if s.Next() == at && s.Gap() == gap {
			return os
		}
	}
}

func TestCanonical(t *testing.T) {
	for _, c := range []struct{ name, in, want string }{
		{"keys and space", "{ \"b\": 1.0, \"a\": {\"y\":2, \"x\":1e3} }", `{"a":{"x":1000,"y":2},"b":1}`},
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

// Guards against a reader that takes a record that the others reject.
func TestRecordsAreJudged(t *testing.T) {
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
		{"older base", change(func(r *config.Record) { r.BaseVersion, r.NewVersion = 0, 1 }), config.ErrLost},
		{"skipped version", change(func(r *config.Record) { r.NewVersion = 3 }), config.ErrLost},
		{"other base document", change(func(r *config.Record) { r.BaseHash = make([]byte, 32) }), config.ErrLost},
		{"wrong hash", change(func(r *config.Record) { r.NewHash = make([]byte, 32) }), config.ErrMalformed},
		{"no JSON", change(func(r *config.Record) { r.Patch = []byte("{") }), config.ErrMalformed},
		{"undecodable", nil, config.ErrMalformed},
		{"invalid", record(t, "x", st, d(""), false), config.ErrInvalid},
		{"claim partitions", record(t, "x", st, document(t, "two", 9), false), config.ErrPartitions},
		{"snapshot of the future", &config.Record{Snapshot: true, AsOf: 1, NewVersion: 9}, config.ErrMalformed},
		{"no change", record(t, "x", st, d("one"), true), config.ErrUnchanged},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, l := config.NewStream(), &memLog{entries: append([]config.Entry(nil), l.entries...)}
			l.append(c.r)
			os := l.readAll(s)
			require.Len(t, os, 2)
			require.ErrorIs(t, os[1].Err, c.want)
			assert.Equal(t, c.want == nil, s.Version() == 2)
			assert.True(t, s.AtEnd())
			assert.Equal(t, s.Through(), s.State().Through)
		})
	}
}

// Guards against a delayed snapshot that hides a newer version, and against a
// stream that stays stuck although a usable snapshot or a peer is there.
func TestTrims(t *testing.T) {
	l, s := &memLog{}, config.NewStream()
	for i := range 4 {
		l.append(record(t, fmt.Sprint(i), s.State(), document(t, fmt.Sprint("v", i+1), 8), false))
		l.readAll(s)
	}
	old := config.NewStream()
	(&memLog{entries: l.entries[:2]}).readAll(old)
	late := old.SnapshotRecord("late", "late")
	handed := config.NewStream()
	require.NoError(t, handed.Adopt(s.State()))
	l.readAll(handed)
	now := time.UnixMilli(1 << 40)
	assert.False(t, handed.SnapshotDue(now, time.Hour), "a process writes a snapshot only because it has read none")
	assert.True(t, handed.SnapshotDue(now.Add(time.Hour/2), time.Hour))
	l.trim(3)
	l.append(late) // as of offset 1, but offset 2 is trimmed
	fresh := config.NewStream()
	l.readAll(fresh)
	assert.Zero(t, fresh.Version(), "a delayed snapshot was taken")
	assert.True(t, fresh.Stuck())
	l.readAll(old)
	assert.EqualValues(t, 2, old.Version(), "records after a gap were taken")
	assert.True(t, old.Stuck())
	assert.False(t, old.SnapshotDue(now, time.Hour), "a stuck process can't vouch for its version")

	require.NoError(t, old.Adopt(s.State()))
	l.readAll(old)
	assert.True(t, old.AtEnd() && old.Version() == 4, "a peer's state doesn't bridge the gap")

	l.readAll(s)
	assert.True(t, s.SnapshotDue(time.UnixMilli(6), time.Hour), "no usable snapshot is left")
	l.append(s.SnapshotRecord("s", "s"))
	l.readAll(s)
	assert.False(t, s.SnapshotDue(time.UnixMilli(6), time.Hour))
	assert.True(t, s.SnapshotDue(time.UnixMilli(6+30*60_000), time.Hour), "half of the retention has passed")
	l.append(record(t, "5", s.State(), document(t, "v5", 8), false))
	l.readAll(fresh)
	assert.True(t, fresh.AtEnd() && fresh.Version() == 5, "the snapshot wasn't taken")

	start := config.NewStream()
	require.NoError(t, start.StartFrom(l.first, []config.Entry{{Offset: 9, Record: late}}))
	assert.Nil(t, start.State(), "a delayed snapshot was taken at the start")
	require.NoError(t, start.StartFrom(l.first, []config.Entry{l.entries[len(l.entries)-2], {Offset: 9, Record: late}}))
	assert.EqualValues(t, 4, start.Version())
	l.readAll(start)
	assert.True(t, start.AtEnd() && start.Version() == 5, "the records after the snapshot weren't read")

	stuck := config.NewStream()
	require.NoError(t, stuck.Adopt(s.State()))
	l.trim(l.end())
	l.append(nil)
	l.trim(l.end())
	l.readAll(stuck)
	require.True(t, stuck.Stuck())
	l.append(stuck.SnapshotRecord("reset", "reset"))
	l.readAll(stuck)
	assert.True(t, stuck.AtEnd(), "the snapshot of a stuck stream doesn't bridge the gap")
}

// Guards against wrong patches between peers and against a version that goes
// back or changes.
func TestHandOn(t *testing.T) {
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
	assert.False(t, ok, "patches for another document")
	_, ok = s.PatchesSince(0, nil)
	assert.False(t, ok)
	require.Error(t, p.AdoptPatches(rs[1:], s.Through()))
	assert.EqualValues(t, 1, p.Version())
	require.NoError(t, p.AdoptPatches(rs, s.Through()))
	assert.Equal(t, s.State(), p.State())
	_, ok = p.PatchesSince(1, first.Hash.Short())
	assert.True(t, ok, "adopted patches aren't passed on")
	require.ErrorIs(t, p.Adopt(first), config.ErrOld)
	require.ErrorIs(t, p.AdoptPatches(rs, s.Through()), config.ErrOld)
	l.append(record(t, "w", s.State(), document(t, "v5", 8), true))
	l.readAll(s)
	_, ok = s.PatchesSince(3, nil)
	assert.False(t, ok, "patches beyond a whole document")
	_, ok = s.PatchesSince(1, first.Hash.Short())
	assert.False(t, ok, "patches that don't lead to the version in force")
	require.NoError(t, p.Adopt(s.State()))
	other := *s.State()
	other.Hash = config.Hash{}
	require.ErrorIs(t, p.Adopt(&other), config.ErrConflict)
	foreign, err := config.NewState(9, hashOf(document(t, "x", 9)), 9, document(t, "x", 9))
	require.NoError(t, err)
	require.ErrorIs(t, p.Adopt(foreign), config.ErrPartitions)
	assert.Equal(t, s.State(), p.State())
}

// Guards against a cold start that judges more records than the limit.
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

// world is several processes and operators over one log.
type world struct {
	t       *rapid.T
	log     memLog
	procs   []*config.Stream
	pending []*config.Record // appends whose answer was lost and that come late
	truth   map[int64]string // hash by version, as the first process learned it
	winner  map[int64]string // publish ID by version
	outage  bool
	n       int
	full    memLog // the log without trims
}

func (w *world) append(r *config.Record) {
	w.log.append(r)
	w.full.append(r)
}

// learn checks what a process holds after a step.
func (w *world) learn(before int64, s *config.Stream) {
	if s.Version() < before {
		w.t.Fatalf("version went from %d to %d", before, s.Version())
	}
	if s.State() == nil {
		return
	}
	h := s.State().Hash.String()
	if known, ok := w.truth[s.Version()]; ok && known != h {
		w.t.Fatalf("two documents of version %d", s.Version())
	}
	w.truth[s.Version()] = h
}

func (w *world) step(i int, f func(s *config.Stream)) {
	s := w.procs[i]
	before := s.Version()
	f(s)
	w.learn(before, s)
}

// judged notes the winners that a process found.
func (w *world) judged(os []config.Outcome) {
	for _, o := range os {
		if r := o.Entry.Record; o.Err == nil && !r.Snapshot {
			if id, ok := w.winner[r.NewVersion]; ok && id != r.PublishID {
				w.t.Fatalf("version %d has the winners %s and %s", r.NewVersion, id, r.PublishID)
			}
			w.winner[r.NewVersion] = r.PublishID
		}
	}
}

// Guards against processes that disagree on a version, versions that go back,
// two winners of one version, and snapshots that hide accepted versions.
func TestProcessesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &world{t: rt, truth: map[int64]string{}, winner: map[int64]string{}}
		for range 3 {
			w.procs = append(w.procs, config.NewStream())
		}
		proc := rapid.IntRange(0, len(w.procs)-1)
		rt.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				if !w.outage {
					limit := rapid.IntRange(1, 4).Draw(t, "limit")
					w.step(proc.Draw(t, "process"), func(s *config.Stream) { w.judged(w.log.read(s, limit)) })
				}
			},
			"publish": func(t *rapid.T) {
				s := w.procs[proc.Draw(t, "base")]
				if s.State() == nil && w.full.end() > 0 {
					return
				}
				w.n++
				r := record(t, fmt.Sprint(w.n), s.State(), document(t, fmt.Sprint("d", w.n), 8), rapid.Bool().Draw(t, "whole"))
				if w.outage || rapid.Bool().Draw(t, "late") {
					w.pending = append(w.pending, r)
				}
				if !w.outage {
					w.append(r) // a retry repeats the publish ID
				}
			},
			"late append": func(t *rapid.T) {
				if len(w.pending) > 0 && !w.outage {
					w.append(w.pending[0])
					w.pending = w.pending[1:]
				}
			},
			"snapshot": func(t *rapid.T) {
				s := w.procs[proc.Draw(t, "writer")]
				if s.State() != nil && s.AtEnd() {
					r := s.SnapshotRecord("p", "snapshot")
					if w.outage || rapid.Bool().Draw(t, "late") {
						w.pending = append(w.pending, r)
					} else {
						w.append(r)
					}
				}
			},
			"trim": func(t *rapid.T) {
				// Only records that some process has judged are trimmed; the
				// loss of unread records is the case of SnapshotRecord's gap.
				through := int64(-1)
				for _, s := range w.procs {
					if !s.Gap() {
						through = max(through, s.Through())
					}
				}
				w.log.trim(rapid.Int64Range(0, through+1).Draw(t, "before"))
			},
			"hand on": func(t *rapid.T) {
				from := w.procs[proc.Draw(t, "from")]
				w.step(proc.Draw(t, "to"), func(s *config.Stream) {
					if st := s.State(); st != nil && from != s {
						if rs, ok := from.PatchesSince(st.Version, st.Hash.Short()); ok {
							_ = s.AdoptPatches(rs, from.Through())
							return
						}
					}
					if from.State() != nil {
						_ = s.Adopt(from.State())
					}
				})
			},
			"start from snapshot": func(t *rapid.T) {
				var snapshots []config.Entry
				for _, e := range w.log.entries {
					if e.Record.Snapshot {
						snapshots = append(snapshots, e)
					}
				}
				w.step(proc.Draw(t, "process"), func(s *config.Stream) {
					if s.State() == nil && !w.outage {
						_ = s.StartFrom(w.log.first, snapshots)
					}
				})
			},
			"restart": func(t *rapid.T) {
				i := proc.Draw(t, "process")
				for j, s := range w.procs {
					if j != i && s.Version() >= w.procs[i].Version() && s.Through() >= w.procs[i].Through() {
						w.procs[i] = config.NewStream()
						return
					}
				}
			},
			"outage": func(*rapid.T) { w.outage = !w.outage },
		})
		// A reader of the whole log decides what each version is; a process at
		// the end of the log holds the last.
		all := config.NewStream()
		w.judged(w.full.readAll(all))
		for _, s := range w.procs {
			if w.outage = false; !s.Gap() {
				w.judged(w.log.readAll(s))
			}
			if s.AtEnd() && s.Version() != all.Version() {
				rt.Fatalf("a process at the end of the log holds version %d, not %d", s.Version(), all.Version())
			}
			w.learn(0, s)
		}
		w.learn(0, all)
	})
}

type regInput struct {
	publish bool
	base    int64
}

type regOutput struct {
	version int64
	ok      bool
}

// Guards against histories of publications and reads of the log's tail that no
// single register with compare-and-set explains.
func TestPublishAndReadAreLinearizable(t *testing.T) {
	model := porcupine.Model{
		Init: func() any { return int64(0) },
		Step: func(state, input, output any) (bool, any) {
			v, in, out := state.(int64), input.(regInput), output.(regOutput)
			if !in.publish {
				return out.version == v, v
			}
			if in.base == v {
				return out.ok && out.version == v+1, v + 1
			}
			return !out.ok, v
		},
	}
	rapid.Check(t, func(rt *rapid.T) {
		const clients = 3
		l, clock := &memLog{}, int64(0)
		var ops []porcupine.Operation
		type call struct {
			op porcupine.Operation
			id string
		}
		open := make([]*call, clients)
		states := make([]*config.Stream, clients)
		for i := range states {
			states[i] = config.NewStream()
		}
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			clock++
			i := rapid.IntRange(0, clients-1).Draw(rt, "client")
			s := states[i]
			if open[i] == nil {
				c := &call{op: porcupine.Operation{ClientId: i, Call: clock}, id: fmt.Sprint(clock)}
				c.op.Input = regInput{publish: rapid.Bool().Draw(rt, "publish"), base: s.Version()}
				if c.op.Input.(regInput).publish {
					l.append(record(rt, c.id, s.State(), document(rt, "d"+c.id, 8), false))
				}
				open[i] = c
				continue
			}
			c, out := open[i], regOutput{}
			for _, o := range l.readAll(s) {
				if o.Entry.Record.PublishID == c.id {
					out.ok, out.version = o.Err == nil, o.InForce
				}
			}
			if !c.op.Input.(regInput).publish {
				out.version = s.Version()
			}
			c.op.Output, c.op.Return = out, clock
			ops = append(ops, c.op)
			open[i] = nil
		}
		for _, c := range open { // operators that never learned their outcome
			if c != nil && c.op.Input.(regInput).publish {
				for _, o := range l.readAll(config.NewStream()) {
					if o.Entry.Record.PublishID == c.id {
						c.op.Output, c.op.Return = regOutput{o.InForce, o.Err == nil}, clock+1
						ops = append(ops, c.op)
					}
				}
			}
		}
		if !porcupine.CheckOperations(model, ops) {
			rt.Fatalf("not linearizable: %v", ops)
		}
	})
}
