package gateway

import (
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/forward"
)

// maxReportedReuses is the number of reused addresses in one load report.
const maxReportedReuses = 64

// reportReuse is an endpoint whose address another endpoint had when the sender sent it a request.
type reportReuse struct {
	Endpoint uint32 // hash of the endpoint's ID
	Started  int64  // StartedUnixMs of the entry that the request was placed on
	LeftMs   int64  // of the pause
}

// addressReused reports whether the answer to an attempt means that another endpoint now has the
// address. The caller holds the state's mutex.
func (q *request) addressReused(s *state, p *placement, x *exchangeError, now time.Duration) bool {
	if s.settings.Scheduling == nil {
		return p.choice.Version == 0
	}
	m := forward.Misdirection{Endpoint: p.endpoint.ID, ExpectedVersion: p.choice.Version, StatedEndpoint: x.statedEndpoint, StatedVersion: x.statedVersion}
	if q.call.Prompt != nil {
		model := q.call.Prompt.Model
		m.NewestVersion = max(s.rollout.NewestTargets()[model], s.endpointState(p.endpoint.ID).observedVersions[model])
		if e, ok := s.endpointList.Get(p.endpoint.ID, now); ok {
			m.NewestVersion = max(m.NewestVersion, e.WeightVersion(model))
		}
	}
	return m.AddressReused()
}

// pauseReusedAddress pauses an endpoint whose address another one now has, and has the peers told. The
// caller holds the state's mutex.
func (g *Gateway) pauseReusedAddress(s *state, e *forward.Endpoint, now time.Duration) {
	st := s.endpointState(e.ID)
	st.health.RecordRefusal(now + misdirectedPause)
	if s.settings.Scheduling == nil {
		return
	}
	if now >= st.reusedUntil {
		g.addressesReused.Add(1)
		log.Info().Str("event", "address_reused").Str("endpoint", e.ID).Str("service", e.Service).Dur("pause_ms", misdirectedPause).Msg("another endpoint has the address; the endpoint gets no requests for the pause unless no other can take them")
	}
	st.reusedUntil = now + misdirectedPause
	g.requestReport()
}

// reusesToReport returns the endpoints that this process has paused because another endpoint had their
// address. Each is reported until its pause ends, as a report may be lost.
func (s *state) reusesToReport(now time.Duration) (out boundedList[reportReuse]) {
	for _, e := range s.endpoints {
		if now < e.reusedUntil && len(out) < maxReportedReuses {
			out = append(out, reportReuse{e.hash, e.started, (e.reusedUntil - now).Milliseconds()})
		}
	}
	return out
}

// applyReuses pauses the endpoints that a peer has paused. A report may be late or repeated: an entry
// of the endpoint that began later than the one that the peer knew is not paused, and no pause is
// longer than one that begins now.
func (s *state) applyReuses(reuses []reportReuse, now time.Duration) {
	if s.settings.Scheduling == nil {
		return
	}
	for _, r := range reuses {
		id, known := s.endpointsByHash[r.Endpoint]
		if !known || r.LeftMs <= 0 {
			continue
		}
		if e, listed := s.endpointList.Get(id, now); listed && r.Started != 0 && e.StartedUnixMs > r.Started {
			continue
		}
		s.endpointState(id).health.RecordRefusal(now + milliseconds(min(r.LeftMs, misdirectedPause.Milliseconds())))
	}
}
