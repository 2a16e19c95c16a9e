package config_test

import (
	"fmt"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/galenaweir/galenaweir/core/config"
)

// cluster simulates several processes and operators that share one log.
type cluster struct {
	t           *rapid.T
	log         memLog
	streams     []*config.Stream
	lateRecords []*config.Record // records whose append is delayed or duplicated
	hashes      map[int64]string // document hash by version
	acceptedIDs map[int64]string // publish ID of the accepted record by version
	outage      bool
	documents   int
	fullLog     memLog // the log including trimmed records
}

func (c *cluster) appendRecord(r *config.Record) {
	c.log.append(r)
	c.fullLog.append(r)
}

// checkState checks the state of a process after an update: the version did not
// decrease and its document is the same as in the other processes.
func (c *cluster) checkState(before int64, s *config.Stream) {
	if s.Version() < before {
		c.t.Fatalf("version decreased from %d to %d", before, s.Version())
	}
	if s.State() == nil {
		return
	}
	h := s.State().Hash.String()
	if known, ok := c.hashes[s.Version()]; ok && known != h {
		c.t.Fatalf("processes have different documents of version %d", s.Version())
	}
	c.hashes[s.Version()] = h
}

func (c *cluster) update(i int, f func(s *config.Stream)) {
	s := c.streams[i]
	before := s.Version()
	f(s)
	c.checkState(before, s)
}

// checkResults checks that the records that a process accepted are the same as in
// the other processes.
func (c *cluster) checkResults(results []config.RecordResult) {
	for _, o := range results {
		if r := o.Entry.Record; o.Err == nil && !r.Snapshot {
			if id, ok := c.acceptedIDs[r.NewVersion]; ok && id != r.PublishID {
				c.t.Fatalf("two records were accepted as version %d: %s and %s", r.NewVersion, id, r.PublishID)
			}
			c.acceptedIDs[r.NewVersion] = r.PublishID
		}
	}
}

