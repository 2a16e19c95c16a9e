// Package trace holds the format of recorded traces: JSON lines of the same shape
// as the entry's decision log. The field "message" names the kind of a line.
package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"time"
)

// Trace is a deployment with what happens to it, in order of time.
type Trace struct {
	Deployment Deployment
	Contexts   []Context
	Arrivals   []Arrival
	Faults     []Fault
}

// Deployment is the line "deployment": the sizes that the trace is replayed at.
type Deployment struct {
	Message        string   `json:"message"`
	Trace          string   `json:"trace"`
	Seed           uint64   `json:"seed"`
	Name           string   `json:"deployment"`
	Model          string   `json:"model"`
	FailureDomains []string `json:"failure_domains"`
	Endpoints      int      `json:"endpoints"`
	Entries        int      `json:"entries"`
	Customers      []string `json:"customers"`
	// Shares are what the customers have contracted, in the customers' order and
	// with the sum 1; without them there are no limits.
	Shares   []float64 `json:"shares,omitempty"`
	Stores   []string  `json:"stores"`
	HopMs    float64   `json:"hop_ms"`    // one way between failure domains
	ClientMs float64   `json:"client_ms"` // one way between caller and entry

	Slots           int     `json:"slots"`
	PrefillRate     float64 `json:"prefill_tokens_per_second"`
	DecodeMs        float64 `json:"decode_ms_per_token"`
	EngineTokens    int     `json:"kv_tokens"`
	KVBytesPerToken int64   `json:"kv_bytes_per_token"`
	MaxLoading      int     `json:"max_loading"`
	WeightLoadMs    float64 `json:"weight_load_ms"`

	StoreMemoryBytes int64   `json:"store_memory_bytes"`
	StoreDiskBytes   int64   `json:"store_disk_bytes"`
	LinkBytesPerSec  float64 `json:"link_bytes_per_second"`
	DiskBytesPerSec  float64 `json:"disk_bytes_per_second"`
	WarmupMs         int64   `json:"warmup_ms"` // arrivals before are replayed but not counted
}

// Context is the line "context": one that was built before the trace begins and
// that a store has, if it still fits.
type Context struct {
	Message      string `json:"message"`
	Customer     string `json:"customer"`
	Conversation string `json:"conversation"`
	Tokens       int    `json:"tokens"`
	AgeSeconds   int64  `json:"age_s"`
}

// Arrival is the line "arrival": a request of a caller.
type Arrival struct {
	Message      string  `json:"message"`
	AtMs         float64 `json:"at_ms"`
	Request      string  `json:"request"`
	Customer     string  `json:"customer"`
	Conversation string  `json:"conversation"`
	Model        string  `json:"model"`
	Kind         string  `json:"kind"`
	Priority     string  `json:"priority"`
	PromptTokens int     `json:"prompt_tokens"`
	MaxTokens    int     `json:"max_tokens"`
	DeadlineMs   int64   `json:"deadline_ms"`
}

// FaultKind says what fails.
type FaultKind string

// Kinds of faults.
const (
	StoreLost     FaultKind = "store_lost"     // target: store
	LinkSlow      FaultKind = "link_slow"      // target: store; factor of the rate left
	DomainLost    FaultKind = "domain_lost"    // target: failure domain
	EntriesLost   FaultKind = "entries_lost"   // factor: share of the entries
	EntriesSlow   FaultKind = "entries_slow"   // factor: share of the entries
	WeightRollout FaultKind = "weight_rollout" // the model gets new weights
)

// Fault is the line "fault".
type Fault struct {
	Message string    `json:"message"`
	AtMs    float64   `json:"at_ms"`
	ForMs   float64   `json:"for_ms"` // zero for the rest of the trace
	Kind    FaultKind `json:"kind"`
	Target  string    `json:"target,omitempty"`
	Factor  float64   `json:"factor,omitempty"`
}

// Messages of the lines.
const (
	messageDeployment = "deployment"
	messageContext    = "context"
	messageArrival    = "arrival"
	messageFault      = "fault"
	messageRouted     = "routed"
)

