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

// Report holds the results of one measurement run.
type Report struct {
	Machine Machine `json:"machine"`
	Slopes  []Slope `json:"slopes"`
}

// Machine describes the host and the Go version that produced the figures.
type Machine struct {
	CPUs int    `json:"cpus"`
	Go   string `json:"go"`
}

// Options configures a measurement.
type Options struct {
	Bin      string          // folder that contains the program binaries
	Progress func(string)    // called after each part with its name and duration; may be nil
	Parts    map[string]bool // names of the parts to run; empty means all
}

type part struct {
	name string
	run  func() ([]Slope, error)
}

// Measure measures all slopes. Parts that measure this process's CPU time run one
// after the other. The simulation and the runs with separate processes don't measure
// it, so they run concurrently at the end.
func Measure(ctx context.Context, o Options) (*Report, error) {
	r := &Report{Machine: Machine{runtime.NumCPU(), runtime.Version()}}
	framing := 0.0
	sequential := []part{
		{"framing", func() (ss []Slope, err error) { ss, framing, err = framingSlopes(); return ss, err }},
		{"directory", directorySlopes},
		{"configuration", documentSlopes},
		{"claims", claimSlopes},
		{"routing", routingSlopes},
		{"live", liveSlopes},
	}
	for _, p := range sequential {
		ss, err := p.measure(o)
		if err != nil {
			return nil, err
		}
		r.Slopes = append(r.Slopes, ss...)
	}
	concurrent := []part{
		{"virtual", func() ([]Slope, error) { return virtualSlopes(framing) }},
		{"streams", func() ([]Slope, error) { return streamSlopes(ctx, o.Bin) }},
	}
	results := make([][]Slope, len(concurrent))
	var g errgroup.Group
	for i, p := range concurrent {
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
	if len(o.Parts) > 0 && !o.Parts[p.name] {
		return nil, nil
	}
	start := time.Now()
	ss, err := p.run()
	if err != nil {
		return nil, fmt.Errorf("measure %s: %w", p.name, err)
	}
	if o.Progress != nil {
		o.Progress(fmt.Sprintf("%s: %v", p.name, time.Since(start).Round(time.Second)))
	}
	return ss, nil
}

// Find returns the slope with the given ID.
func (r *Report) Find(id string) (Slope, error) {
	for _, s := range r.Slopes {
		if s.ID == id {
			return s, nil
		}
	}
	return Slope{}, fmt.Errorf("measurement has no slope %q; run make capacity", id)
}

// formatNumber formats a number with three significant digits and no exponent.
func formatNumber(v float64) string {
	const digits = 3
	if v == 0 || math.IsInf(v, 0) || math.IsNaN(v) {
		return fmt.Sprintf("%g", v)
	}
	decimals := max(0, digits-1-int(math.Floor(math.Log10(math.Abs(v)))))
	return fmt.Sprintf("%.*f", decimals, v)
}

// Markdown returns a table of all slopes.
func (r *Report) Markdown() string {
	var b strings.Builder
	b.WriteString("| quantity | unit | measured at (size: value) | size counts | per unit of size | R² | at the target | limit | | measured as |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range r.Slopes {
		var ps []string
		for _, p := range s.Points {
			ps = append(ps, formatNumber(p.X)+": "+formatNumber(p.Y))
		}
		limit := ""
		if s.Limit != 0 {
			limit = formatNumber(s.Limit)
		}
		per := fmt.Sprintf("%.3g", s.Gradient)
		if s.Scale == Log2 {
			per += " per doubling"
		}
		fmt.Fprintf(&b, "| %s (`%s`) | %s | %s | %s | %s | %.2f | %s at %s | %s | %s | %s |\n",
			s.Description, s.ID, s.Unit, strings.Join(ps, "; "), s.XUnit, per, s.R2, formatNumber(s.Value), formatNumber(s.Target), limit, s.Verdict(), s.Method)
	}
	return b.String()
}

// Files of a measurement, relative to the repository root.
const (
	JSONFile = "docs/measurements/capacity.json"
	PageFile = "docs/CAPACITY.md"
	fileMode = 0o644
)

// Write writes the figures and the page below the repository root.
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

// Read reads the committed figures below the repository root.
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
