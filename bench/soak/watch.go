package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/galenaweir/galenaweir/bench/local"
	"github.com/galenaweir/galenaweir/standin/engine"
)

const watchInterval = 200 * time.Millisecond

// watcher polls the processes' metrics and the engines' states.
type watcher struct {
	d    *local.Deployment
	rec  *recorder
	http *http.Client
}

func newWatcher(d *local.Deployment, rec *recorder) *watcher {
	return &watcher{d, rec, &http.Client{Timeout: time.Second}}
}

func (w *watcher) get(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}

// version returns the configuration version in force in a process.
func (w *watcher) version(ctx context.Context, name string) (int64, error) {
	var vars struct {
		Galenaweir struct {
			ConfigVersion int64 `json:"config_version"`
		} `json:"galenaweir"`
	}
	err := w.get(ctx, "http://"+w.d.OperatorAddresses[name]+"/debug/vars", &vars)
	return vars.Galenaweir.ConfigVersion, err
}

// run checks until the context ends that no process reverts to an older configuration
// and that no engine imports a wrong block.
func (w *watcher) run(ctx context.Context) {
	type observation struct {
		pid     int
		version int64
	}
	lastSeen, badImports := map[string]observation{}, map[string]int{}
	for ctx.Err() == nil {
		for name := range w.d.OperatorAddresses {
			pid := w.d.Processes[name].PID()
			v, err := w.version(ctx, name)
			if err != nil || pid != w.d.Processes[name].PID() {
				continue
			}
			if l := lastSeen[name]; l.pid == pid && v < l.version {
				w.rec.addViolation("the configuration of %s went from version %d back to %d", name, l.version, v)
			}
			lastSeen[name] = observation{pid, v}
		}
		for i, a := range w.d.EngineAddresses {
			var s engine.State
			if w.get(ctx, "http://"+a+"/v1/state", &s) == nil && s.BadImports > badImports[a] {
				badImports[a] = s.BadImports
				w.rec.addViolation("%s counts %d bad imports", engineName(i), s.BadImports)
			}
		}
		select {
		case <-time.After(watchInterval):
		case <-ctx.Done():
		}
	}
}

// propagationLimit is the time within which an accepted configuration must be in force
// in every process.
const propagationLimit = 5 * time.Second

// waitConverged waits until all processes have the same configuration version and
// returns it, or 0 after the limit.
func (w *watcher) waitConverged(ctx context.Context, since time.Time) int64 {
	for {
		versions, equal, first := map[string]int64{}, true, int64(0)
		for name := range w.d.OperatorAddresses {
			v, err := w.version(ctx, name)
			if first == 0 {
				first = v
			}
			versions[name] = v
			equal = equal && err == nil && v == first && v > 0
		}
		took := time.Since(since)
		if equal {
			w.rec.mu.Lock()
			w.rec.propagation = max(w.rec.propagation, took)
			w.rec.mu.Unlock()
			return first
		}
		if took > propagationLimit || ctx.Err() != nil {
			w.rec.addViolation("%s after the faults were healed the processes have different configurations: %s", took.Round(time.Millisecond), fmt.Sprint(versions))
			return 0
		}
		time.Sleep(pollInterval)
	}
}

const pollInterval = 50 * time.Millisecond
