package entry

import (
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/core/routing"
	"github.com/galenaweir/galenaweir/rpc"
)

// defaultRoutingPolicy is used if the configuration names no known policy.
const defaultRoutingPolicy kernel.ID = "routing.prefix_cost"

// routingPolicies caches one instance of each routing policy.
type routingPolicies struct {
	mu   sync.Mutex
	byID map[kernel.ID]routing.Policy
}

// get returns the policy with the ID, or an error if there is none.
func (p *routingPolicies) get(id kernel.ID) (routing.Policy, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x, ok := p.byID[id]; ok {
		return x, nil
	}
	x, err := kernel.New[routing.Policy](id)
	if err != nil {
		return nil, err
	}
	if p.byID == nil {
		p.byID = map[kernel.ID]routing.Policy{}
	}
	p.byID[id] = x
	return x, nil
}

// routingPolicy returns the routing policy of the configuration. If this build doesn't
// know it, the default is used, so that a newer configuration can't stop an older
// entry.
func (e *Entry) routingPolicy(doc *config.Document) routing.Policy {
	if e.opts.RoutingPolicy != nil {
		return e.opts.RoutingPolicy
	}
	if id := kernel.ID(doc.Policies.Routing); id != "" {
		x, err := e.routingPolicies.get(id)
		if err == nil {
			return x
		}
		log.Error().Err(err).Str("default", string(defaultRoutingPolicy)).Msg("unknown routing policy in configuration; using the default")
	}
	x, err := e.routingPolicies.get(defaultRoutingPolicy)
	if err != nil {
		panic(err) // the program does not import package plugins
	}
	return x
}

// routeDecision is the result of routing a prompt.
type routeDecision struct {
	endpoint, address string
	overShare         bool
	prefillTokens     int                  // expected number of tokens to prefill
	fetchHint         *rpc.ContextLocation // location to fetch the prefix from; nil if there is none
}

// route chooses an endpoint and logs the decision with its inputs. If a weight version
// is given, endpoints known to have loaded another one are excluded.
func (e *Entry) route(p *promptRequest, excluded map[string]bool, version string) (routeDecision, error) {
	m := p.config.Doc.Models[p.model]
	req := &routing.Request{
		Customer: p.customer, Conversation: p.conversation, Priority: p.priority, PromptTokens: prefix.EstimateTokens(p.text),
		MaxTokens: p.maxTokens, PrefillRate: m.PrefillTokensPerSecond, DecodeMsPerToken: m.DecodeMsPerToken,
		KVBytesPerToken: m.KVBytesPerToken, StickyHash: stickyHash(p.conversation),
	}
	storeLocation := bestStoreHint(p.hints, m.WeightVersion)
	q := candidateQuery{
		model: p.model, weightVersion: version, excluded: excluded, priorityRank: p.config.Doc.Priorities[p.priority].Rank,
		customer: p.customer, prefillRate: m.PrefillTokensPerSecond, store: storeLocation.GetStore(),
	}
	cs := e.view.candidates(e.endpointIndexes.get(p.config, e.opts.FailureDomain), e.opts.Members, q)
	applyHints(cs, p.hints, m.WeightVersion, req.PromptTokens)
	policy := e.routingPolicy(p.config.Doc)
	e.rngMu.Lock()
	choice := policy.Choose(req, cs, e.rng)
	e.rngMu.Unlock()
	if choice.Index < 0 {
		return routeDecision{}, apierr.NewRetryable(apierr.NoEndpoint, apierr.NotRun, time.Second, fmt.Sprintf("no endpoint of model %q is free to take the request", p.model), "retry; operators: look at the members and the rollout")
	}
	c := &cs[choice.Index]
	member, _ := e.opts.Members.Get(c.Agent)
	r := routeDecision{endpoint: c.Endpoint, address: member.Address}
	assigned := assignment{endpoint: c.Endpoint, customer: p.customer, prefillRate: m.PrefillTokensPerSecond, weight: p.config.Doc.Customers[p.customer].Weight}
	cachedTokens := c.EnginePrefixTokens
	if choice.FetchPrefix {
		r.fetchHint, assigned.store = storeLocation, storeLocation.GetStore()
		assigned.fetchBytes = float64(c.StorePrefixTokens-c.EnginePrefixTokens) * float64(m.KVBytesPerToken)
		cachedTokens = c.StorePrefixTokens
	}
	assigned.prefillTokens = max(1, req.PromptTokens-cachedTokens)
	r.prefillTokens = assigned.prefillTokens
	r.overShare = e.view.recordAssignment(assigned)
	logRoute(p, req, cs, choice)
	return r, nil
}

// logRoute logs the decision with all of its inputs; the rates and sizes are those of
// the logged configuration version. bench/trace reads these lines as a trace, and
// docs/tuning.md explains the fields of the candidates.
func logRoute(p *promptRequest, req *routing.Request, cs []routing.Candidate, choice routing.Choice) {
	log.Info().Str("decision", "route").Str("request", p.id).Str("customer", p.customer).Str("model", p.model).
		Str("conversation", p.conversation).Str("priority", p.priority).Int("prompt_tokens", req.PromptTokens).
		Int("max_tokens", p.maxTokens).Int64("deadline_ms", time.Until(p.deadline).Milliseconds()).
		Int64("config_version", p.config.Version).Str("endpoint", cs[choice.Index].Endpoint).
		Dur("estimate", choice.EstimatedTTFT).Bool("fetch", choice.FetchPrefix).Any("candidates", cs).Msg("routed")
}

// stickyHash returns the first 8 bytes of the conversation's keyed hash.
func stickyHash(conversation string) uint64 {
	b, err := hex.DecodeString(conversation)
	if err != nil {
		return 0
	}
	var h uint64
	for _, x := range b[:min(len(b), 8)] {
		h = h<<8 | uint64(x)
	}
	return h
}

// bestStoreHint returns the hint of the store that holds the longest prefix for the
// weight version, or nil if there is none.
func bestStoreHint(hints []*rpc.ContextLocation, weightVersion string) *rpc.ContextLocation {
	var best *rpc.ContextLocation
	for _, h := range hints {
		if h.Store != "" && h.WeightVersion == weightVersion && h.StoreTokens > best.GetStoreTokens() {
			best = h
		}
	}
	return best
}
