package replay

import (
	"time"

	"github.com/galenaweir/galenaweir/core/placement"
)

// store is a fake store host that keeps contexts in memory and on disk, behind one
// link.
type store struct {
	clock           *clock
	id              string
	link            *link
	memory          *lru
	disk            *lru
	diskRate        float64 // bytes per second
	diskFreeAt      time.Duration
	kvBytesPerToken float64
}

func newStore(c *clock, id string, memoryTokens, diskTokens int, linkRate, diskRate, kvBytesPerToken float64) *store {
	s := &store{clock: c, id: id, link: newLink(c, linkRate), diskRate: diskRate, kvBytesPerToken: kvBytesPerToken}
	s.disk = newLRU(diskTokens, nil)
	s.memory = newLRU(memoryTokens, s.disk.put)
	return s
}

func (s *store) tokens(k contextKey) int { return max(s.memory.tokens(k), s.disk.tokens(k)) }

// fetch sends tokens of the context over the link. Tokens on disk are read
// completely before they are sent.
func (s *store) fetch(k contextKey, tokens int, p transferPriority, done func(ok bool)) {
	bytes := float64(tokens) * s.kvBytesPerToken
	t := &transfer{bytes: bytes, priority: p, done: done}
	if s.memory.tokens(k) >= s.disk.tokens(k) {
		s.memory.touch(k)
		s.link.send(t)
		return
	}
	s.disk.touch(k)
	s.diskFreeAt = max(s.diskFreeAt, s.clock.now) + seconds(bytes/s.diskRate)
	s.clock.at(s.diskFreeAt, func() { s.link.send(t) })
}

// wait returns the time until a fetch of the context would start to arrive.
func (s *store) wait(k contextKey, p transferPriority) time.Duration {
	wait := s.link.wait(p)
	if s.memory.tokens(k) < s.disk.tokens(k) {
		wait = max(wait, s.diskFreeAt-s.clock.now)
	}
	return wait
}

// export sends the new tokens of a context to the store's tier as a background
// transfer.
func (s *store) export(k contextKey, tokens int, tier placement.Tier, done func(ok bool)) {
	missing := tokens - s.tokens(k)
	if missing <= 0 {
		return
	}
	s.link.send(&transfer{bytes: float64(missing) * s.kvBytesPerToken, priority: background, done: func(ok bool) {
		if ok && tier == placement.Disk {
			s.memory.remove(k) // a context is held completely in one tier
			s.disk.put(k, tokens)
		} else if ok {
			s.memory.put(k, tokens)
		}
		done(ok)
	}})
}

// fail deletes all contexts and takes the link down.
func (s *store) fail() {
	s.memory.clear()
	s.disk.clear()
	s.link.fail()
}
