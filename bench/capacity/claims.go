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

// Times of the simulated log and executors, virtual.
const (
	claimStep     = time.Millisecond
	appendLatency = 10 * time.Millisecond
	readLatency   = 2 * time.Millisecond
	serviceTime   = 50 * time.Millisecond // from the grant to the outcome
	claimRunTime  = 5 * time.Second
	groupInterval = 40 * time.Millisecond
	pollInterval  = 500 * time.Millisecond
	claimStream   = "claims-0"
)

// keeperRun drives one keeper against a log in virtual time, with the records
// encoded and decoded as on the wire.
type keeperRun struct {
	k       *claims.Keeper
	now     time.Time
	due     map[time.Time][]func()
	log     []logsvc.Record
	waiting map[claims.ReqID]claims.Claim
	req     claims.ReqID
	err     error

	appends, records, granted int
	bytes                     int
}

func newKeeperRun() *keeperRun {
	return &keeperRun{
		k:   claims.NewKeeper(claims.Options{GroupInterval: groupInterval, PollInterval: pollInterval, KeyWindow: keyWindowSec * time.Second}),
		now: time.UnixMilli(startMs), due: map[time.Time][]func(){}, waiting: map[claims.ReqID]claims.Claim{},
	}
}

const startMs = 1_800_000_000_000 // a realistic length of a time

func (r *keeperRun) after(d time.Duration, f func()) {
	t := r.now.Add(d)
	r.due[t] = append(r.due[t], f)
}

func claimOf(i int, now time.Time) claims.Claim {
	var c claims.Claim
	binary.BigEndian.PutUint64(c.Key[:], uint64(i))
	binary.BigEndian.PutUint64(c.Body[:], uint64(i))
	c.Attempt = fmt.Sprintf("018cc251-f400-7000-8000-%012x", i)
	c.Executor, c.Incarnation = "agent-000", "018cc251-f400-7000-8000-000000000000"
	c.KeyTimeMs = now.UnixMilli()
	c.ExpiresMs = c.KeyTimeMs + int64(keyWindowSec*millisSec)
	return c
}

func outcomeOf(attempt string) claims.Record {
	return claims.Record{Kind: claims.KindOutcome, Attempt: attempt,
		Outcome: claims.Outcome{Status: 200, Body: make([]byte, answerBytes), ContentType: "application/json", BodyKept: true}}
}

func (r *keeperRun) carryOut(c claims.Commands) {
	for _, p := range c.Replies {
		claim, ok := r.waiting[p.RequestID]
		if !ok {
			continue
		}
		delete(r.waiting, p.RequestID)
		if p.Result != claims.ResultGranted {
			r.err = fmt.Errorf("claim %s: result %d", claim.Attempt, p.Result)
			continue
		}
		r.granted++
		r.after(serviceTime, func() {
			r.req++
			r.carryOut(r.k.Append(r.now, r.req, outcomeOf(claim.Attempt)))
		})
	}
	if a := c.Append; a != nil {
		r.append(a)
	}
	if q := c.Read; q != nil {
		r.after(readLatency, func() {
			p := logsvc.Page{NextOffset: int64(len(r.log)), Records: r.log[min(int(q.From), len(r.log)):]}
			r.carryOut(r.k.ReadDone(r.now, q.Seq, claimsvc.DecodePage(claimStream, p)))
		})
	}
}

func (r *keeperRun) append(a *claims.Append) {
	data, err := claimsvc.EncodeGroup(a.Records, "agent-000")
	r.err = errors.Join(r.err, err)
	r.appends++
	r.records += len(a.Records)
	r.bytes += len(data)
	r.after(appendLatency, func() {
		offset := int64(len(r.log))
		r.log = append(r.log, logsvc.Record{Offset: offset, TimeMs: r.now.UnixMilli(), Data: data})
		r.carryOut(r.k.AppendDone(r.now, a.Seq, claims.AppendSucceeded, offset))
	})
}

// run sends claims at an even rate.
func (r *keeperRun) run(perSecond float64) error {
	sent := 0
	for end := r.now.Add(claimRunTime); r.now.Before(end); r.now = r.now.Add(claimStep) {
		fs := r.due[r.now]
		delete(r.due, r.now)
		for _, f := range fs {
			f()
		}
		for elapsed := claimRunTime - end.Sub(r.now); float64(sent) < perSecond*elapsed.Seconds(); sent++ {
			c := claimOf(sent, r.now)
			r.req++
			r.waiting[r.req] = c
			r.carryOut(r.k.Claim(r.now, r.req, c))
		}
		r.carryOut(r.k.Tick(r.now))
	}
	return r.err
}

