package replay

import "container/list"

// contextKey is a conversation under one weight version.
type contextKey struct {
	conversation int32
	version      int32
}

// lru holds contexts up to a capacity in tokens and drops the least recently
// used. A drop hands the context to the function dropped, if any.
type lru struct {
	capacity int
	used     int
	order    *list.List
	items    map[contextKey]*list.Element
	dropped  func(contextKey, int)
}

type lruItem struct {
	key    contextKey
	tokens int
}

func newLRU(capacity int, dropped func(contextKey, int)) *lru {
	return &lru{capacity: capacity, order: list.New(), items: map[contextKey]*list.Element{}, dropped: dropped}
}

// tokens returns how much of the context is held.
func (l *lru) tokens(k contextKey) int {
	if e, ok := l.items[k]; ok {
		return e.Value.(*lruItem).tokens
	}
	return 0
}

// use returns the share of the capacity that is used.
func (l *lru) use() float64 { return float64(l.used) / float64(l.capacity) }

func (l *lru) touch(k contextKey) {
	if e, ok := l.items[k]; ok {
		l.order.MoveToFront(e)
	}
}

// put holds the context with at least the tokens.
func (l *lru) put(k contextKey, tokens int) {
	if tokens <= 0 || tokens > l.capacity {
		return
	}
	e, ok := l.items[k]
	if !ok {
		e = l.order.PushFront(&lruItem{key: k})
		l.items[k] = e
	}
	l.order.MoveToFront(e)
	if it := e.Value.(*lruItem); tokens > it.tokens {
		l.used += tokens - it.tokens
		it.tokens = tokens
	}
	for l.used > l.capacity {
		it := l.order.Back().Value.(*lruItem)
		l.remove(it.key)
		if l.dropped != nil {
			l.dropped(it.key, it.tokens)
		}
	}
}

func (l *lru) remove(k contextKey) {
	if e, ok := l.items[k]; ok {
		l.used -= e.Value.(*lruItem).tokens
		l.order.Remove(e)
		delete(l.items, k)
	}
}

func (l *lru) clear() {
	l.used = 0
	l.order.Init()
	clear(l.items)
}
