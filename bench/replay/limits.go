package replay

import (
	"fmt"
	"time"

	"github.com/galenaweir/galenaweir/core/limits"
)

const (
	// limitHeadroom is the ratio of the sum of the customers' limits to the prefill
	// rate of all engines. It is about two in the example configurations, since
	// most of a prompt is cached.
	limitHeadroom = 2
	// limitBurstTime is the size of the burst, as the time that it takes at the
	// limit's rate. The example configurations use the same value.
	limitBurstTime = 10 * time.Second
	// demandReportDelay is the time until an entry's demand report has reached the
	// other entries over their finger ring (design section 5).
	demandReportDelay = time.Second
)

// weight returns the customer's share relative to an even share, or 1 if it has no
// contracted share.
func (s *sim) weight(customer string) float64 {
	if share, ok := s.contractedShares[customer]; ok {
		return share * float64(len(s.contractedShares))
	}
	return 1
}

// chargeLimit charges the request's tokens to its customer's limit. It returns false
// if they exceed the limit. Customers without a contracted share have no limit.
func (e *entry) chargeLimit(r *request) bool {
	share, ok := e.sim.contractedShares[r.customer]
	if !ok || e.sim.options.NoLimits {
		return true
	}
	d := e.sim.trace.Deployment
	rate := share * limitHeadroom * d.PrefillTokensPerSecond * float64(d.Endpoints)
	granted, _ := e.limits.Take(r.customer, limits.Limit{TokensPerSecond: rate, BurstTokens: rate * limitBurstTime.Seconds()}, float64(r.promptTokens+r.outputTokens), wallTime(e.sim.clock.now))
	return granted
}

// refundLimit refunds the tokens of a request that did not run. Requests that ran
// have nothing to refund, since all outputs in the traces have the maximum length.
func (e *entry) refundLimit(r *request) {
	if r.refused {
		e.limits.Refund(r.customer, float64(r.promptTokens+r.outputTokens))
	}
}

func (e *entry) limitsID() string { return fmt.Sprintf("entry-%02d", e.id) }

// exchangeDemands sends each entry's report on its customers' demand to all entries,
// and schedules the next exchange.
func (s *sim) exchangeDemands(end time.Duration) {
	var ids []string
	for _, e := range s.entries {
		if !e.lost {
			ids = append(ids, e.limitsID())
		}
	}
	sent := wallTime(s.clock.now)
	for _, e := range s.entries {
		if e.lost {
			continue
		}
		e.limits.SetEntries(ids)
		report := e.limits.Report(sent)
		s.clock.after(demandReportDelay, func() {
			for _, o := range s.entries {
				o.limits.ApplyReports(report, sent)
			}
		})
	}
	if s.clock.now < end {
		s.clock.after(limits.ReportInterval, func() { s.exchangeDemands(end) })
	}
}
