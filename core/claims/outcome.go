package claims

import "time"

// readOutcome delays the reply until its outcome has been read from the log.
// Concurrent requests for one outcome share one read.
func (co *Keeper) readOutcome(r Reply) {
	if co.logUnavailable {
		r.Result = ResultUnavailable
		co.reply(r)
		return
	}
	at := r.Holding.At
	if len(co.outcomeWaiters[at]) == 0 {
		co.commands.Outcomes = append(co.commands.Outcomes, at)
	}
	co.outcomeWaiters[at] = append(co.outcomeWaiters[at], r)
}

// OutcomeFailed handles a failed read of an outcome. The replies still state that
// the request ran, since their Holding is settled.
func (co *Keeper) OutcomeFailed(now time.Time, at Position) Commands {
	for _, r := range co.takeOutcomeWaiters(at) {
		r.Result = ResultUnavailable
		co.reply(r)
	}
	return co.startDue(now)
}

// OutcomeRead handles a page that was read from the offset of the outcome's entry.
// If the log has trimmed that entry, the reply has an empty outcome with BodyKept
// false.
func (co *Keeper) OutcomeRead(now time.Time, at Position, p Page) Commands {
	for _, r := range co.takeOutcomeWaiters(at) {
		if o, ok := p.outcomeAt(at, r.Holding.Claim.Attempt); ok {
			r.Holding.Outcome = &o
		} else if p.First > at.Offset {
			r.Holding.Outcome = &Outcome{}
		} else {
			r.Result = ResultUnavailable
		}
		co.reply(r)
	}
	return co.startDue(now)
}

func (co *Keeper) takeOutcomeWaiters(at Position) []Reply {
	rs := co.outcomeWaiters[at]
	delete(co.outcomeWaiters, at)
	return rs
}

// outcomeAt returns the attempt's outcome if the page contains it at the position.
func (p Page) outcomeAt(at Position, attempt string) (Outcome, bool) {
	for _, e := range p.Entries {
		if e.Offset != at.Offset || at.Index >= len(e.Records) {
			continue
		}
		r := e.Records[at.Index]
		return r.Outcome, r.Kind == KindOutcome && r.Attempt == attempt
	}
	return Outcome{}, false
}