// TestStreamsAgree guards against processes that disagree on a version, versions that
// decrease, two accepted records for one version, and snapshots that hide accepted
// versions.
func TestStreamsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &cluster{t: rt, hashes: map[int64]string{}, acceptedIDs: map[int64]string{}}
		for range 3 {
			c.streams = append(c.streams, config.NewStream())
		}
		streamIndex := rapid.IntRange(0, len(c.streams)-1)
		rt.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				if !c.outage {
					limit := rapid.IntRange(1, 4).Draw(t, "limit")
					c.update(streamIndex.Draw(t, "process"), func(s *config.Stream) { c.checkResults(c.log.readPage(s, limit)) })
				}
			},
			"publish": func(t *rapid.T) {
				s := c.streams[streamIndex.Draw(t, "base")]
				if s.State() == nil && c.fullLog.end() > 0 {
					return
				}
				c.documents++
				r := record(t, fmt.Sprint(c.documents), s.State(), document(t, fmt.Sprint("d", c.documents), 8), rapid.Bool().Draw(t, "whole"))
				if c.outage || rapid.Bool().Draw(t, "late") {
					c.lateRecords = append(c.lateRecords, r)
				}
				if !c.outage {
					c.appendRecord(r) // the late copy has the same publish ID
				}
			},
			"late append": func(t *rapid.T) {
				if len(c.lateRecords) > 0 && !c.outage {
					c.appendRecord(c.lateRecords[0])
					c.lateRecords = c.lateRecords[1:]
				}
			},
			"snapshot": func(t *rapid.T) {
				s := c.streams[streamIndex.Draw(t, "writer")]
				if s.State() != nil && s.AtEnd() {
					r := s.SnapshotRecord("p", "snapshot")
					if c.outage || rapid.Bool().Draw(t, "late") {
						c.lateRecords = append(c.lateRecords, r)
					} else {
						c.appendRecord(r)
					}
				}
			},
			"trim": func(t *rapid.T) {
				// Trim only records that some process has applied. The loss of
				// unread records is handled by SnapshotRecord and is not
				// simulated here.
				maxApplied := int64(-1)
				for _, s := range c.streams {
					if !s.HasGap() {
						maxApplied = max(maxApplied, s.AppliedOffset())
					}
				}
				c.log.trim(rapid.Int64Range(0, maxApplied+1).Draw(t, "before"))
			},
			"hand over": func(t *rapid.T) {
				from := c.streams[streamIndex.Draw(t, "from")]
				c.update(streamIndex.Draw(t, "to"), func(s *config.Stream) {
					if st := s.State(); st != nil && from != s {
						if rs, ok := from.PatchesSince(st.Version, st.Hash.Short()); ok {
							_ = s.AdoptPatches(rs, from.AppliedOffset())
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
				for _, e := range c.log.entries {
					if e.Record.Snapshot {
						snapshots = append(snapshots, e)
					}
				}
				c.update(streamIndex.Draw(t, "process"), func(s *config.Stream) {
					if s.State() == nil && !c.outage {
						_ = s.AdoptSnapshot(c.log.first, snapshots)
					}
				})
			},
			"restart": func(t *rapid.T) {
				i := streamIndex.Draw(t, "process")
				for j, s := range c.streams {
					if j != i && s.Version() >= c.streams[i].Version() && s.AppliedOffset() >= c.streams[i].AppliedOffset() {
						c.streams[i] = config.NewStream()
						return
					}
				}
			},
			"outage": func(*rapid.T) { c.outage = !c.outage },
		})
		// A reader of the whole log determines the latest version. Every process
		// at the end of the log must have it.
		fullReader := config.NewStream()
		c.checkResults(c.fullLog.readAll(fullReader))
		for _, s := range c.streams {
			if c.outage = false; !s.HasGap() {
				c.checkResults(c.log.readAll(s))
			}
			if s.AtEnd() && s.Version() != fullReader.Version() {
				rt.Fatalf("a process at the end of the log has version %d, want %d", s.Version(), fullReader.Version())
			}
			c.checkState(0, s)
		}
		c.checkState(0, fullReader)
	})
}

type registerInput struct {
	publish bool
	base    int64
}

type registerOutput struct {
	version int64
	ok      bool
}

// TestPublishAndReadAreLinearizable guards against histories of publications and
// reads of the log's tail that are not linearizable with respect to a register with
// compare-and-set.
func TestPublishAndReadAreLinearizable(t *testing.T) {
	model := porcupine.Model{
		Init: func() any { return int64(0) },
		Step: func(state, input, output any) (bool, any) {
			v, in, out := state.(int64), input.(registerInput), output.(registerOutput)
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
				c.op.Input = registerInput{publish: rapid.Bool().Draw(rt, "publish"), base: s.Version()}
				if c.op.Input.(registerInput).publish {
					l.append(record(rt, c.id, s.State(), document(rt, "d"+c.id, 8), false))
				}
				open[i] = c
				continue
			}
			c, out := open[i], registerOutput{}
			for _, o := range l.readAll(s) {
				if o.Entry.Record.PublishID == c.id {
					out.ok, out.version = o.Err == nil, o.CurrentVersion
				}
			}
			if !c.op.Input.(registerInput).publish {
				out.version = s.Version()
			}
			c.op.Output, c.op.Return = out, clock
			ops = append(ops, c.op)
			open[i] = nil
		}
		for _, c := range open { // publications whose operators did not read the result
			if c != nil && c.op.Input.(registerInput).publish {
				for _, o := range l.readAll(config.NewStream()) {
					if o.Entry.Record.PublishID == c.id {
						c.op.Output, c.op.Return = registerOutput{o.CurrentVersion, o.Err == nil}, clock+1
						ops = append(ops, c.op)
					}
				}
			}
		}
		if !porcupine.CheckOperations(model, ops) {
			rt.Fatalf("the history is not linearizable: %v", ops)
		}
	})
}
