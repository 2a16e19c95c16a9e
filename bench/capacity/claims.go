package capacity

import (
	"encoding/binary"
	"errors"
	"fmt"
	"runtime"
	"time"

	"github.com/galenaweir/galenaweir/claimsvc"
	"github.com/galenaweir/galenaweir/core/claims"
	"github.com/galenaweir/galenaweir/logsvc"
)

// Virtual times of the simulated log and executors.
const (
	claimTickInterval = time.Millisecond
	appendLatency     = 10 * time.Millisecond
	readLatency       = 2 * time.Millisecond
	executionTime     = 50 * time.Millisecond // time from the grant to the outcome
	claimRunDuration  = 5 * time.Second
	groupInterval     = 40 * time.Millisecond
	pollInterval      = 500 * time.Millisecond
	claimStream       = "claims-0"
)

// keeperSim runs one keeper against a simulated log in virtual time. Records are
// encoded and decoded as they are on the wire.
type keeperSim struct {
	keeper    *claims.Keeper
	now       time.Time
	scheduled map[time.Time][]func()
	log       []logsvc.Record
	pending   map[claims.ReqID]claims.Claim
	lastReq   claims.ReqID
	err       error

	appends, records, granted int
	bytes                     int
}

func newKeeperSim() *keeperSim {
	return &keeperSim{
		keeper: claims.NewKeeper(claims.Options{GroupInterval: groupInterval, PollInterval: pollInterval, KeyWindow: keyWindowSec * time.Second}),
		now:    time.UnixMilli(startTimeMs), scheduled: map[time.Time][]func(){}, pending: map[claims.ReqID]claims.Claim{},
	}
}

const startTimeMs = 1_800_000_000_000 // has as many digits as a real Unix time in milliseconds

func (r *keeperSim) schedule(d time.Duration, f func()) {
	t := r.now.Add(d)
	r.scheduled[t] = append(r.scheduled[t], f)
}

func newClaim(i int, now time.Time) claims.Claim {
	var c claims.Claim
	binary.BigEndian.PutUint64(c.Key[:], uint64(i))
	binary.BigEndian.PutUint64(c.Body[:], uint64(i))
	c.Attempt = fmt.Sprintf("018cc251-f400-7000-8000-%012x", i)
	c.Executor, c.Incarnation = "agent-000", "018cc251-f400-7000-8000-000000000000"
	c.KeyTimeMs = now.UnixMilli()
	c.ExpiresMs = c.KeyTimeMs + int64(keyWindowSec*millisPerSec)
	return c
}

func outcomeRecord(attempt string) claims.Record {
	return claims.Record{Kind: claims.KindOutcome, Attempt: attempt,
		Outcome: claims.Outcome{Status: 200, Body: make([]byte, answerBytes), ContentType: "application/json", BodyKept: true}}
}

func (r *keeperSim) execute(c claims.Commands) {
	for _, p := range c.Replies {
		claim, ok := r.pending[p.RequestID]
		if !ok {
			continue
		}
		delete(r.pending, p.RequestID)
		if p.Result != claims.ResultGranted {
			r.err = fmt.Errorf("claim %s: result %d", claim.Attempt, p.Result)
			continue
		}
		r.granted++
		r.schedule(executionTime, func() {
			r.lastReq++
			r.execute(r.keeper.Append(r.now, r.lastReq, outcomeRecord(claim.Attempt)))
		})
	}
	if a := c.Append; a != nil {
		r.append(a)
	}
	if q := c.Read; q != nil {
		r.schedule(readLatency, func() {
			p := logsvc.Page{NextOffset: int64(len(r.log)), Records: r.log[min(int(q.From), len(r.log)):]}
			r.execute(r.keeper.ReadDone(r.now, q.Seq, claimsvc.DecodePage(claimStream, p)))
		})
	}
}

func (r *keeperSim) append(a *claims.Append) {
	data, err := claimsvc.EncodeGroup(a.Records, "agent-000")
	r.err = errors.Join(r.err, err)
	r.appends++
	r.records += len(a.Records)
	r.bytes += len(data)
	r.schedule(appendLatency, func() {
		offset := int64(len(r.log))
		r.log = append(r.log, logsvc.Record{Offset: offset, TimeMs: r.now.UnixMilli(), Data: data})
		r.execute(r.keeper.AppendDone(r.now, a.Seq, claims.AppendSucceeded, offset))
	})
}

