package replay

import (
	"fmt"
	"time"

	"github.com/galenaweir/galenaweir/core/limits"
)

const (
	// limitHeadroom is the sum of the customers' limits over the prefill rate of
	// all engines. In the examples' configurations it is about two, since most
	// of a prompt is cached.
	limitHeadroom = 2
	// limitBurst is the burst in time at the limit's rate, as in the examples.
	limitBurst = 10 * time.Second
	// usageDelay is the time until a report of an entry has reached the others
	// on their finger ring (design 5).
	usageDelay = time.Second
)

// weight is 1 for a customer with an even share.
func (s *sim) weight(customer string) float64 {
	if share, ok := s.contracted[customer]; ok {
		return share * float64(len(s.contracted))
	}
	return 1
}

// charge takes the request's tokens from its customer's limit; false if they
// exceed it. Customers without a contracted share have no limit.
func (e *entry) charge(r *request) bool {
	share, ok := e.s.contracted[r.customer]
	if !ok || e.s.o.NoLimits {
		return true
	}
	d := e.s.t.Deployment
	rate := share * limitHeadroom * d.PrefillRate * float64(d.Endpoints)
	granted, _ := e.limits.Take(r.customer, limits.Limit{TokensPerSecond: rate, BurstTokens: rate * limitBurst.Seconds()}, float64(r.prompt+r.output), at(e.s.c.now))
	return granted
}

// settle gives back the tokens of a request that did not run. Outputs of the
// traces are as long as they may be, so that others leave nothing to give back.
func (e *entry) settle(r *request) {
	if r.refused {
		e.limits.Refund(r.customer, float64(r.prompt+r.output))
	}
}

func (e *entry) limitsID() string { return fmt.Sprintf("entry-%02d", e.id) }

// exchangeUsage passes the entries' reports of their customers' demand.
func (s *sim) exchangeUsage(end time.Duration) {
	var ids []string
	for _, e := range s.entries {
		if !e.lost {
			ids = append(ids, e.limitsID())
		}
	}
	sent := at(s.c.now)
	for _, e := range s.entries {
		if e.lost {
			continue
		}
		e.limits.SetEntries(ids)
		report := e.limits.Report(sent)
		s.c.after(usageDelay, func() {
			for _, o := range s.entries {
				o.limits.ApplyReports(report, sent)
			}
		})
	}
	if s.c.now < end {
		s.c.after(limits.ReportInterval, func() { s.exchangeUsage(end) })
	}
}
