package engine

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"

	"github.com/galenaweir/galenaweir/core/prefix"
)

// CacheEvent reports that a piece was added to the prefix cache or evicted from it.
// Event numbers are consecutive, so a reader that sees a gap has missed events.
type CacheEvent struct {
	Seq     uint64 `json:"number"`
	Block   string `json:"block"` // chain hash of the piece, in hex
	Evicted bool   `json:"evicted"`
}

// prefixCache is an LRU cache of prompt pieces, keyed by their chain hashes.
type prefixCache struct {
	capacity int // pieces
	lru      *list.List
	pieces   map[prefix.Hash]*list.Element
	events   []CacheEvent
	lastSeq  uint64
}

// maxEvents is the number of recent events that are kept. Older ones are
// dropped, as real engines do.
const maxEvents = 4096

func newCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, lru: list.New(), pieces: map[prefix.Hash]*list.Element{}}
}

func (c *prefixCache) recordEvent(h prefix.Hash, evicted bool) {
	c.lastSeq++
	c.events = append(c.events, CacheEvent{c.lastSeq, hex.EncodeToString(h[:]), evicted})
	if len(c.events) > maxEvents {
		c.events = append([]CacheEvent(nil), c.events[len(c.events)-maxEvents:]...)
	}
}

func (c *prefixCache) lookup(h prefix.Hash) bool {
	e, ok := c.pieces[h]
	if ok {
		c.lru.MoveToFront(e)
	}
	return ok
}

func (c *prefixCache) add(h prefix.Hash) {
	if c.lookup(h) {
		return
	}
	c.pieces[h] = c.lru.PushFront(h)
	c.recordEvent(h, false)
	for c.lru.Len() > c.capacity {
		last := c.lru.Back()
		oldest := c.lru.Remove(last).(prefix.Hash)
		delete(c.pieces, oldest)
		c.recordEvent(oldest, true)
	}
}

// matchedPieces returns the number of leading pieces of the chain that are
// cached.
func (c *prefixCache) matchedPieces(chain []prefix.Hash) int {
	for i, h := range chain {
		if !c.lookup(h) {
			return i
		}
	}
	return len(chain)
}

func (c *prefixCache) clear() {
	for h := range c.pieces {
		c.recordEvent(h, true)
	}
	c.lru.Init()
	c.pieces = map[prefix.Hash]*list.Element{}
}

// PieceData returns the KV data of a piece. It is derived from the chain hash, so
// that an import with the data of another piece can be detected.
func PieceData(h prefix.Hash, length int) []byte {
	data := make([]byte, 0, length+sha256.Size)
	sum := sha256.Sum256(h[:])
	for len(data) < length {
		data = append(data, sum[:]...)
		sum = sha256.Sum256(sum[:])
	}
	return data[:length]
}
