package forward

// maxExplainedParts is the number of held parts up to which it is worked out which of them explain
// the crashes; the time for that grows with its square. Beyond it all held parts count.
const maxExplainedParts = 256

// explanation returns the held parts that explain all crashes under held parts: again and again those
// on the most endpoints whose end isn't explained yet, all of them if there are several. A sound part
// that was on endpoints which other parts ended isn't among them once these have more crashes, and a
// part isn't while one request, as often as it came, explains all crashes under it. Whole requests are
// explained apart from parts, which may belong to others.
func (h *PartHolds) explanation() map[uint64]bool {
	if h.explained != nil {
		return h.explained
	}
	var parts, requests []*suspectState
	for _, s := range h.parts {
		switch {
		case h.held(s) && s.Whole:
			requests = append(requests, s)
		case h.held(s):
			parts = append(parts, s)
		}
	}
	h.explained = map[uint64]bool{}
	for _, s := range explain(requests) {
		h.explained[s.Key] = true
	}
	for _, s := range explain(append(parts, requests...)) {
		if !s.Whole {
			h.explained[s.Key] = true
		}
	}
	return h.explained
}

// explain returns those of the given suspects that explain all crashes under them.
func explain(open []*suspectState) (explaining []*suspectState) {
	done := map[EndpointStart]bool{} // endpoints whose end is explained
	for len(open) > 0 {
		chosen, rest := mostUnexplained(open, done, len(open) > maxExplainedParts)
		explaining = append(explaining, chosen...)
		for _, s := range chosen {
			for _, t := range s.Trials {
				done[t.On] = true
			}
		}
		if len(chosen) == 0 {
			break
		}
		open = rest
	}
	return explaining
}

// mostUnexplained returns the parts with the most crashes at endpoints that aren't done, none if no
// part has any, and the other parts. Of a part and a request with as many, the request is chosen. It
// returns all parts as chosen if all is set.
func mostUnexplained(parts []*suspectState, done map[EndpointStart]bool, all bool) (chosen, rest []*suspectState) {
	if all {
		return parts, nil
	}
	most := 2 // twice the crashes, and one more for a request
	for _, s := range parts {
		n := boolInt(s.Whole)
		for _, t := range s.Trials {
			if !t.Cleared && !done[t.On] {
				n += 2
			}
		}
		if n > most {
			rest, chosen, most = append(rest, chosen...), nil, n
		}
		if n == most {
			chosen = append(chosen, s)
		} else {
			rest = append(rest, s)
		}
	}
	return chosen, rest
}
