package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Scale is the regressor of a fit.
type Scale string

// The regressors: the size, or its logarithm to base 2 for what grows with the
// number of ring neighbours.
const (
	Linear Scale = "x"
	Log2   Scale = "log2 x"
)

func (s Scale) of(x float64) float64 {
	if s == Log2 {
		return math.Log2(x)
	}
	return x
}

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a quantity measured at several sizes, and its value at the target.
type Slope struct {
	ID       string  `json:"id"`
	Text     string  `json:"text"`
	Unit     string  `json:"unit"`
	XUnit    string  `json:"x_unit"`
	How      string  `json:"how"` // how it was measured
	Points   []Point `json:"points"`
	Scale    Scale   `json:"scale"`
	Offset   float64 `json:"offset"`
	Gradient float64 `json:"gradient"`
	R2       float64 `json:"r2"`
	Target   float64 `json:"target"` // x
	Value    float64 `json:"value"`  // y by the fit at the target
	Limit    float64 `json:"limit,omitempty"`
}

// Verdicts of a slope.
const (
	Met     = "met"
	NotMet  = "not met"
	NoLimit = "no limit"
)

// fit fills in the least-squares line and its value at the target.
func (s Slope) fit() Slope {
	if s.Scale == "" {
		s.Scale = Linear
	}
	var xs, ys []float64
	for _, p := range s.Points {
		xs, ys = append(xs, s.Scale.of(p.X)), append(ys, p.Y)
	}
	s.Offset, s.Gradient = stat.LinearRegression(xs, ys, nil, false)
	s.R2 = 1 // a constant is fitted exactly
	if stat.Variance(ys, nil) > 0 {
		s.R2 = stat.RSquared(xs, ys, nil, s.Offset, s.Gradient)
	}
	s.Value = s.At(s.Target)
	return s
}

// At returns the fitted value at a size.
func (s Slope) At(x float64) float64 { return s.Offset + s.Gradient*s.Scale.of(x) }

// Reaches returns the size at which the fit reaches the limit, infinite when it
// never does.
func (s Slope) Reaches(limit float64) float64 {
	if s.Gradient <= 0 {
		return math.Inf(1)
	}
	x := (limit - s.Offset) / s.Gradient
	if s.Scale == Log2 {
		return math.Exp2(x)
	}
	return x
}

// Verdict compares the value at the target with the limit. A point measured at
// the target counts as well, since the fit may lie below it.
func (s Slope) Verdict() string {
	if s.Limit == 0 {
		return NoLimit
	}
	worst := s.Value
	for _, p := range s.Points {
		if p.X == s.Target {
			worst = max(worst, p.Y)
		}
	}
	if worst <= s.Limit {
		return Met
	}
	return NotMet
}
