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

// defaultRouting is the policy of a configuration that names none.
const defaultRouting kernel.ID = "routing.prefix_cost"

// policies keeps one instance of each routing policy that configurations named.
type policies struct {
	mu   sync.Mutex
	byID map[kernel.ID]routing.Policy
}

// get returns the policy, or nil and the error of an unknown one.
func (p *policies) get(id kernel.ID) (routing.Policy, error) {
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

// policy returns the configuration's routing policy. A name that this build
// doesn't know stands for the default, so that a newer configuration can't stop
// an older entry.
func (e *Entry) policy(doc *config.Document) routing.Policy {
	if e.o.Routing != nil {
		return e.o.Routing
	}
	if id := kernel.ID(doc.Policies.Routing); id != "" {
		x, err := e.policies.get(id)
		if err == nil {
			return x
		}
		log.Error().Err(err).Str("default", string(defaultRouting)).Msg("routing policy of the configuration is unknown; the default is used")
	}
	x, err := e.policies.get(defaultRouting)
	if err != nil {
		panic(err) // the program lacks the import of package plugins
	}
	return x
}

// routed is the outcome of a routing decision.
type routed struct {
	endpoint, address string
	overShare         bool
	prefill           int                  // tokens expected
	hint              *rpc.ContextLocation // where to fetch the prefix from, nil for nowhere
}

// route chooses an endpoint and logs the decision with its inputs. A version, if
// given, leaves out the endpoints known to have another loaded.
func (e *Entry) route(p *prompt, skip map[string]bool, version string) (routed, error) {
	m := p.state.Doc.Models[p.model]
	req := &routing.Request{
		Customer: p.customer, Conversation: p.conversation, Priority: p.priority, PromptTokens: prefix.EstimateTokens(p.text),
		MaxTokens: p.maxTokens, PrefillRate: m.PrefillTokensPerSecond, DecodeMsPerToken: m.DecodeMsPerToken,
		KVBytesPerToken: m.KVBytesPerToken, StickyHash: stickyHash(p.conversation),
	}
	stored := storeHint(p.hints, m.WeightVersion)
	q := candidateQuery{
		model: p.model, version: version, skip: skip, class: p.state.Doc.Priorities[p.priority].Rank,
		customer: p.customer, prefillRate: m.PrefillTokensPerSecond, store: stored.GetStore(),
	}
	cs := e.view.candidates(e.indexes.of(p.state, e.o.FailureDomain), e.o.Members, q)
	applyHints(cs, p.hints, m.WeightVersion, req.PromptTokens)
	policy := e.policy(p.state.Doc)
	e.rngMu.Lock()
	choice := policy.Choose(req, cs, e.rng)
	e.rngMu.Unlock()
	if choice.Index < 0 {
		return routed{}, apierr.NewRetryable(apierr.NoEndpoint, apierr.NotRun, time.Second, fmt.Sprintf("no endpoint of model %q is free to take the request", p.model), "retry; operators: look at the members and the rollout")
	}
	c := &cs[choice.Index]
	mem, _ := e.o.Members.Get(c.Agent)
	r := routed{endpoint: c.Endpoint, address: mem.Address}
	take := chosen{endpoint: c.Endpoint, customer: p.customer, prefillRate: m.PrefillTokensPerSecond, weight: p.state.Doc.Customers[p.customer].Weight}
	held := c.EnginePrefixTokens
	if choice.FetchPrefix {
		r.hint, take.store = stored, stored.GetStore()
		take.fetchBytes = float64(c.StorePrefixTokens-c.EnginePrefixTokens) * float64(m.KVBytesPerToken)
		held = c.StorePrefixTokens
	}
	take.prefill = max(1, req.PromptTokens-held)
	r.prefill = take.prefill
	r.overShare = e.view.chose(take)
	logRoute(p, req, cs, choice)
	return r, nil
}

// logRoute writes the decision with all that it was made from; rates and sizes are
// those of the configuration version. bench/trace reads these lines as a trace,
// and docs/tuning.md explains the fields of the candidates.
func logRoute(p *prompt, req *routing.Request, cs []routing.Candidate, choice routing.Choice) {
	log.Info().Str("decision", "route").Str("request", p.id).Str("customer", p.customer).Str("model", p.model).
		Str("conversation", p.conversation).Str("priority", p.priority).Int("prompt_tokens", req.PromptTokens).
		Int("max_tokens", p.maxTokens).Int64("deadline_ms", time.Until(p.deadline).Milliseconds()).
		Int64("config_version", p.state.Version).Str("endpoint", cs[choice.Index].Endpoint).
		Dur("estimate", choice.EstimatedTTFT).Bool("fetch", choice.FetchPrefix).Any("candidates", cs).Msg("routed")
}

// stickyHash returns the first bytes of the conversation's keyed hash.
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

// storeHint returns the hint of the store that holds most of the prefix for the
// weight version, nil for none.
func storeHint(hints []*rpc.ContextLocation, weightVersion string) *rpc.ContextLocation {
	var best *rpc.ContextLocation
	for _, h := range hints {
		if h.Store != "" && h.WeightVersion == weightVersion && h.StoreTokens > best.GetStoreTokens() {
			best = h
		}
	}
	return best
}
