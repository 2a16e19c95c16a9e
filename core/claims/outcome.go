package claims

import "time"

// readOutcome delays the reply until its outcome has been read from the log.
// Concurrent requests for one outcome share one read.
func (k *Keeper) readOutcome(r Reply) {
	if k.logUnavailable {
		r.Result = ResultUnavailable
		k.reply(r)
		return
	}
	at := r.Holder.OutcomePosition
	if len(k.outcomeWaiters[at]) == 0 {
		k.commands.OutcomeReads = append(k.commands.OutcomeReads, at)
	}
	k.outcomeWaiters[at] = append(k.outcomeWaiters[at], r)
}

// OutcomeReadFailed handles a failed read of an outcome. The replies still state that
// the request ran, since their Holder is settled.
func (k *Keeper) OutcomeReadFailed(now time.Time, at Position) Commands {
	for _, r := range k.takeOutcomeWaiters(at) {
		r.Result = ResultUnavailable
		k.reply(r)
	}
	return k.startDue(now)
}

// OutcomeReadDone handles a page that was read from the offset of the outcome's entry.
// If the log has trimmed that entry, the reply has an empty outcome with BodyKept
// false.
func (k *Keeper) OutcomeReadDone(now time.Time, at Position, p Page) Commands {
	for _, r := range k.takeOutcomeWaiters(at) {
		if o, ok := p.outcomeAt(at, r.Holder.Claim.Attempt); ok {
			r.Holder.Outcome = &o
		} else if p.FirstOffset > at.Offset {
			r.Holder.Outcome = &Outcome{}
		} else {
			r.Result = ResultUnavailable
		}
		k.reply(r)
	}
	return k.startDue(now)
}

func (k *Keeper) takeOutcomeWaiters(at Position) []Reply {
	rs := k.outcomeWaiters[at]
	delete(k.outcomeWaiters, at)
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
