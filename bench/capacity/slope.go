package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Scale is the regressor of a linear fit.
type Scale string

// The regressors are the size, and its base-2 logarithm for quantities that grow with
// the number of ring neighbors.
const (
	Linear Scale = "x"
	Log2   Scale = "log2 x"
)

func (s Scale) apply(x float64) float64 {
	if s == Log2 {
		return math.Log2(x)
	}
	return x
}

// Point is one measurement: the size X and the value Y.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a quantity measured at several sizes, with its fit and its value at the
// target size.
type Slope struct {
	ID          string  `json:"id"`
	Description string  `json:"text"`
	Unit        string  `json:"unit"`
	XUnit       string  `json:"x_unit"`
	Method      string  `json:"how"` // measurement method
	Points      []Point `json:"points"`
	Scale       Scale   `json:"scale"`
	Intercept   float64 `json:"offset"`
	Gradient    float64 `json:"gradient"`
	R2          float64 `json:"r2"`
	Target      float64 `json:"target"` // target size, an X value
	Value       float64 `json:"value"`  // fitted value at the target size
	Limit       float64 `json:"limit,omitempty"`
}

// Verdicts of a slope.
const (
	Met     = "met"
	NotMet  = "not met"
	NoLimit = "no limit"
)

// fit returns the slope with its least-squares line and the value at the target size.
func (s Slope) fit() Slope {
	if s.Scale == "" {
		s.Scale = Linear
	}
	var xs, ys []float64
	for _, p := range s.Points {
		xs, ys = append(xs, s.Scale.apply(p.X)), append(ys, p.Y)
	}
	s.Intercept, s.Gradient = stat.LinearRegression(xs, ys, nil, false)
	s.R2 = 1 // constant values are fitted exactly
	if stat.Variance(ys, nil) > 0 {
		s.R2 = stat.RSquared(xs, ys, nil, s.Intercept, s.Gradient)
	}
	s.Value = s.At(s.Target)
	return s
}

// At returns the fitted value at size x.
func (s Slope) At(x float64) float64 { return s.Intercept + s.Gradient*s.Scale.apply(x) }

// SizeAtLimit returns the size at which the fit reaches the limit, or infinity if it
// doesn't grow.
func (s Slope) SizeAtLimit(limit float64) float64 {
	if s.Gradient <= 0 {
		return math.Inf(1)
	}
	x := (limit - s.Intercept) / s.Gradient
	if s.Scale == Log2 {
		return math.Exp2(x)
	}
	return x
}

// Verdict compares the fitted value at the target with the limit. A point measured
// at the target size is compared as well, since it may lie above the fit.
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
