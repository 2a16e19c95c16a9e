package claims

import "time"

// readOutcome lets the reply wait for a read of its outcome, of which there is one
// at a time for all repeats of a key.
func (k *Keeper) readOutcome(r Reply) {
	if k.down {
		r.Result = ResultUnavailable
		k.reply(r)
		return
	}
	at := r.Holding.At
	if len(k.repeats[at]) == 0 {
		k.out.Outcomes = append(k.out.Outcomes, at)
	}
	k.repeats[at] = append(k.repeats[at], r)
}

// OutcomeFailed takes the end of a read of an outcome that failed. The replies
// still tell that the request ran.
func (k *Keeper) OutcomeFailed(now time.Time, at Position) Commands {
	for _, r := range k.waitingFor(at) {
		r.Result = ResultUnavailable
		k.reply(r)
	}
	return k.flush(now)
}

// OutcomeRead takes the page of a read from the offset of the outcome's entry on.
// An outcome that the log has trimmed counts as one whose answer was not kept.
func (k *Keeper) OutcomeRead(now time.Time, at Position, p Page) Commands {
	for _, r := range k.waitingFor(at) {
		if o, ok := p.outcome(at, r.Holding.Claim.Attempt); ok {
			r.Holding.Outcome = &o
		} else if p.First > at.Offset {
			r.Holding.Outcome = &Outcome{}
		} else {
			r.Result = ResultUnavailable
		}
		k.reply(r)
	}
	return k.flush(now)
}

func (k *Keeper) waitingFor(at Position) []Reply {
	rs := k.repeats[at]
	delete(k.repeats, at)
	return rs
}

// outcome returns the attempt's outcome when the page has it at the position.
func (p Page) outcome(at Position, attempt string) (Outcome, bool) {
	for _, e := range p.Entries {
		if e.Offset != at.Offset || at.Index >= len(e.Records) {
			continue
		}
		r := e.Records[at.Index]
		return r.Outcome, r.Kind == KindOutcome && r.Attempt == attempt
	}
	return Outcome{}, false
}
