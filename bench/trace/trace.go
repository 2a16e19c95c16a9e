// Package trace defines the format of recorded traces and generates traces. A trace
// consists of JSON lines in the format of the entry's decision log. The field
// "message" holds the type of a line.
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

// Trace is a deployment with its initial contexts and with the requests and faults
// during the trace. Arrivals and faults are sorted by time.
type Trace struct {
	Deployment    Deployment
	PriorContexts []PriorContext
	Arrivals      []Arrival
	Faults        []Fault
}

// Deployment is the line "deployment": the sizes of the deployment in the replay.
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
	// CustomerShares are the contracted shares of the customers, in the order of Customers.
	// Their sum is 1. Without shares there are no limits.
	CustomerShares []float64 `json:"shares,omitempty"`
	Stores         []string  `json:"stores"`
	HopDelayMs     float64   `json:"hop_ms"`    // one-way delay between failure domains
	ClientDelayMs  float64   `json:"client_ms"` // one-way delay between caller and entry

	Slots                  int     `json:"slots"`
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	DecodeMsPerToken       float64 `json:"decode_ms_per_token"`
	EngineKVTokens         int     `json:"kv_tokens"`
	KVBytesPerToken        int64   `json:"kv_bytes_per_token"`
	MaxLoading             int     `json:"max_loading"`
	WeightLoadMs           float64 `json:"weight_load_ms"`

	StoreMemoryBytes   int64   `json:"store_memory_bytes"`
	StoreDiskBytes     int64   `json:"store_disk_bytes"`
	LinkBytesPerSecond float64 `json:"link_bytes_per_second"`
	DiskBytesPerSecond float64 `json:"disk_bytes_per_second"`
	WarmupMs           int64   `json:"warmup_ms"` // earlier arrivals are replayed but not measured
}

// PriorContext is the line "context": a context that was built before the trace starts.
// A store holds it if it fits.
type PriorContext struct {
	Message      string `json:"message"`
	Customer     string `json:"customer"`
	Conversation string `json:"conversation"`
	Tokens       int    `json:"tokens"`
	AgeSeconds   int64  `json:"age_s"`
}

// Arrival is the line "arrival": a request from a caller.
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

// FaultKind is the kind of a fault.
type FaultKind string

// Kinds of faults.
const (
	StoreLost     FaultKind = "store_lost"     // target: store
	LinkSlow      FaultKind = "link_slow"      // target: store; factor: share of the bandwidth that remains
	DomainLost    FaultKind = "domain_lost"    // target: failure domain
	EntriesLost   FaultKind = "entries_lost"   // factor: share of the entries
	EntriesSlow   FaultKind = "entries_slow"   // factor: share of the entries
	WeightRollout FaultKind = "weight_rollout" // the model gets new weights
)

// Fault is the line "fault": a fault that is injected during the replay.
type Fault struct {
	Message    string    `json:"message"`
	AtMs       float64   `json:"at_ms"`
	DurationMs float64   `json:"for_ms"` // zero means until the end of the trace
	Kind       FaultKind `json:"kind"`
	Target     string    `json:"target,omitempty"`
	Factor     float64   `json:"factor,omitempty"`
}

// Values of the field "message".
const (
	messageDeployment = "deployment"
	messageContext    = "context"
	messageArrival    = "arrival"
	messageFault      = "fault"
	messageDecision   = "routed"
)

// Write writes the trace as JSON lines.
func Write(w io.Writer, t *Trace) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	t.Deployment.Message = messageDeployment
	lines := []any{t.Deployment}
	for _, c := range t.PriorContexts {
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
			return fmt.Errorf("write trace line: %w", err)
		}
	}
	return b.Flush()
}

// fallbackDeadlineMs is the deadline of requests whose decision line has none.
const fallbackDeadlineMs = 60_000

// decisionLine is a line of an entry's decision log. If a log has no arrivals, Read
// adds one arrival for each request, at the time of its first decision.
type decisionLine struct {
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

// maxLineBytes is the maximum length of a line. A decision line lists up to 830
// candidates.
const maxLineBytes = 1 << 20

// Read reads a trace. It skips lines with other messages, so that an entry's
// complete log can be read.
func Read(r io.Reader) (*Trace, error) {
	t := &Trace{}
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	var decisions []decisionLine
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
			err = errors.Join(err, decodeAppend(line, &t.PriorContexts))
		case messageArrival:
			err = errors.Join(err, decodeAppend(line, &t.Arrivals))
		case messageFault:
			err = errors.Join(err, decodeAppend(line, &t.Faults))
		case messageDecision:
			err = errors.Join(err, decodeAppend(line, &decisions))
		}
		if err != nil {
			return nil, fmt.Errorf("trace line %d: %w", n, err)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	if len(t.Arrivals) == 0 {
		t.Arrivals = arrivalsFromDecisions(decisions)
	}
	t.sort()
	return t, nil
}

func decodeAppend[T any](line []byte, dst *[]T) error {
	var v T
	if err := json.Unmarshal(line, &v); err != nil {
		return err
	}
	*dst = append(*dst, v)
	return nil
}

func arrivalsFromDecisions(decisions []decisionLine) []Arrival {
	sort.SliceStable(decisions, func(i, j int) bool { return decisions[i].Time.Before(decisions[j].Time) })
	var arrivals []Arrival
	seen := map[string]bool{}
	for _, d := range decisions {
		if seen[d.Request] {
			continue
		}
		seen[d.Request] = true
		if d.Conversation == "" {
			d.Conversation = d.Request
		}
		if d.DeadlineMs == 0 {
			d.DeadlineMs = fallbackDeadlineMs
		}
		arrivals = append(arrivals, Arrival{
			AtMs: float64(d.Time.Sub(decisions[0].Time)) / float64(time.Millisecond), Request: d.Request, Customer: d.Customer,
			Conversation: d.Conversation, Model: d.Model, Kind: "recorded", Priority: d.Priority,
			PromptTokens: d.PromptTokens, MaxTokens: d.MaxTokens, DeadlineMs: d.DeadlineMs,
		})
	}
	return arrivals
}

// sort sorts arrivals and faults by time. Prior contexts are sorted from the oldest to
// the newest, so that a full store evicts the oldest first.
func (t *Trace) sort() {
	sort.SliceStable(t.Arrivals, func(i, j int) bool { return t.Arrivals[i].AtMs < t.Arrivals[j].AtMs })
	sort.SliceStable(t.Faults, func(i, j int) bool { return t.Faults[i].AtMs < t.Faults[j].AtMs })
	sort.SliceStable(t.PriorContexts, func(i, j int) bool { return t.PriorContexts[i].AgeSeconds > t.PriorContexts[j].AgeSeconds })
}
