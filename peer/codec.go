package peer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/membership"
	"github.com/galenaweir/galenaweir/rpc"
)

// EncodeGossipMessage returns the protobuf form of a gossip message.
func EncodeGossipMessage(m membership.Message) *rpc.GossipMessage {
	w := &rpc.GossipMessage{From: m.From, Incarnation: m.Incarnation, ConfigVersion: m.ConfigVersion, ConfigHash: m.ConfigHash, Updates: encodeMembers(m.Updates)}
	for _, d := range m.Demands {
		w.Usage = append(w.Usage, &rpc.CustomerUsage{Customer: d.Customer, Entry: d.Entry, TokensPerSecond: d.TokensPerSecond, AgeMs: uint32(d.Age.Milliseconds())})
	}
	return w
}

func decodeGossipMessage(w *rpc.GossipMessage) membership.Message {
	m := membership.Message{From: w.GetFrom(), Incarnation: w.GetIncarnation(), ConfigVersion: w.GetConfigVersion(), ConfigHash: w.GetConfigHash(), Updates: decodeMembers(w.GetUpdates())}
	for _, d := range w.GetUsage() {
		m.Demands = append(m.Demands, membership.Demand{Customer: d.Customer, Entry: d.Entry, TokensPerSecond: d.TokensPerSecond, Age: time.Duration(d.AgeMs) * time.Millisecond})
	}
	return m
}

// EncodeMembers returns the protobuf form of a member snapshot.
func EncodeMembers(ms []membership.Member) *rpc.FetchMembersReply {
	return &rpc.FetchMembersReply{Members: encodeMembers(ms)}
}

func encodeMembers(ms []membership.Member) []*rpc.MemberUpdate {
	var out []*rpc.MemberUpdate
	for _, m := range ms {
		u := &rpc.MemberUpdate{Id: m.ID, Address: m.Address, Role: m.Role, FailureDomain: m.FailureDomain, Region: m.Region,
			State: uint32(m.State), Incarnation: m.Incarnation, ConfigVersion: m.ConfigVersion}
		for _, e := range m.Endpoints {
			u.Endpoints = append(u.Endpoints, &rpc.EndpointState{Endpoint: e.ID, WeightVersion: e.WeightVersion, Leaving: e.Leaving, Stage: e.RolloutStage})
		}
		out = append(out, u)
	}
	return out
}

func decodeMembers(us []*rpc.MemberUpdate) []membership.Member {
	var out []membership.Member
	for _, u := range us {
		m := membership.Member{ID: u.Id, Address: u.Address, Role: u.Role, FailureDomain: u.FailureDomain, Region: u.Region,
			State: membership.State(u.State), Incarnation: u.Incarnation, ConfigVersion: u.ConfigVersion}
		for _, e := range u.Endpoints {
			m.Endpoints = append(m.Endpoints, membership.Endpoint{ID: e.Endpoint, WeightVersion: e.WeightVersion, Leaving: e.Leaving, RolloutStage: e.Stage})
		}
		out = append(out, m)
	}
	return out
}

// EncodeConfigRecord returns the protobuf form of a record of the configuration stream.
func EncodeConfigRecord(r *config.Record) *rpc.ConfigRecord {
	return &rpc.ConfigRecord{PublishId: r.PublishID, BaseVersion: r.BaseVersion, BaseHash: r.BaseHash, NewVersion: r.NewVersion, NewHash: r.NewHash,
		Patch: r.Patch, Document: r.Document, Publisher: r.Publisher, Snapshot: r.Snapshot, AsOfOffset: r.AsOfOffset}
}

func decodeConfigRecord(w *rpc.ConfigRecord) *config.Record {
	return &config.Record{PublishID: w.PublishId, BaseVersion: w.BaseVersion, BaseHash: w.BaseHash, NewVersion: w.NewVersion, NewHash: w.NewHash,
		Patch: w.Patch, Document: w.Document, Publisher: w.Publisher, Snapshot: w.Snapshot, AsOfOffset: w.AsOfOffset}
}

// parseRecord decodes the data of a log record. It returns nil for malformed data.
func parseRecord(data []byte) *config.Record {
	var w rpc.ConfigRecord
	if proto.Unmarshal(data, &w) != nil {
		return nil
	}
	return decodeConfigRecord(&w)
}
