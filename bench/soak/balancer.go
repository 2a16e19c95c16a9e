package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/galenaweir/galenaweir/bench/local"
)

// Checks of the balancer.
const (
	checkInterval = 50 * time.Millisecond
	checkTimeout  = 200 * time.Millisecond
)

// balancer stands for the platform's: it sends callers to entries that say that
// they are ready.
type balancer struct {
	http      *http.Client
	operators []string

	mu    sync.Mutex
	ready []bool
}

func newBalancer(d *local.Deployment) *balancer {
	b := &balancer{http: &http.Client{Timeout: checkTimeout}}
	for i := range d.CallerAddress {
		b.operators = append(b.operators, d.Operators[entryName(i)])
		b.ready = append(b.ready, true)
	}
	return b
}

// run checks each entry until the context ends.
func (b *balancer) run(ctx context.Context) {
	var all sync.WaitGroup
	for i := range b.operators {
		all.Go(func() {
			for ctx.Err() == nil {
				ok := b.check(ctx, b.operators[i])
				b.mu.Lock()
				b.ready[i] = ok
				b.mu.Unlock()
				select {
				case <-time.After(checkInterval):
				case <-ctx.Done():
				}
			}
		})
	}
	all.Wait()
}

func (b *balancer) check(ctx context.Context, operator string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == http.StatusOK/100
}

// choose returns a ready entry, or any when none is.
func (b *balancer) choose(r *rand.Rand) int { return b.other(r, -1) }

// other returns a ready entry that is not the one given, if there is one.
func (b *balancer) other(r *rand.Rand, entry int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []int
	for i, ok := range b.ready {
		if ok && i != entry {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return r.IntN(len(b.ready))
	}
	return ready[r.IntN(len(ready))]
}
