// Package claimsvc connects the claim keeper of core/claims to the platform's
// log and to gRPC, and finds the keeper of a partition.
package claimsvc

import (
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/galenaweir/galenaweir/core/claims"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/rpc"
)

// hashOf returns the hash on the wire. A hash of another length is padded or
// cut, and then equals no real one.
func hashOf(b []byte) (h claims.Hash) {
	copy(h[:], b)
	return h
}

func claimOf(c *rpc.Claim) claims.Claim {
	return claims.Claim{
		Key: hashOf(c.GetKeyHash()), Body: hashOf(c.GetBodyHash()), Attempt: c.GetAttemptId(), Executor: c.GetExecutor(),
		Incarnation: c.GetExecutorIncarnation(), KeyTimeMs: c.GetKeyTimeMs(), ExpiresMs: c.GetExpiresMs(),
	}
}

func outcomeOf(o *rpc.Outcome) claims.Outcome {
	return claims.Outcome{
		Status: o.GetStatus(), Body: o.GetBody(), ContentType: o.GetContentType(),
		BodyKept: o.GetBodyKept(), ResourceVersion: o.GetResourceVersion(),
	}
}

// recordOf returns the record of its wire form; its kind is zero when the form
// is not known.
func recordOf(w *rpc.ClaimRecord) claims.Record {
	switch b := w.GetBody().(type) {
	case *rpc.ClaimRecord_Claim:
		return claims.Record{Kind: claims.KindClaim, Attempt: b.Claim.GetAttemptId(), Claim: claimOf(b.Claim)}
	case *rpc.ClaimRecord_Void:
		return claims.Record{Kind: claims.KindVoid, Attempt: b.Void.GetAttemptId()}
	case *rpc.ClaimRecord_Release:
		return claims.Record{Kind: claims.KindRelease, Attempt: b.Release.GetAttemptId()}
	case *rpc.ClaimRecord_Settle:
		return claims.Record{Kind: claims.KindOutcome, Attempt: b.Settle.GetAttemptId(), Outcome: outcomeOf(b.Settle.GetOutcome())}
	case *rpc.ClaimRecord_Floor:
		return claims.Record{Kind: claims.KindFloor, Resource: hashOf(b.Floor.GetResourceHash()), Version: b.Floor.GetVersion()}
	}
	return claims.Record{}
}

func encodeClaim(c claims.Claim) *rpc.Claim {
	return &rpc.Claim{
		KeyHash: c.Key[:], BodyHash: c.Body[:], AttemptId: c.Attempt, Executor: c.Executor,
		ExecutorIncarnation: c.Incarnation, KeyTimeMs: c.KeyTimeMs, ExpiresMs: c.ExpiresMs,
	}
}

func encodeOutcome(o claims.Outcome) *rpc.Outcome {
	return &rpc.Outcome{Status: o.Status, Body: o.Body, ContentType: o.ContentType, BodyKept: o.BodyKept, ResourceVersion: o.ResourceVersion}
}

func encodeRecord(r claims.Record) *rpc.ClaimRecord {
	switch r.Kind {
	case claims.KindClaim:
		return &rpc.ClaimRecord{Body: &rpc.ClaimRecord_Claim{Claim: encodeClaim(r.Claim)}}
	case claims.KindVoid:
		return &rpc.ClaimRecord{Body: &rpc.ClaimRecord_Void{Void: &rpc.Void{AttemptId: r.Attempt}}}
	case claims.KindRelease:
		return &rpc.ClaimRecord{Body: &rpc.ClaimRecord_Release{Release: &rpc.Release{AttemptId: r.Attempt}}}
	case claims.KindOutcome:
		return &rpc.ClaimRecord{Body: &rpc.ClaimRecord_Settle{Settle: &rpc.Settle{AttemptId: r.Attempt, Outcome: encodeOutcome(r.Outcome)}}}
	}
	return &rpc.ClaimRecord{Body: &rpc.ClaimRecord_Floor{Floor: &rpc.Floor{ResourceHash: r.Resource[:], Version: r.Version}}}
}

// encodeGroup returns the data of one append.
func encodeGroup(rs []claims.Record, writer string) ([]byte, error) {
	g := &rpc.ClaimGroup{Writer: writer}
	for _, r := range rs {
		g.Records = append(g.Records, encodeRecord(r))
	}
	return proto.Marshal(g)
}

// pageOf decodes a page. An entry that can't be decoded counts as empty: no
// reader can decode it, so all readers agree.
func pageOf(stream string, p logsvc.Page) claims.Page {
	page := claims.Page{FirstOffset: p.First, NextOffset: p.Next}
	for _, r := range p.Records {
		e := claims.Entry{Offset: r.Offset, TimeMs: r.TimeMs}
		var g rpc.ClaimGroup
		if err := proto.Unmarshal(r.Data, &g); err != nil {
			log.Error().Str("stream", stream).Int64("offset", r.Offset).Err(err).Msg("claim group is malformed; ignored")
		} else {
			for _, w := range g.Records {
				e.Records = append(e.Records, recordOf(w))
			}
		}
		page.Entries = append(page.Entries, e)
	}
	return page
}

func stateOf(h claims.Holder) *rpc.ClaimState {
	if h.Claim.Attempt == "" {
		return nil
	}
	s := &rpc.ClaimState{
		AttemptId: h.Claim.Attempt, Executor: h.Claim.Executor, ExecutorIncarnation: h.Claim.Incarnation, BodyHash: h.Claim.Body[:],
	}
	switch {
	case h.Outcome != nil:
		s.Outcome = encodeOutcome(*h.Outcome)
	case h.Settled:
		s.Outcome = &rpc.Outcome{} // tells that the request ran; it was not read again
	}
	return s
}
