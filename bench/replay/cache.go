package replay

import "container/list"

// contextKey identifies the KV cache of a conversation for one weight version.
type contextKey struct {
	conversation  int32
	weightVersion int32
}

// lru is a cache of contexts with a capacity in tokens. It evicts the least
// recently used context and passes it to onEvict, if set.
type lru struct {
	capacityTokens int
	usedTokens     int
	order          *list.List
	elements       map[contextKey]*list.Element
	onEvict        func(contextKey, int)
}

type lruEntry struct {
	key    contextKey
	tokens int
}

func newLRU(capacity int, onEvict func(contextKey, int)) *lru {
	return &lru{capacityTokens: capacity, order: list.New(), elements: map[contextKey]*list.Element{}, onEvict: onEvict}
}

// tokens returns the number of cached tokens of the context.
func (l *lru) tokens(k contextKey) int {
	if e, ok := l.elements[k]; ok {
		return e.Value.(*lruEntry).tokens
	}
	return 0
}

// utilization returns the used share of the capacity.
func (l *lru) utilization() float64 { return float64(l.usedTokens) / float64(l.capacityTokens) }

func (l *lru) touch(k contextKey) {
	if e, ok := l.elements[k]; ok {
		l.order.MoveToFront(e)
	}
}

// put caches at least the given number of tokens of the context. It never shrinks
// a context, and ignores one that exceeds the capacity.
func (l *lru) put(k contextKey, tokens int) {
	if tokens <= 0 || tokens > l.capacityTokens {
		return
	}
	e, ok := l.elements[k]
	if !ok {
		e = l.order.PushFront(&lruEntry{key: k})
		l.elements[k] = e
	}
	l.order.MoveToFront(e)
	if it := e.Value.(*lruEntry); tokens > it.tokens {
		l.usedTokens += tokens - it.tokens
		it.tokens = tokens
	}
	for l.usedTokens > l.capacityTokens {
		it := l.order.Back().Value.(*lruEntry)
		l.remove(it.key)
		if l.onEvict != nil {
			l.onEvict(it.key, it.tokens)
		}
	}
}

func (l *lru) remove(k contextKey) {
	if e, ok := l.elements[k]; ok {
		l.usedTokens -= e.Value.(*lruEntry).tokens
		l.order.Remove(e)
		delete(l.elements, k)
	}
}

func (l *lru) clear() {
	l.usedTokens = 0
	l.order.Init()
	clear(l.elements)
}
