package config_test

import (
	"fmt"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/galenaweir/galenaweir/core/config"
)

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