// run sends claims at a constant rate for claimRunDuration.
func (r *keeperSim) run(perSecond float64) error {
	sent := 0
	for end := r.now.Add(claimRunDuration); r.now.Before(end); r.now = r.now.Add(claimTickInterval) {
		callbacks := r.scheduled[r.now]
		delete(r.scheduled, r.now)
		for _, f := range callbacks {
			f()
		}
		for elapsed := claimRunDuration - end.Sub(r.now); float64(sent) < perSecond*elapsed.Seconds(); sent++ {
			c := newClaim(sent, r.now)
			r.lastReq++
			r.pending[r.lastReq] = c
			r.execute(r.keeper.Claim(r.now, r.lastReq, c))
		}
		r.execute(r.keeper.Tick(r.now))
	}
	return r.err
}

func claimSlopes() ([]Slope, error) {
	slope := func(id, text, unit, x string, target, limit float64, how string) *Slope {
		return &Slope{ID: id, Description: text, Unit: unit, XUnit: x, Method: how, Target: target, Limit: limit}
	}
	const perSec = "claims/s of a partition"
	appends := slope("claim_appends", "appends of a partition", "1/s", perSec, claimsPerPartition, limitAppendsPerSec, methodVirtual)
	appends.Scale = Log2 // the append rate approaches its limit and stops growing
	group := slope("claim_group", "claims in an append, outcomes not counted", "claims", perSec, claimsPerPartition, 0, methodVirtual)
	cpu := slope("claim_cpu", "CPU time of the keeper, coding included", "% of a core", perSec, claimsPerPartition, limitControlCores*percent, methodCPU)
	size := slope("claim_log_bytes", "bytes in the log for a claim with its outcome", "bytes", perSec, claimsPerPartition, 0, methodVirtual)
	for _, n := range []float64{5, 10, 50, 200, 1000} {
		r := newKeeperSim()
		start, err := processCPU()
		if err != nil {
			return nil, err
		}
		if err := r.run(n); err != nil {
			return nil, err
		}
		end, err := processCPU()
		if err != nil {
			return nil, err
		}
		granted := float64(r.granted)
		appends.Points = append(appends.Points, Point{n, float64(r.appends) / claimRunDuration.Seconds()})
		group.Points = append(group.Points, Point{n, granted / float64(r.appends)})
		cpu.Points = append(cpu.Points, Point{n, percent * (end - start).Seconds() / claimRunDuration.Seconds()})
		size.Points = append(size.Points, Point{n, float64(r.bytes) / granted})
	}
	kept, replay, err := keptClaimSlopes()
	if err != nil {
		return nil, err
	}
	return []Slope{appends.fit(), group.fit(), cpu.fit(), size.fit(), kept.fit(), replay.fit()}, nil
}

// keptClaimSlopes measures the memory that a keeper uses for claims and their
// outcomes, and the CPU time that a new keeper needs to replay them.
func keptClaimSlopes() (kept, replay *Slope, err error) {
	const x = "kept claims of a partition"
	kept = &Slope{ID: "claim_memory", Description: fmt.Sprintf("memory of a keeper, answers of %d bytes", answerBytes), Unit: "MiB", XUnit: x, Method: methodHeap,
		Target: claimsKeptPerPartition, Limit: limitControlMiB}
	replay = &Slope{ID: "claim_replay_cpu", Description: "CPU time to replay a partition, coding included", Unit: "s", XUnit: x, Method: methodCPU, Target: claimsKeptPerPartition}
	for _, n := range []int{10_000, 50_000, 200_000} {
		page, err := claimLogPage(n)
		if err != nil {
			return nil, nil, err
		}
		var cpu time.Duration
		retained := retainedHeap(func() any {
			start, e := processCPU()
			s := claims.NewState()
			s.ApplyPage(claimsvc.DecodePage(claimStream, page))
			end, e2 := processCPU()
			cpu, err = end-start, errors.Join(e, e2)
			return s
		})
		runtime.KeepAlive(page) // freeing it during the measurement would reduce the result
		if err != nil {
			return nil, nil, err
		}
		kept.Points = append(kept.Points, Point{float64(n), retained / mebibyte})
		replay.Points = append(replay.Points, Point{float64(n), cpu.Seconds()})
	}
	return kept, replay, nil
}

// claimLogPage returns the log of a partition with n claims, each followed by its
// outcome.
func claimLogPage(n int) (logsvc.Page, error) {
	const perGroup = 16
	now := time.UnixMilli(startTimeMs)
	p := logsvc.Page{}
	var rs []claims.Record
	for i := range n {
		c := newClaim(i, now)
		rs = append(rs, claims.Record{Kind: claims.KindClaim, Attempt: c.Attempt, Claim: c}, outcomeRecord(c.Attempt))
		if len(rs) < 2*perGroup && i < n-1 {
			continue
		}
		data, err := claimsvc.EncodeGroup(rs, "agent-000")
		if err != nil {
			return p, err
		}
		p.Records = append(p.Records, logsvc.Record{Offset: p.NextOffset, TimeMs: startTimeMs, Data: data})
		p.NextOffset++
		rs = rs[:0]
	}
	return p, nil
}
