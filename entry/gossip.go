package entry

import (
	"context"
	"time"

	"github.com/galenaweir/galenaweir/core/limits"
	"github.com/galenaweir/galenaweir/core/membership"
	"github.com/galenaweir/galenaweir/rpc"
)

// UsageGossip exchanges the customers' token demand between entries.
type UsageGossip interface {
	// SetUsage sets the demand that this entry announces.
	SetUsage(us []membership.Usage)
	// Usage returns the demand announced by all entries, with the age of each report.
	Usage() []membership.Usage
}

// RunUsageExchange announces this entry's demand and applies the demand announced by other
// entries every limits.ReportInterval until ctx ends.
func (e *Entry) RunUsageExchange(ctx context.Context, g UsageGossip) {
	t := time.NewTicker(limits.ReportInterval)
	defer t.Stop()
	for {
		e.exchangeUsage(g, time.Now())
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) exchangeUsage(g UsageGossip, now time.Time) {
	var own []membership.Usage
	for _, u := range e.UsageReport() {
		own = append(own, membership.Usage{Customer: u.Customer, Entry: u.Entry, TokensPerSecond: u.TokensPerSecond})
	}
	g.SetUsage(own)
	byEntry := map[string][]*rpc.CustomerUsage{}
	sent := map[string]time.Time{}
	for _, u := range g.Usage() {
		if u.Entry == e.opts.ID {
			continue
		}
		byEntry[u.Entry] = append(byEntry[u.Entry], &rpc.CustomerUsage{Customer: u.Customer, Entry: u.Entry, TokensPerSecond: u.TokensPerSecond})
		if at := now.Add(-u.Age); at.After(sent[u.Entry]) {
			sent[u.Entry] = at
		}
	}
	for id, us := range byEntry {
		e.ApplyUsageReport(us, sent[id])
	}
}
