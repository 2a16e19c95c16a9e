package engine

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"

	"github.com/galenaweir/galenaweir/core/prefix"
)

// Event is one change of the prefix cache. Numbers rise by one; a reader that
// sees a gap has missed events.
type Event struct {
	Number  uint64 `json:"number"`
	Block   string `json:"block"` // hex of the piece's chain hash
	Evicted bool   `json:"evicted"`
}

// cache is an LRU of pieces by chain hash.
type cache struct {
	capacity int // pieces
	order    *list.List
	pieces   map[prefix.Hash]*list.Element
	events   []Event
	number   uint64
}

// maxEvents bounds the events kept; older ones are lost, as with real engines.
const maxEvents = 4096

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), pieces: map[prefix.Hash]*list.Element{}}
}

func (c *cache) event(h prefix.Hash, evicted bool) {
	c.number++
	c.events = append(c.events, Event{c.number, hex.EncodeToString(h[:]), evicted})
	if len(c.events) > maxEvents {
		c.events = append([]Event(nil), c.events[len(c.events)-maxEvents:]...)
	}
}

func (c *cache) has(h prefix.Hash) bool {
	e, ok := c.pieces[h]
	if ok {
		c.order.MoveToFront(e)
	}
	return ok
}

func (c *cache) add(h prefix.Hash) {
	if c.has(h) {
		return
	}
	c.pieces[h] = c.order.PushFront(h)
	c.event(h, false)
	for c.order.Len() > c.capacity {
		last := c.order.Back()
		old := c.order.Remove(last).(prefix.Hash)
		delete(c.pieces, old)
		c.event(old, true)
	}
}

// matched returns how many leading pieces of the chain are held.
func (c *cache) matched(chain []prefix.Hash) int {
	for i, h := range chain {
		if !c.has(h) {
			return i
		}
	}
	return len(chain)
}

func (c *cache) clear() {
	for h := range c.pieces {
		c.event(h, true)
	}
	c.order.Init()
	c.pieces = map[prefix.Hash]*list.Element{}
}

// PieceData returns the KV data of a piece, a function of its chain hash, so
// that an import of any other piece's data can be told.
func PieceData(h prefix.Hash, bytes int) []byte {
	data := make([]byte, 0, bytes+sha256.Size)
	sum := sha256.Sum256(h[:])
	for len(data) < bytes {
		data = append(data, sum[:]...)
		sum = sha256.Sum256(sum[:])
	}
	return data[:bytes]
}
