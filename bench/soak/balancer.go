package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/galenaweir/galenaweir/bench/local"
)

// Interval and timeout of the readiness checks.
const (
	checkInterval = 50 * time.Millisecond
	checkTimeout  = 200 * time.Millisecond
)

// balancer simulates the platform's load balancer: it sends callers to entries whose
// readiness check succeeds.
type balancer struct {
	http              *http.Client
	operatorAddresses []string

	mu    sync.Mutex
	ready []bool
}

func newBalancer(d *local.Deployment) *balancer {
	b := &balancer{http: &http.Client{Timeout: checkTimeout}}
	for i := range d.CallerAddresses {
		b.operatorAddresses = append(b.operatorAddresses, d.OperatorAddresses[entryName(i)])
		b.ready = append(b.ready, true)
	}
	return b
}

// run checks the readiness of each entry until the context ends.
func (b *balancer) run(ctx context.Context) {
	var checks sync.WaitGroup
	for i := range b.operatorAddresses {
		checks.Go(func() {
			for ctx.Err() == nil {
				ok := b.check(ctx, b.operatorAddresses[i])
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
	checks.Wait()
}

func (b *balancer) check(ctx context.Context, operatorAddress string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operatorAddress+"/readyz", nil)
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

// pick returns a random ready entry, or any entry if none is ready.
func (b *balancer) pick(r *rand.Rand) int { return b.pickOther(r, -1) }

// pickOther returns a random ready entry other than the given one, or any entry if
// there is none.
func (b *balancer) pickOther(r *rand.Rand, entry int) int {
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
