package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// Report is a run of the measurement.
type Report struct {
	Machine Machine `json:"machine"`
	Slopes  []Slope `json:"slopes"`
}

// Machine tells where the figures come from.
type Machine struct {
	CPUs int    `json:"cpus"`
	Go   string `json:"go"`
}

// Options sets up a measurement.
type Options struct {
	Bin      string          // folder of the programs; empty leaves out the runs with separate processes
	Progress func(string)    // told of each part; may be nil
	Only     map[string]bool // parts to run, empty for all
}

type part struct {
	name string
	run  func() ([]Slope, error)
}

// Measure measures all slopes. The parts that take this process's CPU time run one
// after the other; the simulation and the runs with separate processes, which
// don't, run at once at the end.
func Measure(ctx context.Context, o Options) (*Report, error) {
	r := &Report{Machine: Machine{runtime.NumCPU(), runtime.Version()}}
	framing := 0.0
	alone := []part{
		{"framing", func() (ss []Slope, err error) { ss, framing, err = framingSlopes(); return ss, err }},
		{"directory", directorySlopes},
		{"configuration", documentSlopes},
		{"claims", claimSlopes},
		{"routing", routingSlopes},
		{"live", liveSlopes},
	}
	for _, p := range alone {
		ss, err := p.measure(o)
		if err != nil {
			return nil, err
		}
		r.Slopes = append(r.Slopes, ss...)
	}
	together := []part{
		{"virtual", func() ([]Slope, error) { return virtualSlopes(framing) }},
		{"streams", func() ([]Slope, error) { return streamSlopes(ctx, o.Bin) }},
	}
	results := make([][]Slope, len(together))
	var g errgroup.Group
	for i, p := range together {
		g.Go(func() (err error) {
			results[i], err = p.measure(o)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	r.Slopes = append(r.Slopes, slices.Concat(results...)...)
	return r, nil
}

func (p part) measure(o Options) ([]Slope, error) {
	if len(o.Only) > 0 && !o.Only[p.name] {
		return nil, nil
	}
	began := time.Now()
	ss, err := p.run()
	if err != nil {
		return nil, fmt.Errorf("measure %s: %w", p.name, err)
	}
	if o.Progress != nil {
		o.Progress(fmt.Sprintf("%s: %v", p.name, time.Since(began).Round(time.Second)))
	}
	return ss, nil
}

// Find returns the slope with the ID.
func (r *Report) Find(id string) (Slope, error) {
	for _, s := range r.Slopes {
		if s.ID == id {
			return s, nil
		}
	}
	return Slope{}, fmt.Errorf("the measurement has no slope %q; run make capacity", id)
}

// number formats with three significant digits and no exponent.
func number(v float64) string {
	const digits = 3
	if v == 0 || math.IsInf(v, 0) || math.IsNaN(v) {
		return fmt.Sprintf("%g", v)
	}
	decimals := max(0, digits-1-int(math.Floor(math.Log10(math.Abs(v)))))
	return fmt.Sprintf("%.*f", decimals, v)
}

// Markdown returns the table of all slopes.
func (r *Report) Markdown() string {
	var b strings.Builder
	b.WriteString("| quantity | unit | measured at (size: value) | size counts | per unit of size | R² | at the target | limit | | measured as |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range r.Slopes {
		var ps []string
		for _, p := range s.Points {
			ps = append(ps, number(p.X)+": "+number(p.Y))
		}
		limit := ""
		if s.Limit != 0 {
			limit = number(s.Limit)
		}
		per := fmt.Sprintf("%.3g", s.Gradient)
		if s.Scale == Log2 {
			per += " per doubling"
		}
		fmt.Fprintf(&b, "| %s (`%s`) | %s | %s | %s | %s | %.2f | %s at %s | %s | %s | %s |\n",
			s.Text, s.ID, s.Unit, strings.Join(ps, "; "), s.XUnit, per, s.R2, number(s.Value), number(s.Target), limit, s.Verdict(), s.How)
	}
	return b.String()
}

// Files of a measurement, below the root of the repository.
const (
	JSONFile = "docs/measurements/capacity.json"
	PageFile = "docs/CAPACITY.md"
	fileMode = 0o644
)

// Write writes the figures and the page.
func (r *Report) Write(root string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("encode the measurement: %w", err)
	}
	if err := os.WriteFile(filepath.Join(root, JSONFile), append(data, '\n'), fileMode); err != nil {
		return fmt.Errorf("write the measurement: %w", err)
	}
	page, err := r.Page()
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(root, PageFile), []byte(page), fileMode); err != nil {
		return fmt.Errorf("write the page: %w", err)
	}
	return nil
}

// Read reads the figures of a repository.
func Read(root string) (*Report, error) {
	data, err := os.ReadFile(filepath.Join(root, JSONFile))
	if err != nil {
		return nil, fmt.Errorf("read the measurement: %w", err)
	}
	r := &Report{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("decode the measurement: %w", err)
	}
	return r, nil
}
