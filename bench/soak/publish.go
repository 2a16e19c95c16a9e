package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/galenaweir/galenaweir/bench/local"
	"github.com/galenaweir/galenaweir/core/config"
)

const publishLimit = 20 * time.Second

// publisher publishes documents that differ in a customer's weight.
type publisher struct {
	d        *local.Deployment
	bin      string
	folder   string
	customer string
	rec      *record
	count    int
}

// next writes a document that was never in force.
func (p *publisher) next() (string, error) {
	p.count++
	doc := *p.d.Document
	doc.Customers = maps.Clone(doc.Customers)
	c := doc.Customers[p.customer]
	c.Weight = float64(1 + p.count)
	doc.Customers[p.customer] = c
	return p.write(&doc)
}

func (p *publisher) write(doc *config.Document) (string, error) {
	b, err := json.Marshal(doc)
	if err != nil {
		return "", err
	}
	file := filepath.Join(p.folder, fmt.Sprintf("document-%d.json", p.count))
	return file, os.WriteFile(file, b, 0o600)
}

// publish publishes n documents made from the base at once. At most one of them
// may be accepted.
func (p *publisher) publish(ctx context.Context, n int, base int64) {
	ctx, cancel := context.WithTimeout(ctx, publishLimit)
	defer cancel()
	var (
		mu       sync.Mutex
		accepted []string
		all      sync.WaitGroup
	)
	for range n {
		file, err := p.next()
		if err != nil {
			p.rec.violate("document: %v", err)
			return
		}
		all.Go(func() {
			out, err := exec.CommandContext(ctx, filepath.Join(p.bin, "galenaweir-agent"), "operator", "publish",
				"--file", file, "--log", p.d.LogAddress, "--base", fmt.Sprint(base)).CombinedOutput()
			mu.Lock()
			defer mu.Unlock()
			outcome := "refused or failed"
			if err == nil {
				outcome = "accepted"
				accepted = append(accepted, strings.TrimSpace(string(out)))
			}
			p.rec.note("publication", outcome)
		})
	}
	all.Wait()
	if len(accepted) > 1 {
		p.rec.violate("%d documents made from version %d were accepted: %q", len(accepted), base, accepted)
	}
}

func (r *record) note(kind, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests[kind] == nil {
		r.requests[kind] = map[string]int{}
	}
	r.requests[kind][outcome]++
}

func since(t time.Time) time.Duration { return time.Since(t).Round(time.Millisecond) }
