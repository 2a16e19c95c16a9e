package config

// missedRounds is the number of rounds in a row without an answer after which a peer counts as
// unreachable. One late answer must not let the others stand for all.
const missedRounds = 3

// PeerAgreement decides whether the peers of a process that can't read the log agree with the version
// that it holds. Peers are asked in rounds.
type PeerAgreement struct{ missed map[string]int }

// PeerAnswer is the outcome of asking a peer in a round.
type PeerAnswer struct {
	Peer     string
	Answered bool
	Same     bool // the peer holds the version of this process
}

// Agree records a round and reports whether at least one peer answered, all that answered hold the
// same version, and the others have been unreachable for several rounds.
func (a *PeerAgreement) Agree(round []PeerAnswer) bool {
	if a.missed == nil {
		a.missed = map[string]int{}
	}
	reached, agree := 0, true
	for _, p := range round {
		if !p.Answered {
			a.missed[p.Peer]++
			agree = agree && a.missed[p.Peer] >= missedRounds
			continue
		}
		delete(a.missed, p.Peer)
		reached++
		agree = agree && p.Same
	}
	return agree && reached > 0
}
