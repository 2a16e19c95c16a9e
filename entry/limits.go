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

// customerLimits holds this entry's part of the customers' limits.
type customerLimits struct {
	mu sync.Mutex
	l  *limits.Limiter
}

// charge takes the prompt's tokens from the customer's limit; the error says
// rate_limited, with the time after which the prompt would pass.
func (e *Entry) charge(p *prompt) error {
	c := p.state.Doc.Customers[p.customer]
	p.charged = prefix.EstimateTokens(p.text) + p.maxTokens
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	e.limits.l.SetEntries(e.entries())
	ok, after := e.limits.l.Take(p.customer, limits.Limit{TokensPerSecond: c.TokensPerSecond, BurstTokens: c.BurstTokens}, float64(p.charged), time.Now())
	if ok {
		return nil
	}
	return apierr.NewRetryable(apierr.RateLimited, apierr.NotRun, after, fmt.Sprintf("the customer's limit of %.0f tokens per second is used up", c.TokensPerSecond), "retry after the time given, or ask for a higher limit")
}

// settle gives back what the prompt did not use: nothing ran, or its answer was
// shorter than it might have been.
func (e *Entry) settle(p *prompt, end *rpc.End, err error) {
	unused := 0
	switch {
	case end != nil:
		unused = p.charged - int(end.PromptTokens+end.CompletionTokens)
	case err != nil && apierr.From(err).Ran == apierr.NotRun:
		unused = p.charged
	}
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	e.limits.l.Refund(p.customer, float64(max(0, unused)))
}

func (e *Entry) entries() []string {
	var ids []string
	if e.o.Members == nil {
		return nil
	}
	for _, m := range e.o.Members.All() {
		if m.Role == node.RoleEntry && m.State != node.Gone {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Usage returns what the other entries need to know of the customers' demand, for
// the gossip every limits.ReportInterval. The first item, without a customer, is
// the sign of life that must travel even when no customer is near its limit.
func (e *Entry) Usage() []*rpc.CustomerUsage {
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	var out []*rpc.CustomerUsage
	for _, u := range e.limits.l.Report(time.Now()) {
		out = append(out, &rpc.CustomerUsage{Entry: u.Entry, Customer: u.Customer, TokensPerSecond: uint32(u.TokensPerSecond)})
	}
	return out
}

// ObserveUsage takes the reports of other entries; all items of one entry must
// come in one call.
func (e *Entry) ObserveUsage(us []*rpc.CustomerUsage, sent time.Time) {
	in := make([]limits.Demand, 0, len(us))
	for _, u := range us {
		in = append(in, limits.Demand{Entry: u.Entry, Customer: u.Customer, TokensPerSecond: float64(u.TokensPerSecond)})
	}
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	e.limits.l.ApplyReports(in, sent)
}
