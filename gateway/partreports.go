package gateway

import (
	"time"

	"github.com/galenaweir/galenaweir/core/forward"
)

// Bounds on the parts in messages to the peers.
const (
	maxReportedSuspects  = 16                     // in one load report; further ones follow in the next
	maxReportedPartBytes = 2500                   // of their encoding, in one load report
	maxFactPartBytes     = 6000                   // the same in an answer to a starting entry
	maxPartTextBytes     = 64                     // of each text in a report
	maxTrialsPerPart     = 32                     // in a report from any sender
	partRepeatSpacing    = 100 * time.Millisecond // between two reports of a change
)

// reportPart is what the sender knows of a part of a prompt that may crash endpoints.
type reportPart struct {
	Key       uint64
	Name      string
	UsedAgoMs int64
	Trials    boundedList[reportTrial]
	Sound     boundedList[reportPlace]
	Whole     bool // it is a whole request
}

type reportPlace struct {
	Version int64
	Build   uint64
}

type reportTrial struct {
	Endpoint   string
	Started    int64
	Place      reportPlace
	Strong     bool
	Cleared    bool
	SentAgoMs  int64 // how long before the report the request was sent
	EndedAgoMs int64
	Witness    string
}

// encodeParts returns as many parts as fit into the given number of bytes.
func encodeParts(parts []forward.SuspectPart, limit int, now time.Duration) boundedList[reportPart] {
	var out boundedList[reportPart]
	for _, p := range parts {
		r := reportPart{Key: p.Key, Name: p.Name, Whole: p.Whole, UsedAgoMs: (now - p.LastUse).Milliseconds()}
		for _, t := range p.Trials {
			r.Trials = append(r.Trials, reportTrial{t.On.Endpoint, t.On.StartedUnixMs, reportPlace(t.Place), t.Strong, t.Cleared, (now - t.SentAt).Milliseconds(), (now - t.EndedAt).Milliseconds(), t.Witness})
		}
		for _, at := range p.Sound {
			r.Sound = append(r.Sound, reportPlace(at))
		}
		data, err := encodeMessage(&r)
		if limit -= len(data); err != nil || limit < 0 {
			break
		}
		out = append(out, r)
	}
	return out
}

// maxPartAgeMs is the largest age in a report. Times from the future, or before the start of a
// clock, would keep evidence for ever.
const maxPartAgeMs = int64(24 * time.Hour / time.Millisecond)

// part returns the part on the clock of this process, and false if it can't be valid. A report takes
// some time to arrive, so that times appear to be later by that.
func (r *reportPart) part(now time.Duration) (forward.SuspectPart, bool) {
	valid := len(r.Name) <= maxPartTextBytes && len(r.Trials) <= maxTrialsPerPart && len(r.Sound) <= maxTrialsPerPart
	ago := func(ms int64) time.Duration {
		valid = valid && ms >= 0 && ms <= maxPartAgeMs
		return now - milliseconds(ms)
	}
	p := forward.SuspectPart{Key: r.Key, Name: r.Name, Whole: r.Whole, LastUse: ago(r.UsedAgoMs)}
	for _, t := range r.Trials {
		valid = valid && len(t.Endpoint) <= maxPartTextBytes && len(t.Witness) <= maxPartTextBytes && t.SentAgoMs >= t.EndedAgoMs
		p.Trials = append(p.Trials, forward.CrashTrial{
			On: forward.EndpointStart{Endpoint: t.Endpoint, StartedUnixMs: t.Started}, Place: forward.Place(t.Place),
			Strong: t.Strong, Cleared: t.Cleared, SentAt: ago(t.SentAgoMs), EndedAt: ago(t.EndedAgoMs), Witness: t.Witness,
		})
	}
	for _, at := range r.Sound {
		p.Sound = append(p.Sound, forward.Place(at))
	}
	return p, valid
}

// partsToReport returns the parts that the peers are told of in the next load report. The caller
// holds the state's mutex.
func (g *Gateway) partsToReport(now time.Duration) boundedList[reportPart] {
	s := g.state
	if s.parts.Len() == 0 {
		return nil
	}
	g.expireParts(now)
	out := encodeParts(s.parts.ToReport(g.memberID, s.peerLoads.members, maxReportedSuspects, now), maxReportedPartBytes, now)
	if s.parts.HasChanges() {
		time.AfterFunc(partRepeatSpacing, g.requestReport)
	}
	return out
}

// applyParts applies what a peer knows of parts. The caller holds the state's mutex.
func (g *Gateway) applyParts(parts []reportPart, now time.Duration) {
	s := g.state
	for i := range parts {
		p, valid := parts[i].part(now)
		if !valid {
			g.rejectedReports.Add(1)
			continue
		}
		if change, changed := s.parts.Merge(p, false, now); changed {
			g.recordPartChange(change, now)
		}
		for _, t := range p.Trials {
			g.avoidEnded(t, now)
		}
	}
}

// avoidEnded keeps requests away for a moment from an endpoint that ended just now.
func (g *Gateway) avoidEnded(t forward.CrashTrial, now time.Duration) {
	s := g.state
	e, ready := s.endpointList.Get(t.On.Endpoint, now)
	if ready && !t.Cleared && e.StartedUnixMs == t.On.StartedUnixMs && now < t.EndedAt+unreachablePause {
		s.endpointState(e.ID).health.RecordRefusal(t.EndedAt + unreachablePause)
	}
}
