package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/galenaweir/galenaweir/core/forward"
)

// statusTimeout limits reading the status of all processes.
const statusTimeout = 2 * time.Second

// Status is the state of a process as shown to operators.
type Status struct {
	ID             string            `json:"id"`
	Ready          bool              `json:"ready"`
	ConfigVersion  int64             `json:"config"`        // configuration version in force, 0 if none
	ConfigAgeMs    int64             `json:"config_age_ms"` // time since the last read that proved nothing newer
	WeightVersions map[string]int64  `json:"weights"`       // newest named weight version of each model
	Endpoints      int               `json:"endpoints"`
	Usable         int               `json:"usable"` // endpoints that are healthy and not loading weights
	Members        int               `json:"members"`
	Generation     int64             `json:"generation"` // fencing token of orders: era and generation of the member list
	Era            int64             `json:"era"`        // newest era of the log, 0 if it numbers none
	OwnedEndpoints []string          `json:"holds"`      // endpoints that this process may send orders to
	Rollouts       map[string]string `json:"rollouts"`   // rollout stage by endpoint, for rollouts of this process
	InFlight       int64             `json:"in_flight"`
	CallerConns    int               `json:"caller_connections"`
	IdleConns      int               `json:"idle_connections"`    // of callers
	DelayMs        float64           `json:"scheduling_delay_ms"` // for which tasks that could run waited for the processor
	HeldParts      []HeldPart        `json:"held_parts"`          // parts of prompts that are held
	HeldRequests   []HeldPart        `json:"held_requests"`       // requests that are held as a whole
	WarmingUp      []WarmingEndpoint `json:"warming_up"`
	Evacuated      []EvacuatedDomain `json:"evacuated"`

	SecondAttempts map[string]forward.SecondAttemptUse `json:"second_attempts,omitempty"` // use of the limit by service, absent if off

	ResponseBytes int64 `json:"response_bytes"` // buffered of responses beyond 8 KB of each
	HeldBytesStatus
}

// HeldPart is a part of prompts, or a whole request, that is held because endpoints ended under it.
type HeldPart struct {
	Part      string   `json:"part"`        // or the route of a whole request
	Key       string   `json:"key"`         // names it for ReleasePart
	Crashes   []string `json:"crashes"`     // the endpoints
	Entries   []string `json:"entries"`     // whose requests were on them
	LastUseMs int64    `json:"last_use_ms"` // time since the last request with it

	NextProbeMs int64 `json:"next_probe_ms"` // until one entry tries it again, -1 if none does
}

// heldParts returns the parts of prompts that are held, or the whole requests.
func (s *state) heldParts(whole bool, now time.Duration) []HeldPart {
	out := []HeldPart{}
	for _, p := range s.parts.Held() {
		if p.Whole != whole {
			continue
		}
		crashes, witnesses := describeTrials(&p)
		next := int64(-1)
		if at, ok := s.parts.NextProbe(p.Key); ok {
			next = max(at-now, 0).Milliseconds()
		}
		out = append(out, HeldPart{p.Name, partKeyText(p.Key), crashes, witnesses, (now - p.LastUse).Milliseconds(), next})
	}
	return out
}

// ReleasePart takes back the evidence against a part of prompts, at all entries. It reports whether
// there was any.
func (g *Gateway) ReleasePart(key uint64) bool {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	change, held := s.parts.Release(key, now)
	if held {
		g.recordPartChange(change, now)
	}
	g.requestReport()
	return held
}

// serveRelease lets the part in again whose key the query names. It accepts calls from its own host
// only, as the metrics port is open to all.
func (g *Gateway) serveRelease(w http.ResponseWriter, r *http.Request) {
	if !g.isFromOwnHost(r) {
		http.Error(w, "call this from the entry's own host", http.StatusForbidden)
		return
	}
	key, err := strconv.ParseUint(r.URL.Query().Get("key"), 16, 64)
	if err != nil {
		http.Error(w, "name the part by its key, as in key=5c1e07a25c1e07a2; it is in the lines part_held", http.StatusBadRequest)
		return
	}
	if !g.ReleasePart(key) {
		http.Error(w, "no part with this key is held", http.StatusNotFound)
		return
	}
	fmt.Fprintln(w, "requests with the part are served again")
}

