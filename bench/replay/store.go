package replay

import (
	"time"

	"github.com/galenaweir/galenaweir/core/placement"
)

// store keeps contexts in memory and on disk behind one link.
type store struct {
	c        *clock
	id       string
	link     *link
	memory   *lru
	disk     *lru
	diskRate float64 // bytes per second
	diskFree time.Duration
	perToken float64 // bytes
}

func newStore(c *clock, id string, memoryTokens, diskTokens int, linkRate, diskRate, perToken float64) *store {
	s := &store{c: c, id: id, link: newLink(c, linkRate), diskRate: diskRate, perToken: perToken}
	s.disk = newLRU(diskTokens, nil)
	s.memory = newLRU(memoryTokens, s.disk.put)
	return s
}

func (s *store) tokens(k contextKey) int { return max(s.memory.tokens(k), s.disk.tokens(k)) }

// fetch reads tokens of the context; on disk they are read before they are sent.
func (s *store) fetch(k contextKey, tokens int, v level, done func(ok bool)) {
	bytes := float64(tokens) * s.perToken
	t := &transfer{bytes: bytes, level: v, done: done}
	if s.memory.tokens(k) >= s.disk.tokens(k) {
		s.memory.touch(k)
		s.link.send(t)
		return
	}
	s.disk.touch(k)
	s.diskFree = max(s.diskFree, s.c.now) + seconds(bytes/s.diskRate)
	s.c.at(s.diskFree, func() { s.link.send(t) })
}

// wait is the time until a fetch of the context would begin to arrive.
func (s *store) wait(k contextKey, v level) time.Duration {
	w := s.link.wait(v)
	if s.memory.tokens(k) < s.disk.tokens(k) {
		w = max(w, s.diskFree-s.c.now)
	}
	return w
}

// export writes the new tokens of a context to the tier in the background.
func (s *store) export(k contextKey, tokens int, tier placement.Tier, done func(ok bool)) {
	missing := tokens - s.tokens(k)
	if missing <= 0 {
		return
	}
	s.link.send(&transfer{bytes: float64(missing) * s.perToken, level: background, done: func(ok bool) {
		if ok && tier == placement.Disk {
			s.memory.remove(k) // one tier holds the whole context
			s.disk.put(k, tokens)
		} else if ok {
			s.memory.put(k, tokens)
		}
		done(ok)
	}})
}

// lose empties the store and takes it off the network.
func (s *store) lose() {
	s.memory.clear()
	s.disk.clear()
	s.link.fail()
}
