package trace

import (
	"embed"
	"encoding/json"
	"fmt"
)

//go:embed outcomes/*.json
var outcomeFiles embed.FS

// Outcome is a figure that the product's policy must not exceed on a trace. It is
// stated from the design page, never from a measurement.
type Outcome struct {
	Text      string   `json:"text"`
	Metric    string   `json:"metric"`
	Class     string   `json:"class,omitempty"`
	Max       float64  `json:"max"`                  // the limit, or the factor on the others' figure
	Policies  []string `json:"policies,omitempty"`   // compared with the best of these
	BaseTrace string   `json:"base_trace,omitempty"` // their figure on this trace
	Source    string   `json:"source"`
}

// Outcomes returns the stated outcomes of the trace.
func Outcomes(trace string) ([]Outcome, error) {
	data, err := outcomeFiles.ReadFile("outcomes/" + trace + ".json")
	if err != nil {
		return nil, fmt.Errorf("trace %s has no stated outcomes: %w", trace, err)
	}
	var os []Outcome
	if err := json.Unmarshal(data, &os); err != nil {
		return nil, fmt.Errorf("outcomes of trace %s: %w", trace, err)
	}
	return os, nil
}
