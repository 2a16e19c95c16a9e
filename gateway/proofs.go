package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/core/rendezvous"
	"github.com/galenaweir/galenaweir/wait"
)

// Saving until when no newer weight version was named.
const (
	proofSaverKey = "namings" // rendezvous key of the one member that saves proofs
	// proofPause is the pause after a proof was saved. With reads of up to two seconds, it makes at
	// most one billed write a second, and the last proof is two seconds old at most when all
	// processes are lost. Older weights may be used for ten seconds after a naming, and the
	// endpoints get newer ones only four seconds after the restart, so that at one write in two
	// seconds, of proofs that were two seconds old, an outage of three seconds already left none
	// for some time.
	proofPause = 500 * time.Millisecond
)

// keepProofs saves in the log, as long as this process is the one that does so, the last
// proof that no newer weight version was named, until ctx is done. Processes that start after
// all others were lost bound the naming times of newer versions by it.
func (g *Gateway) keepProofs(ctx context.Context) {
	if g.namingStore == nil {
		return
	}
	s := g.state
	for failed := false; s.awaitRead(ctx); {
		if !g.savesProofs() {
			continue
		}
		err := g.saveProofs(ctx)
		switch {
		case err != nil && !failed && ctx.Err() == nil:
			log.Warn().Str("event", "proofs_unsaved").Err(err).Msg("cannot save that no newer weight version was named; after a restart of all entries, older weights are not used")
		case err == nil && failed:
			log.Info().Str("event", "proofs_saved").Msg("saved again that no newer weight version was named")
		}
		failed = err != nil
		wait.For(ctx, proofPause)
	}
}

// awaitRead waits for the next completed read of the operators' records, and returns false when
// ctx is done.
func (s *state) awaitRead(ctx context.Context) bool {
	s.mu.Lock()
	confirmed := s.readConfirmed
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-confirmed:
		return true
	}
}

// savesProofs reports whether this process saves proofs: one member does.
func (g *Gateway) savesProofs() bool {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	members := s.peerLoads.members
	return slices.Contains(members, g.memberID) && rendezvous.Owner(rendezvous.Key([]byte(proofSaverKey)), members) == g.memberID
}

// saveProofs saves the proofs of the last read. A pause before the log has the record only
// makes the proof older.
func (g *Gateway) saveProofs(ctx context.Context) error {
	if len(g.currentProofs()) == 0 {
		return nil
	}
	g.readEndpointClock(ctx)
	ctx, cancel := context.WithTimeout(ctx, namingTimeout)
	defer cancel()
	return g.namingStore.SaveProofs(ctx, g.currentProofs())
}

func (g *Gateway) currentProofs() []forward.NamingProof {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := g.instant()
	proof := s.namingProof(now.Time)
	if proof == forward.UnknownNamingTime || !forward.MayProve(s.eras.Newest(), &s.catchUp, s.firstReadAt, now.Time) {
		return nil
	}
	return s.rollout.Proofs(now, proof)
}
