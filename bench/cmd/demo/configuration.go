package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/bench/local"
)

// propagationLimit is the time within which an accepted configuration is in force
// on every process.
const propagationLimit = 5 * time.Second

// configurationChange publishes a new version and waits until it is in force on
// every process.
func configurationChange(ctx context.Context, d *local.Deployment) error {
	doc := *d.Document
	doc.Customers = maps.Clone(doc.Customers)
	c := doc.Customers[haulage]
	c.Weight = 2
	doc.Customers[haulage] = c
	if err := d.Publish(ctx, &doc, 1); err != nil {
		return err
	}
	begun := time.Now()
	for {
		versions, err := versions(ctx, d)
		if err != nil {
			return err
		}
		waiting := slices.ContainsFunc(slices.Collect(maps.Values(versions)), func(v int64) bool { return v < 2 })
		took := time.Since(begun)
		if !waiting {
			fmt.Printf("configuration: version 2 in force on all %d processes %d ms after its acceptance: %v\n", len(versions), took.Milliseconds(), versions)
			return nil
		}
		if took > propagationLimit {
			return fmt.Errorf("configuration version 2 is not in force everywhere after %s: %v", took, versions)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// versions reads the version in force from each process's metrics.
func versions(ctx context.Context, d *local.Deployment) (map[string]int64, error) {
	out := map[string]int64{}
	for name, addr := range d.Operators {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/debug/vars", nil)
		if err != nil {
			return nil, err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, err
		}
		var vars struct {
			Galenaweir struct {
				ConfigVersion int64 `json:"config_version"`
			} `json:"galenaweir"`
		}
		err = json.NewDecoder(resp.Body).Decode(&vars)
		resp.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("metrics of %s: %w", name, err)
		}
		out[name] = vars.Galenaweir.ConfigVersion
	}
	return out, nil
}
