// Package claimsvc connects the keeper of core/claims to the platform's log and to gRPC,
// and assigns each claim partition to two agents: the partition's keeper and a standby.
// Both run a claims.Keeper for the partition.
package claimsvc

import (
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/galenaweir/galenaweir/core/claims"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/rpc"
)

// decodeHash returns the encoded hash. A value of another length is padded or
// truncated, and then matches no real hash.
func decodeHash(b []byte) (h claims.Hash) {
	copy(h[:], b)
	return h
}

func decodeClaim(c *rpc.Claim) claims.Claim {
	return claims.Claim{
		Key: decodeHash(c.GetKeyHash()), Body: decodeHash(c.GetBodyHash()), Attempt: c.GetAttemptId(), Executor: c.GetExecutor(),
		Incarnation: c.GetExecutorIncarnation(), KeyTimeMs: c.GetKeyTimeMs(), ExpiresMs: c.GetExpiresMs(),
	}
}

func decodeOutcome(o *rpc.Outcome) claims.Outcome {
	return claims.Outcome{
		Status: o.GetStatus(), Body: o.GetBody(), ContentType: o.GetContentType(),
		BodyKept: o.GetBodyKept(), ResourceVersion: o.GetResourceVersion(),
	}
}

// decodeRecord decodes a claim record. The result has kind zero if this version does not
// know the kind of the record.
func decodeRecord(encoded *rpc.ClaimRecord) claims.Record {
	switch body := encoded.GetBody().(type) {
	case *rpc.ClaimRecord_Claim:
		return claims.Record{Kind: claims.KindClaim, Attempt: body.Claim.GetAttemptId(), Claim: decodeClaim(body.Claim)}
	case *rpc.ClaimRecord_Void:
		return claims.Record{Kind: claims.KindVoid, Attempt: body.Void.GetAttemptId()}
	case *rpc.ClaimRecord_Release:
		return claims.Record{Kind: claims.KindRelease, Attempt: body.Release.GetAttemptId()}
	case *rpc.ClaimRecord_Settle:
		return claims.Record{Kind: claims.KindOutcome, Attempt: body.Settle.GetAttemptId(), Outcome: decodeOutcome(body.Settle.GetOutcome())}
	case *rpc.ClaimRecord_Floor:
		return claims.Record{Kind: claims.KindFloor, Resource: decodeHash(body.Floor.GetResourceHash()), Version: body.Floor.GetVersion()}
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

// encodeGroup returns the encoded data of one append.
func encodeGroup(rs []claims.Record, writer string) ([]byte, error) {
	g := &rpc.ClaimGroup{Writer: writer}
	for _, r := range rs {
		g.Records = append(g.Records, encodeRecord(r))
	}
	return proto.Marshal(g)
}

// decodePage decodes a page. A malformed entry counts as empty. No reader can decode
// it, so all readers end up with the same state.
func decodePage(stream string, p logsvc.Page) claims.Page {
	page := claims.Page{FirstOffset: p.FirstOffset, NextOffset: p.NextOffset}
	for _, r := range p.Records {
		e := claims.Entry{Offset: r.Offset, TimeMs: r.TimeMs}
		var g rpc.ClaimGroup
		if err := proto.Unmarshal(r.Data, &g); err != nil {
			log.Error().Str("stream", stream).Int64("offset", r.Offset).Err(err).Msg("ignoring a malformed claim group")
		} else {
			for _, w := range g.Records {
				e.Records = append(e.Records, decodeRecord(w))
			}
		}
		page.Entries = append(page.Entries, e)
	}
	return page
}

// encodeState returns the state of the claim that holds a key, or nil if the key is not
// held.
func encodeState(h claims.Holder) *rpc.ClaimState {
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
		s.Outcome = &rpc.Outcome{} // reports only that the request ran; the outcome was not read again
	}
	return s
}
