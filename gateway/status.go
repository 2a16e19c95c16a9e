package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/galenaweir/galenaweir/core/forward"
)

// statusTimeout bounds an operator's question to one process.
const statusTimeout = 2 * time.Second

// Status is what a process believes, for operators.
type Status struct {
	ID          string            `json:"id"`
	Ready       bool              `json:"ready"`
	Config      int64             `json:"config"`        // version in force, 0 before the first
	ConfigAgeMs int64             `json:"config_age_ms"` // since a read that showed nothing newer
	Weights     map[string]int64  `json:"weights"`       // newest named version of each model
	Endpoints   int               `json:"endpoints"`
	Usable      int               `json:"usable"` // of them: neither suspect nor being changed
	Members     int               `json:"members"`
	Generation  int64             `json:"generation"` // of the list of members, the fence of orders
	Holds       []string          `json:"holds"`      // endpoints that this process gives orders to
	Rollouts    map[string]string `json:"rollouts"`   // stage by endpoint, of this process
	InFlight    int64             `json:"in_flight"`
}

// Status returns what this process believes now.
func (g *Gateway) Status() Status {
	ready := g.Ready()
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	st := Status{
		ID: g.settings.ID, Ready: ready, Weights: s.rollout.NewestTargets(), Members: len(s.peers.members), Generation: g.ownership.Generation(),
		Rollouts: s.rollout.Stages(), InFlight: g.inFlight.Load(), Holds: []string{},
	}
	if age, known := s.fresh.Age(now); known {
		st.ConfigAgeMs = age.Milliseconds()
	}
	if s.table != nil {
		st.Config = s.table.Config.Version
	}
	for _, e := range s.usableEndpoints(now) {
		es := s.endpoint(e.ID)
		st.Endpoints++
		st.Usable += boolInt(es.health.Usable(now) && now >= es.loading)
		if g.ownership.IsSoleOwner(e.ID, now) {
			st.Holds = append(st.Holds, e.ID)
		}
	}
	return st
}

// ProcessStatus is what an operator learns of one process.
type ProcessStatus struct {
	Host   string
	Status Status
	Err    error
}

// ReadStatuses asks the processes of the group for their status, by host. The port
// is the one of their metrics.
func ReadStatuses(ctx context.Context, groups Group, port int) ([]ProcessStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	members, err := groups.Members(ctx, groupName)
	if err != nil {
		return nil, fmt.Errorf("read the group of entries from the log: %w", err)
	}
	slices.Sort(members)
	out := make([]ProcessStatus, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			host, _, err := net.SplitHostPort(m)
			if err != nil {
				host = m
			}
			out[i] = ProcessStatus{Host: host}
			out[i].Status, out[i].Err = readStatus(ctx, net.JoinHostPort(host, strconv.Itoa(port)))
		})
	}
	wg.Wait()
	return out, nil
}

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
		return Status{}, fmt.Errorf("the metrics answered %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return Status{}, fmt.Errorf("read the metrics: %w", err)
	}
	if vars.Galenaweir.Forwarding.ID == "" {
		return Status{}, fmt.Errorf("the process forwards nothing")
	}
	return vars.Galenaweir.Forwarding, nil
}

// Published is what the operators have written, as the log has it.
type Published struct {
	Config  int64
	Weights map[string]int64
}

// ReadPublished reads what the operators have written.
func ReadPublished(ctx context.Context, operators Feed[forward.OperatorChange]) (Published, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	p := Published{Weights: map[string]int64{}}
	changes, _, err := operators.Newest(ctx)
	if err != nil {
		return p, fmt.Errorf("read the operators' records from the log: %w", err)
	}
	for _, c := range changes {
		switch {
		case c.Config != nil:
			p.Config = c.Config.Version
		case c.Weights != nil:
			p.Weights[c.Weights.Model] = max(p.Weights[c.Weights.Model], c.Weights.Version)
		}
	}
	return p, nil
}
