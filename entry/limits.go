package entry

import (
	"fmt"
	"sync"
	"time"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/limits"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
)

// customerLimits enforces this entry's share of the customers' rate limits.
type customerLimits struct {
	mu      sync.Mutex
	limiter *limits.Limiter
}

// charge deducts the prompt's tokens from the customer's limit. Its rate_limited
// error carries the delay after which the prompt would be admitted.
func (e *Entry) charge(p *promptRequest) error {
	c := p.config.Doc.Customers[p.customer]
	p.chargedTokens = prefix.EstimateTokens(p.text) + p.maxTokens
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	e.limits.limiter.SetEntries(e.entryIDs())
	ok, retryAfter := e.limits.limiter.Take(p.customer, limits.Limit{TokensPerSecond: c.TokensPerSecond, BurstTokens: c.BurstTokens}, float64(p.chargedTokens), time.Now())
	if ok {
		return nil
	}
	return apierr.NewRetryable(apierr.RateLimited, apierr.NotRun, retryAfter, fmt.Sprintf("the customer's limit of %.0f tokens per second is used up", c.TokensPerSecond), "retry after the time given, or ask for a higher limit")
}

// refundUnused returns the tokens that the prompt was charged for but did not use,
// because it did not run or its answer was shorter than max_tokens.
func (e *Entry) refundUnused(p *promptRequest, end *rpc.End, err error) {
	unused := 0
	switch {
	case end != nil:
		unused = p.chargedTokens - int(end.PromptTokens+end.CompletionTokens)
	case err != nil && apierr.From(err).Ran == apierr.NotRun:
		unused = p.chargedTokens
	}
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	e.limits.limiter.Refund(p.customer, float64(max(0, unused)))
}

func (e *Entry) entryIDs() []string {
	var ids []string
	if e.opts.Members == nil {
		return nil
	}
	for _, m := range e.opts.Members.All() {
		if m.Role == node.RoleEntry && m.State != node.Gone {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// DemandReport returns the customers' demand at this entry, to be sent to the other entries
// every limits.ReportInterval. The first item has no customer: it is a heartbeat that
// must be sent even if no customer is near its limit.
func (e *Entry) DemandReport() []*rpc.CustomerUsage {
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	var out []*rpc.CustomerUsage
	for _, d := range e.limits.limiter.Report(time.Now()) {
		out = append(out, &rpc.CustomerUsage{Entry: d.Entry, Customer: d.Customer, TokensPerSecond: uint32(d.TokensPerSecond)})
	}
	return out
}

// ApplyDemandReport applies the demand reported by other entries. All items of one entry
// must be passed in one call.
func (e *Entry) ApplyDemandReport(demands []*rpc.CustomerUsage, sent time.Time) {
	in := make([]limits.Demand, 0, len(demands))
	for _, d := range demands {
		in = append(in, limits.Demand{Entry: d.Entry, Customer: d.Customer, TokensPerSecond: float64(d.TokensPerSecond)})
	}
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	e.limits.limiter.ApplyReports(in, sent)
}
