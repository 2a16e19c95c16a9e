package entry

import (
	"context"
	"time"

	"github.com/galenaweir/galenaweir/core/limits"
	"github.com/galenaweir/galenaweir/core/membership"
	"github.com/galenaweir/galenaweir/rpc"
)

// DemandGossip exchanges the customers' token demand between entries.
type DemandGossip interface {
	// SetDemands sets the demand that this entry announces.
	SetDemands(demands []membership.Demand)
	// Demands returns the demand announced by all entries, with the age of each report.
	Demands() []membership.Demand
}

// RunDemandExchange announces this entry's demand and applies the demand announced by other
// entries every limits.ReportInterval until ctx ends.
func (e *Entry) RunDemandExchange(ctx context.Context, g DemandGossip) {
	t := time.NewTicker(limits.ReportInterval)
	defer t.Stop()
	for {
		e.exchangeDemands(g, time.Now())
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) exchangeDemands(g DemandGossip, now time.Time) {
	var own []membership.Demand
	for _, d := range e.DemandReport() {
		own = append(own, membership.Demand{Customer: d.Customer, Entry: d.Entry, TokensPerSecond: d.TokensPerSecond})
	}
	g.SetDemands(own)
	byEntry := map[string][]*rpc.CustomerUsage{}
	sent := map[string]time.Time{}
	for _, d := range g.Demands() {
		if d.Entry == e.opts.ID {
			continue
		}
		byEntry[d.Entry] = append(byEntry[d.Entry], &rpc.CustomerUsage{Customer: d.Customer, Entry: d.Entry, TokensPerSecond: d.TokensPerSecond})
		if at := now.Add(-d.Age); at.After(sent[d.Entry]) {
			sent[d.Entry] = at
		}
	}
	for id, demands := range byEntry {
		e.ApplyDemandReport(demands, sent[id])
	}
}
