package local

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/galenaweir/galenaweir/core/config"
)

const defaultSlots = 16

// document returns the deployment's configuration.
func (d *Deployment) document() *config.Document {
	doc := &config.Document{
		Deployment:     "guj-west",
		FailureDomains: map[string]config.FailureDomain{},
		Customers:      map[string]config.Customer{},
		Links:          map[string]config.Link{},
		Stores:         map[string]config.Store{},
		Priorities: map[string]config.Priority{
			"interactive": {Rank: 2, ReservedSlots: 2, DefaultDeadlineMs: 10_000},
			"standard":    {Rank: 1, MinShare: 0.2, DefaultDeadlineMs: 60_000},
			"batch":       {Rank: 0, MinShare: 0.1, DefaultDeadlineMs: 600_000},
		},
		Models: map[string]config.Model{Model: {
			WeightVersion: "v1", MaxLoading: 2, MinServingShare: 0.5, KVBytesPerToken: 16,
			PrefillTokensPerSecond: 8000, DecodeMsPerToken: 5, MaxContextTokens: 131_072,
		}},
		Services: map[string]config.Service{Service: {Rules: []config.Rule{
			{Method: "POST", PathPrefix: "/payments", TimeoutMs: 5000},
			{Method: "GET", PathPrefix: "/balances/", Idempotent: true, Lookup: true, TimeoutMs: 2000},
			{Method: "POST", PathPrefix: "/echo", Idempotent: true, TimeoutMs: 2000},
		}}},
		Endpoints: map[string]config.Endpoint{},
		Policies:  config.Policies{Routing: "routing.prefix_cost", Admission: "admission.fair", Placement: "placement.value"},
		Claims:    config.Claims{Partitions: 16, KeyWindowSeconds: 86_400, GroupIntervalMs: 40, MaxAnswerBytes: 65_536},
	}
	for _, fd := range failureDomains {
		doc.FailureDomains[fd] = config.FailureDomain{Region: "gujarat"}
	}
	slots := d.options.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	for i, a := range d.EngineAddresses {
		if d.Forwarders != nil {
			a = d.Forwarders[i].Address()
		}
		doc.Endpoints[fmt.Sprintf("naviq-%d", i)] = config.Endpoint{
			Host: fmt.Sprintf("host-%d", i), FailureDomain: failureDomains[i%len(failureDomains)], Agent: agentName(i),
			Address: a, Model: Model, Slots: slots, Accelerators: 4, KVTokens: 65_536,
		}
	}
	for i, a := range d.StoreAddresses {
		doc.Stores[storeName(i)] = config.Store{Address: a, FailureDomain: failureDomains[i%len(failureDomains)], MemoryBytes: 64 << 20}
		doc.Links["store-"+storeName(i)] = config.Link{From: storeName(i), To: "*", OneWayMs: 1, BytesPerSecond: storeLinkBytesPerSecond}
	}
	for i, a := range d.ServiceAddresses {
		doc.Endpoints[fmt.Sprintf("levy-%d", i)] = config.Endpoint{
			Host: fmt.Sprintf("host-%d", i), FailureDomain: failureDomains[i%len(failureDomains)], Agent: agentName(i),
			Address: a, Service: Service,
		}
	}
	for _, c := range d.options.Customers {
		doc.Customers[c] = customer(c)
	}
	return doc
}

func customer(id string) config.Customer {
	_, secret, _ := strings.Cut(APIKey(id), ".")
	salt := make([]byte, 16)
	sum := sha256.Sum256(append(salt, secret...))
	return config.Customer{
		Keys:   map[string]config.Key{"first": {Salt: hex.EncodeToString(salt), SHA256: hex.EncodeToString(sum[:])}},
		Weight: 1, TokensPerSecond: 1e9, BurstTokens: 1e9, Models: []string{Model}, Services: []string{Service},
		MaxPriority: "interactive",
	}
}
