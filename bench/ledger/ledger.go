// Package ledger compares two runs of the users' benchmark. From the entries that
// the benchmark writes to the journal, it breaks down each day's loss by cause.
package ledger

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
)

// Day holds the results of one simulated day of a run.
type Day struct {
	Name           string         `json:"name"`
	Worth          float64        `json:"G"`
	Score          *float64       `json:"score"`
	Served         float64        `json:"served"`
	Refused        float64        `json:"refused"`
	Failed         float64        `json:"failed"`
	ClassShares    []*float64     `json:"by_class"` // share of the payoff earned, per kind of request
	RuleViolations map[string]int `json:"rules"`    // number of violations per broken rule
	Parts          [][]any        `json:"parts"`    // rows of name, weight and share earned
	Prices         [][]any        `json:"prices"`   // rows of name, amount and cost
	Fault          *string        `json:"fault"`
}

// Entry is the journal entry of one run.
type Entry struct {
	ID   string `json:"id"`
	Site string `json:"site"`
	Why  string `json:"why"`
	Days []Day  `json:"days"`
}

// Load reads the entry with the given ID from the journal folder.
func Load(folder, id string) (Entry, error) {
	var e Entry
	files, err := filepath.Glob(filepath.Join(folder, "*-"+id+".json"))
	if err != nil {
		return e, err
	}
	if len(files) != 1 {
		return e, fmt.Errorf("journal %s has %d entries with ID %q, want 1; use the ID that the bench printed as snapshot", folder, len(files), id)
	}
	data, err := os.ReadFile(files[0])
	if err != nil {
		return e, err
	}
	if err := json.Unmarshal(data, &e); err != nil {
		return e, fmt.Errorf("decode %s: %w", files[0], err)
	}
	return e, nil
}

// namedValue decodes a row of Parts or Prices into its name and its last value.
func namedValue(v []any) (name string, value float64) {
	if len(v) < 3 {
		return "", 0
	}
	name, _ = v[0].(string) // empty for a malformed row
	value, _ = v[2].(float64)
	return name, value
}

// losses returns the day's losses by cause: the unearned share of each weighted part,
// and the cost of each price.
func (d *Day) losses() map[string]float64 {
	out := map[string]float64{}
	for _, p := range d.Parts {
		name, share := namedValue(p)
		if weight, ok := p[1].(float64); ok {
			out[name] = weight * (1 - share)
		}
	}
	for _, p := range d.Prices {
		name, cost := namedValue(p)
		out[name] += cost
	}
	return out
}

// minLoss is the smallest loss that is printed.
const minLoss = 0.004

// Print writes the losses of each day that both runs contain, largest first.
func Print(w io.Writer, before, after Entry) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "day\tloss\t%s\t%s\tchange\t\n", before.ID, after.ID)
	for _, a := range after.Days {
		i := slices.IndexFunc(before.Days, func(b Day) bool { return b.Name == a.Name })
		if i < 0 {
			continue
		}
		b := before.Days[i]
		writeRow := func(name string, x, y float64) {
			fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%+.3f\t\n", a.Name, name, x, y, y-x)
		}
		writeRow("worth", b.Worth, a.Worth)
		writeRow("refused", b.Refused, a.Refused)
		writeRow("failed", b.Failed, a.Failed)
		x, y := b.losses(), a.losses()
		var names []string
		for n := range y {
			if max(x[n], y[n]) >= minLoss {
				names = append(names, n)
			}
		}
		slices.SortFunc(names, func(m, n string) int {
			switch {
			case y[m] > y[n]:
				return -1
			case y[m] < y[n]:
				return 1
			}
			return 0
		})
		for _, n := range names {
			writeRow(n, x[n], y[n])
		}
		for rule, n := range a.RuleViolations {
			fmt.Fprintf(t, "%s\tBROKEN %s\t%d\t%d\t\t\n", a.Name, rule, b.RuleViolations[rule], n)
		}
	}
	return t.Flush()
}
