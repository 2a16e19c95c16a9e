package gateway

import (
	"expvar"
	"sync"

	"github.com/phuslu/log"
)

// Bounds on what is kept of unknown headers.
const (
	maxUnknownHeaders    = 64 // further names are counted together
	maxUnknownHeaderName = 100
	furtherHeaders       = "further"
)

// unknownHeaders counts headers of endpoints' answers that nothing reads although they begin like
// the platform's own, and logs each name once: such a header may hold a rule that is not kept.
type unknownHeaders struct {
	count *expvar.Map
	mu    sync.Mutex
	seen  map[string]bool
}

// observe counts the unknown headers of an answer.
func (u *unknownHeaders) observe(endpoint string, names []string) {
	for _, name := range names {
		name = name[:min(len(name), maxUnknownHeaderName)]
		known, first := u.record(name)
		if !known {
			name = furtherHeaders
		}
		u.count.Add(name, 1)
		if first {
			log.Warn().Str("event", "endpoint_header_unknown").Str("endpoint", endpoint).Str("header", name).Msg("nothing reads this header of an endpoint's answer; look it up on the platform's pages")
		}
	}
}

// record reports whether a name is counted by itself, and whether it is new.
func (u *unknownHeaders) record(name string) (known, first bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.seen[name] {
		return true, false
	}
	if len(u.seen) >= maxUnknownHeaders {
		return false, false
	}
	if u.seen == nil {
		u.seen = map[string]bool{}
	}
	u.seen[name] = true
	return true, true
}