// Write writes the trace as JSON lines.
func Write(w io.Writer, t *Trace) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	t.Deployment.Message = messageDeployment
	lines := []any{t.Deployment}
	for _, c := range t.Contexts {
		c.Message = messageContext
		lines = append(lines, c)
	}
	for _, f := range t.Faults {
		f.Message = messageFault
		lines = append(lines, f)
	}
	for _, a := range t.Arrivals {
		a.Message = messageArrival
		lines = append(lines, a)
	}
	for _, l := range lines {
		if err := enc.Encode(l); err != nil {
			return fmt.Errorf("write a trace line: %w", err)
		}
	}
	return b.Flush()
}

// recordedDeadlineMs stands in for a deadline that a decision line doesn't have.
const recordedDeadlineMs = 60_000

// routed is the entry's decision line. An entry's log without arrivals is read as
// one arrival for each request, at the time of its first decision.
type routed struct {
	Time         time.Time `json:"time"`
	Request      string    `json:"request"`
	Customer     string    `json:"customer"`
	Conversation string    `json:"conversation"`
	Model        string    `json:"model"`
	Priority     string    `json:"priority"`
	PromptTokens int       `json:"prompt_tokens"`
	MaxTokens    int       `json:"max_tokens"`
	DeadlineMs   int64     `json:"deadline_ms"`
}

// maxLineBytes bounds a line: a decision line lists up to 830 candidates.
const maxLineBytes = 1 << 20

// Read reads a trace. Lines with another message are passed over, so that an
// entry's whole log can be given.
func Read(r io.Reader) (*Trace, error) {
	t := &Trace{}
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	var decisions []routed
	for n := 1; sc.Scan(); n++ {
		var head struct {
			Message string `json:"message"`
		}
		line := sc.Bytes()
		if len(line) == 0 {
			continue
		}
		err := json.Unmarshal(line, &head)
		switch head.Message {
		case messageDeployment:
			err = errors.Join(err, json.Unmarshal(line, &t.Deployment))
		case messageContext:
			err = errors.Join(err, appendLine(line, &t.Contexts))
		case messageArrival:
			err = errors.Join(err, appendLine(line, &t.Arrivals))
		case messageFault:
			err = errors.Join(err, appendLine(line, &t.Faults))
		case messageRouted:
			err = errors.Join(err, appendLine(line, &decisions))
		}
		if err != nil {
			return nil, fmt.Errorf("trace line %d: %w", n, err)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("read a trace: %w", err)
	}
	if len(t.Arrivals) == 0 {
		t.Arrivals = fromDecisions(decisions)
	}
	t.sort()
	return t, nil
}

func appendLine[T any](line []byte, to *[]T) error {
	var v T
	if err := json.Unmarshal(line, &v); err != nil {
		return err
	}
	*to = append(*to, v)
	return nil
}

func fromDecisions(ds []routed) []Arrival {
	sort.SliceStable(ds, func(i, j int) bool { return ds[i].Time.Before(ds[j].Time) })
	var as []Arrival
	seen := map[string]bool{}
	for _, d := range ds {
		if seen[d.Request] {
			continue
		}
		seen[d.Request] = true
		if d.Conversation == "" {
			d.Conversation = d.Request
		}
		if d.DeadlineMs == 0 {
			d.DeadlineMs = recordedDeadlineMs
		}
		as = append(as, Arrival{
			AtMs: float64(d.Time.Sub(ds[0].Time)) / float64(time.Millisecond), Request: d.Request, Customer: d.Customer,
			Conversation: d.Conversation, Model: d.Model, Kind: "recorded", Priority: d.Priority,
			PromptTokens: d.PromptTokens, MaxTokens: d.MaxTokens, DeadlineMs: d.DeadlineMs,
		})
	}
	return as
}

func (t *Trace) sort() {
	sort.SliceStable(t.Arrivals, func(i, j int) bool { return t.Arrivals[i].AtMs < t.Arrivals[j].AtMs })
	sort.SliceStable(t.Faults, func(i, j int) bool { return t.Faults[i].AtMs < t.Faults[j].AtMs })
	sort.SliceStable(t.Contexts, func(i, j int) bool { return t.Contexts[i].AgeSeconds > t.Contexts[j].AgeSeconds })
}
