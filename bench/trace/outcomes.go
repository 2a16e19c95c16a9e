package trace

import (
	"embed"
	"encoding/json"
	"fmt"
)

//go:embed outcomes/*.json
var outcomeFiles embed.FS

// Outcome is an upper limit on a metric of the product's policy for one trace. It is
// derived from the design, never from a measurement.
type Outcome struct {
	Text              string   `json:"text"`
	Metric            string   `json:"metric"`
	Class             string   `json:"class,omitempty"`
	Max               float64  `json:"max"`                  // limit, or factor on the reference value if ReferencePolicies or ReferenceTrace is set
	ReferencePolicies []string `json:"policies,omitempty"`   // the reference is the best value of these policies
	ReferenceTrace    string   `json:"base_trace,omitempty"` // the reference is taken from this trace
	Source            string   `json:"source"`
}

// Outcomes returns the expected outcomes of the trace.
func Outcomes(trace string) ([]Outcome, error) {
	data, err := outcomeFiles.ReadFile("outcomes/" + trace + ".json")
	if err != nil {
		return nil, fmt.Errorf("read the outcomes of trace %s: %w", trace, err)
	}
	var os []Outcome
	if err := json.Unmarshal(data, &os); err != nil {
		return nil, fmt.Errorf("decode the outcomes of trace %s: %w", trace, err)
	}
	return os, nil
}
