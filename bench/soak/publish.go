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

// publisher publishes configuration documents that differ in one customer's weight.
type publisher struct {
	d         *local.Deployment
	bin       string
	folder    string
	customer  string
	rec       *recorder
	published int
}

// nextDocument writes a document that has not been published before and returns its
// file name.
func (p *publisher) nextDocument() (string, error) {
	p.published++
	doc := *p.d.Document
	doc.Customers = maps.Clone(doc.Customers)
	c := doc.Customers[p.customer]
	c.Weight = float64(1 + p.published)
	doc.Customers[p.customer] = c
	return p.write(&doc)
}

func (p *publisher) write(doc *config.Document) (string, error) {
	b, err := json.Marshal(doc)
	if err != nil {
		return "", err
	}
	file := filepath.Join(p.folder, fmt.Sprintf("document-%d.json", p.published))
	return file, os.WriteFile(file, b, 0o600)
}

// publish concurrently publishes n documents derived from the base version. It reports
// a violation if more than one of them is accepted.
func (p *publisher) publish(ctx context.Context, n int, base int64) {
	ctx, cancel := context.WithTimeout(ctx, publishLimit)
	defer cancel()
	var (
		mu           sync.Mutex
		accepted     []string
		publications sync.WaitGroup
	)
	for range n {
		file, err := p.nextDocument()
		if err != nil {
			p.rec.addViolation("write configuration document: %v", err)
			return
		}
		publications.Go(func() {
			out, err := exec.CommandContext(ctx, filepath.Join(p.bin, "galenaweir-agent"), "operator", "publish",
				"--file", file, "--log", p.d.LogAddress, "--base", fmt.Sprint(base)).CombinedOutput()
			mu.Lock()
			defer mu.Unlock()
			outcome := "refused or failed"
			if err == nil {
				outcome = "accepted"
				accepted = append(accepted, strings.TrimSpace(string(out)))
			}
			p.rec.countOutcome("publication", outcome)
		})
	}
	publications.Wait()
	if len(accepted) > 1 {
		p.rec.addViolation("%d documents based on version %d were accepted: %q", len(accepted), base, accepted)
	}
}

func (r *recorder) countOutcome(kind, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests[kind] == nil {
		r.requests[kind] = map[string]int{}
	}
	r.requests[kind][outcome]++
}

func elapsed(t time.Time) time.Duration { return time.Since(t).Round(time.Millisecond) }
