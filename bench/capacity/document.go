package capacity

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/galenaweir/galenaweir/core/config"
)

const (
	saltBytes       = 16
	slotsPerServer  = 64
	endpointPort    = 7000
	serversPerAgent = 3
	byteValues      = 256
)

func domainName(i int) string { return fmt.Sprintf("domain-%02d", i%targetDomains) }
func regionName(i int) string {
	return fmt.Sprintf("region-%d", i%targetDomains*targetRegions/targetDomains)
}
func modelName(i int) string    { return fmt.Sprintf("model-%d", i%targetModels) }
func customerName(i int) string { return fmt.Sprintf("customer-%04d", i) }

// document returns a valid configuration with the target's endpoints, models and
// failure domains, and the given number of customers.
func document(customers int) *config.Document {
	d := &config.Document{
		Deployment:     "capacity",
		FailureDomains: map[string]config.FailureDomain{},
		Links:          map[string]config.Link{},
		Customers:      map[string]config.Customer{},
		Priorities: map[string]config.Priority{
			"interactive": {Rank: 2, ReservedSlots: 2, DefaultDeadlineMs: 10_000},
			"standard":    {Rank: 1, MinShare: 0.2, DefaultDeadlineMs: 60_000},
			"batch":       {Rank: 0, MinShare: 0.1, DefaultDeadlineMs: 600_000},
		},
		Models:    map[string]config.Model{},
		Services:  map[string]config.Service{"ledger": {Rules: []config.Rule{{Method: "POST", PathPrefix: "/payments", TimeoutMs: 5000}}}},
		Endpoints: map[string]config.Endpoint{},
		Stores:    map[string]config.Store{},
		Policies:  config.Policies{Routing: "routing.prefix_cost"},
		Claims:    config.Claims{Partitions: claimPartitions, KeyWindowSeconds: keyWindowSec, GroupIntervalMs: 40, MaxAnswerBytes: 65_536},
	}
	for i := range targetDomains {
		d.FailureDomains[domainName(i)] = config.FailureDomain{Region: regionName(i)}
	}
	for i := range targetModels {
		d.Models[modelName(i)] = config.Model{WeightVersion: "v1", MaxLoading: 2, MinServingShare: 0.5, KVBytesPerToken: 65_536,
			PrefillTokensPerSecond: 10_000, DecodeMsPerToken: 25, MaxContextTokens: 131_072}
	}
	for i := range targetEndpoints {
		a := i / serversPerAgent
		d.Endpoints[fmt.Sprintf("server-%03d", i)] = config.Endpoint{Host: fmt.Sprintf("host-%03d", a), FailureDomain: domainName(a),
			Agent: fmt.Sprintf("agent-%03d", a), Address: fmt.Sprintf("10.1.%d.%d:%d", i/byteValues, i%byteValues, endpointPort),
			Model: modelName(i), Slots: slotsPerServer, Accelerators: 4, KVTokens: 1_000_000}
	}
	for i := range customers {
		d.Customers[customerName(i)] = customer(i)
	}
	return d
}

func customer(i int) config.Customer {
	sum := sha256.Sum256([]byte(customerName(i)))
	return config.Customer{
		Keys:   map[string]config.Key{"first": {Salt: hex.EncodeToString(sum[:saltBytes]), SHA256: hex.EncodeToString(sum[:])}},
		Weight: 1, TokensPerSecond: 5000, BurstTokens: 20_000, Models: []string{modelName(i)}, Services: []string{"ledger"}, MaxPriority: "interactive",
	}
}

// canonicalText returns the canonical encoding of a document.
func canonicalText(d *config.Document) ([]byte, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode the document: %w", err)
	}
	return config.Canonical(b)
}

// firstRecord returns the record that publishes the document as version 1.
func firstRecord(text []byte) *config.Record {
	h := config.HashOf(text)
	return &config.Record{PublishID: "capacity", NewVersion: 1, NewHash: h[:], Document: text, Publisher: "capacity"}
}

// changeRecord returns the record that publishes a change of one customer's limit as
// version 2.
func changeRecord(d *config.Document, text []byte) (*config.Record, error) {
	const raised = 6000
	id := customerName(0)
	c := d.Customers[id]
	old := c
	c.TokensPerSecond = raised
	d.Customers[id] = c
	next, err := canonicalText(d)
	d.Customers[id] = old
	if err != nil {
		return nil, err
	}
	patch, err := config.Diff(text, next)
	if err != nil {
		return nil, fmt.Errorf("compute the patch: %w", err)
	}
	h, n := config.HashOf(text), config.HashOf(next)
	return &config.Record{PublishID: "capacity-2", BaseVersion: 1, BaseHash: h[:], NewVersion: 2, NewHash: n[:], Patch: patch, Publisher: "capacity"}, nil
}