func claimSlopes() ([]Slope, error) {
	slope := func(id, text, unit, x string, target, limit float64, how string) *Slope {
		return &Slope{ID: id, Text: text, Unit: unit, XUnit: x, How: how, Target: target, Limit: limit}
	}
	const perSec = "claims/s of a partition"
	appends := slope("claim_appends", "appends of a partition", "1/s", perSec, claimsPerPart, limitAppendsPerSec, howVirtual)
	appends.Scale = Log2 // it levels off at the limit
	group := slope("claim_group", "claims in an append, outcomes not counted", "claims", perSec, claimsPerPart, 0, howVirtual)
	cpu := slope("claim_cpu", "CPU time of the keeper, coding included", "% of a core", perSec, claimsPerPart, limitControlCores*percent, howCPU)
	size := slope("claim_log_bytes", "bytes in the log for a claim with its outcome", "bytes", perSec, claimsPerPart, 0, howVirtual)
	for _, n := range []float64{5, 10, 50, 200, 1000} {
		r := newKeeperRun()
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
		appends.Points = append(appends.Points, Point{n, float64(r.appends) / claimRunTime.Seconds()})
		group.Points = append(group.Points, Point{n, granted / float64(r.appends)})
		cpu.Points = append(cpu.Points, Point{n, percent * (end - start).Seconds() / claimRunTime.Seconds()})
		size.Points = append(size.Points, Point{n, float64(r.bytes) / granted})
	}
	kept, replay, err := keptClaims()
	if err != nil {
		return nil, err
	}
	return []Slope{appends.fit(), group.fit(), cpu.fit(), size.fit(), kept.fit(), replay.fit()}, nil
}

// keptClaims measures what a keeper holds of claims with their outcomes, and the
// CPU time of a new keeper that replays them.
func keptClaims() (kept, replay *Slope, err error) {
	const x = "kept claims of a partition"
	kept = &Slope{ID: "claim_memory", Text: fmt.Sprintf("memory of a keeper, answers of %d bytes", answerBytes), Unit: "MiB", XUnit: x, How: howState,
		Target: keptClaimsPerPart, Limit: limitControlMiB}
	replay = &Slope{ID: "claim_replay_cpu", Text: "CPU time to replay a partition, coding included", Unit: "s", XUnit: x, How: howCPU, Target: keptClaimsPerPart}
	for _, n := range []int{10_000, 50_000, 200_000} {
		page, err := loggedClaims(n)
		if err != nil {
			return nil, nil, err
		}
		var cpu time.Duration
		held := heapOf(func() any {
			start, e := processCPU()
			s := claims.NewState()
			s.Read(claimsvc.DecodePage(claimStream, page))
			end, e2 := processCPU()
			cpu, err = end-start, errors.Join(e, e2)
			return s
		})
		runtime.KeepAlive(page) // or else its release would be taken off
		if err != nil {
			return nil, nil, err
		}
		kept.Points = append(kept.Points, Point{float64(n), held / mebibyte})
		replay.Points = append(replay.Points, Point{float64(n), cpu.Seconds()})
	}
	return kept, replay, nil
}

// loggedClaims returns the log of a partition in which each claim has its outcome.
func loggedClaims(n int) (logsvc.Page, error) {
	const perGroup = 16
	now := time.UnixMilli(startMs)
	p := logsvc.Page{}
	var rs []claims.Record
	for i := range n {
		c := claimOf(i, now)
		rs = append(rs, claims.Record{Kind: claims.KindClaim, Attempt: c.Attempt, Claim: c}, outcomeOf(c.Attempt))
		if len(rs) < 2*perGroup && i < n-1 {
			continue
		}
		data, err := claimsvc.EncodeGroup(rs, "agent-000")
		if err != nil {
			return p, err
		}
		p.Records = append(p.Records, logsvc.Record{Offset: p.NextOffset, TimeMs: startMs, Data: data})
		p.NextOffset++
		rs = rs[:0]
	}
	return p, nil
}