// Status returns the current state of this process.
func (g *Gateway) Status() Status {
	ready := g.Ready()
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	st := Status{
		ID: g.settings.ID, Ready: ready, WeightVersions: s.rollout.NewestTargets(), Members: len(s.peerLoads.members), Generation: g.ownership.FencingToken(), Era: int64(s.eras.Newest()),
		Rollouts: s.rollout.Stages(), InFlight: g.inFlight.Load(), CallerConns: g.callerConns.Open(), IdleConns: g.callerConns.Idle(), DelayMs: float64(g.schedulingDelay.Load()) / float64(time.Millisecond), OwnedEndpoints: []string{}, HeldParts: s.heldParts(false, now), HeldRequests: s.heldParts(true, now), ResponseBytes: g.buffers.held.Load(), HeldBytesStatus: g.held.status(),
	}
	st.SecondAttempts = s.secondAttempts.Use(now)
	if age, known := s.freshness.Age(now); known {
		st.ConfigAgeMs = age.Milliseconds()
	}
	if s.table != nil {
		st.ConfigVersion = s.table.Config.Version
	}
	st.WarmingUp, st.Evacuated = s.warmingUp(now), s.evacuated(now)
	for _, e := range s.listedEndpoints(now) {
		es := s.endpointState(e.ID)
		st.Endpoints++
		st.Usable += boolInt(es.health.Usable(now) && now >= es.loadingUntil && s.statements.PausedUntil(&e, now) == 0)
		if g.ownership.IsSoleOwner(e.ID, now) {
			st.OwnedEndpoints = append(st.OwnedEndpoints, e.ID)
		}
	}
	return st
}

// EntryStatus is the status of one process, or the error from reading it.
type EntryStatus struct {
	Host   string
	Status Status
	Err    error
}

// ReadEntryStatuses reads the status of all processes in the group from their metrics port,
// sorted by member address.
func ReadEntryStatuses(ctx context.Context, groups GroupClient, port int) ([]EntryStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	list, err := groups.Members(ctx, groupName)
	if err != nil {
		return nil, fmt.Errorf("read group members from the log: %w", err)
	}
	members := list.Members
	slices.Sort(members)
	out := make([]EntryStatus, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			host, _, err := net.SplitHostPort(m)
			if err != nil {
				host = m
			}
			out[i] = EntryStatus{Host: host}
			out[i].Status, out[i].Err = readStatus(ctx, net.JoinHostPort(host, strconv.Itoa(port)))
		})
	}
	wg.Wait()
	return out, nil
}

// maxStatusBytes limits the size of the metrics of an entry.
const maxStatusBytes = 8 << 20

func readStatus(ctx context.Context, address string) (Status, error) {
	var vars struct {
		Galenaweir struct {
			Forwarding Status `json:"forwarding"`
		} `json:"galenaweir"`
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return Status{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Status{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Status{}, fmt.Errorf("read metrics: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&vars); err != nil {
		return Status{}, fmt.Errorf("decode metrics: %w", err)
	}
	if vars.Galenaweir.Forwarding.ID == "" {
		return Status{}, fmt.Errorf("metrics contain no forwarding status")
	}
	return vars.Galenaweir.Forwarding, nil
}

// PublishedVersions holds the newest configuration version and weight versions that the operators
// have written to the log.
type PublishedVersions struct {
	ConfigVersion  int64
	WeightVersions map[string]int64
}

// ReadPublishedVersions reads the operators' newest records.
func ReadPublishedVersions(ctx context.Context, operators Feed[forward.OperatorChange]) (PublishedVersions, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	p := PublishedVersions{WeightVersions: map[string]int64{}}
	batch, err := operators.Newest(ctx)
	if err != nil {
		return p, fmt.Errorf("read operators' records from the log: %w", err)
	}
	for _, c := range batch.Records {
		switch {
		case c.Config != nil:
			p.ConfigVersion = c.Config.Version
		case c.Weights != nil:
			p.WeightVersions[c.Weights.Model] = max(p.WeightVersions[c.Weights.Model], c.Weights.Version)
		}
	}
	return p, nil
}
