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

// propagationTimeout is the time within which an accepted configuration must be in
// force in every process.
const propagationTimeout = 5 * time.Second

// changeConfiguration publishes a new version and waits until it is in force in every
// process.
func changeConfiguration(ctx context.Context, d *local.Deployment) error {
	doc := *d.Document
	doc.Customers = maps.Clone(doc.Customers)
	c := doc.Customers[haulage]
	c.Weight = 2
	doc.Customers[haulage] = c
	if err := d.Publish(ctx, &doc, 1); err != nil {
		return err
	}
	start := time.Now()
	for {
		versions, err := configVersions(ctx, d)
		if err != nil {
			return err
		}
		outdated := slices.ContainsFunc(slices.Collect(maps.Values(versions)), func(v int64) bool { return v < 2 })
		elapsed := time.Since(start)
		if !outdated {
			fmt.Printf("configuration: version 2 in force on all %d processes %d ms after its acceptance: %v\n", len(versions), elapsed.Milliseconds(), versions)
			return nil
		}
		if elapsed > propagationTimeout {
			return fmt.Errorf("configuration version 2 is not in force in every process after %s: %v", elapsed, versions)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// configVersions reads each process's configuration version from its metrics.
func configVersions(ctx context.Context, d *local.Deployment) (map[string]int64, error) {
	out := map[string]int64{}
	for name, addr := range d.OperatorAddresses {
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
			return nil, fmt.Errorf("decode metrics of %s: %w", name, err)
		}
		out[name] = vars.Galenaweir.ConfigVersion
	}
	return out, nil
}
