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

// Held parts in the log, for the case that all entries are lost at once.
const (
	partSaveTimeout  = 600 * time.Millisecond
	partSaveRetry    = time.Second
	partSaveCheck    = 10 * time.Second // for parts that this process has come to own
	partSaveInterval = 10 * time.Minute // of a part whose requests go on coming, well within the time after which it is forgotten
	partLoadAttempts = 10
	partLoadPause    = 300 * time.Millisecond
)

// StoredPart is a held part in the log. Its times are Unix times.
type StoredPart struct {
	Part        forward.SuspectPart
	Held        bool // false: the record is deleted
	SavedUnixMs int64
}

// PartStore keeps held parts in the log.
type PartStore interface {
	SaveParts(ctx context.Context, parts []StoredPart) error
	LoadParts(ctx context.Context) ([]StoredPart, error)
}

// partSaver holds what this process has to write. It is guarded by the state's mutex.
type partSaver struct {
	released map[uint64]bool      // records to delete
	saved    map[uint64]savedPart // the newest records of held parts
	wake     chan struct{}
}

func newPartSaver() partSaver {
	return partSaver{released: map[uint64]bool{}, saved: map[uint64]savedPart{}, wake: make(chan struct{}, 1)}
}

// savedPart is the newest record of a held part.
type savedPart struct {
	at      time.Duration // when it was written or read
	crashes int           // in it
}

// savePart has a change of a held part written to the log. The caller holds the state's mutex.
func (g *Gateway) savePart(c forward.PartChange) {
	if g.partStore == nil {
		return
	}
	w := &g.state.partSaver
	delete(w.saved, c.Part.Key)
	delete(w.released, c.Part.Key)
	if !c.Held {
		w.released[c.Part.Key] = true
	}
	select {
	case w.wake <- struct{}{}:
	default: // it is to look already
	}
}

// keepParts writes the held parts that this process owns to the log until ctx is done. It first
// reads those that were saved.
func (g *Gateway) keepParts(ctx context.Context) {
	if g.partStore == nil {
		return
	}
	g.recoverParts(ctx)
	failed := false
	for {
		pause := partSaveCheck
		if failed {
			pause = partSaveRetry
		}
		due := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			due.Stop()
			return
		case <-g.state.partSaver.wake:
			due.Stop()
			if !wait.For(ctx, minReportSpacing) { // several parts change together
				return
			}
		case <-due.C:
		}
		err := g.saveParts(ctx)
		if err != nil && !failed && ctx.Err() == nil {
			log.Warn().Str("event", "parts_unsaved").Err(err).Msg("cannot save the held parts; after the loss of all entries, endpoints end again before they are held")
		}
		failed = err != nil
	}
}

// saveParts writes what has changed.
func (g *Gateway) saveParts(ctx context.Context) error {
	s := g.state
	s.mu.Lock()
	list := g.partsToSave()
	s.mu.Unlock()
	if len(list) == 0 {
		return nil
	}
	attempt, cancel := context.WithTimeout(ctx, partSaveTimeout)
	defer cancel()
	if err := g.partStore.SaveParts(attempt, list); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range list {
		if p.Held {
			s.partSaver.saved[p.Part.Key] = savedPart{s.clock(), p.Part.Crashes()}
		} else {
			delete(s.partSaver.released, p.Part.Key)
		}
	}
	return nil
}

// partsToSave returns the records to write. The caller holds the state's mutex.
func (g *Gateway) partsToSave() []StoredPart {
	s := g.state
	now, unixMs := s.clock(), g.wallClock().UnixMilli()
	members := s.peerLoads.members
	var list []StoredPart
	if len(members) == 0 {
		return nil // it isn't known yet who writes
	}
	for key := range s.partSaver.released {
		if rendezvous.Owner(key, members) != g.memberID {
			delete(s.partSaver.released, key)
			continue
		}
		list = append(list, StoredPart{Part: forward.SuspectPart{Key: key}})
	}
	for _, p := range s.parts.Held() {
		last, saved := s.partSaver.saved[p.Key]
		current := saved && last.crashes >= p.Crashes() && (now < last.at+partSaveInterval || p.LastUse <= last.at)
		if rendezvous.Owner(p.Key, members) != g.memberID || current {
			continue
		}
		list = append(list, StoredPart{Part: p.Shift(milliseconds(unixMs) - now), Held: true, SavedUnixMs: unixMs})
	}
	return list
}

// recoverParts reads the held parts that were saved.
func (g *Gateway) recoverParts(ctx context.Context) {
	for range partLoadAttempts {
		attempt, cancel := context.WithTimeout(ctx, partSaveTimeout)
		stored, err := g.partStore.LoadParts(attempt)
		cancel()
		if err == nil {
			g.applyStoredParts(stored)
			return
		}
		if !wait.For(ctx, partLoadPause) {
			return
		}
		log.Warn().Str("event", "parts_unread").Err(err).Msg("cannot read the held parts; if all entries were lost, endpoints end again before they are held")
	}
}

// applyStoredParts applies held parts that were saved.
func (g *Gateway) applyStoredParts(stored []StoredPart) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now, unixMs := s.clock(), g.wallClock().UnixMilli()
	held := 0
	for _, p := range stored {
		s.partSaver.saved[p.Part.Key] = savedPart{now, p.Part.Crashes()}
		// The time of day may have been set back since.
		part := p.Part.Shift(now - milliseconds(max(unixMs, p.SavedUnixMs)))
		if change, changed := s.parts.Merge(part, false, now); changed {
			held++
			logPart(log.Warn().Str("event", "part_held"), &change.Part).Dur("age_ms", now-part.LastUse).Msg("the log has this part of a prompt, or this request, as one under which endpoints ended; such requests are refused")
		}
		if !slices.ContainsFunc(s.parts.Held(), func(h forward.SuspectPart) bool { return h.Key == part.Key }) {
			s.partSaver.released[part.Key] = true // its requests ceased to come long ago
		}
	}
	log.Info().Str("event", "parts_read").Int("records", len(stored)).Int("held", held).Msg("read the held parts from the log")
}
