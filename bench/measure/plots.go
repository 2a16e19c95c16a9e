package measure

import (
	"fmt"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/galenaweir/galenaweir/bench/replay"
)

// Sizes of the plots.
const (
	plotHeight    = 12 * vg.Centimeter
	barGroupWidth = 3.2 * vg.Centimeter
	barWidth      = 8 * vg.Millimeter / 2
)

// plottedPolicies are the policies in the plots. The table lists all policies.
var plottedPolicies = []string{"routing.least_load", "routing.no_store", "routing.sticky", "routing.prefix_cost_v1", ProductPolicy, Oracle}

// maxPlottedMs is the height at which the bars of overloaded replays are cut off, so
// that the other bars remain distinguishable.
const maxPlottedMs = 2000

// legendHeadroom is the ratio of the y-axis to the highest bar, which leaves space
// for the legend.
const legendHeadroom = 1.35

// plottedTraceSuffixes are the suffixes of the traces in the plots. The fault traces
// are left out, since they are too many for a readable plot.
var plottedTraceSuffixes = []string{"returning", "bursts", "rollout", "even", "heavy"}

func (r *Report) plots(dir string) error {
	for name, f := range map[string]struct {
		title string
		value func(*replay.Result) float64
	}{
		"first-token-p95.png": {"first token, p95 (ms, bars end at 2000)", func(x *replay.Result) float64 { return min(maxPlottedMs, x.FirstTokenByClass["all"].P95) }},
		"recomputed.png":      {"tokens recomputed, of those built before (%)", func(x *replay.Result) float64 { return percent * x.RecomputedShare }},
		"links.png":           {"link use, highest mean of a link (%)", maxMeanLinkUse},
	} {
		if err := r.plot(filepath.Join(dir, name), f.title, f.value); err != nil {
			return fmt.Errorf("plot %s: %w", name, err)
		}
	}
	return nil
}

func maxMeanLinkUse(x *replay.Result) float64 {
	mean := 0.0
	for _, l := range x.Links {
		mean = max(mean, percent*l.MeanUse)
	}
	return mean
}

// plot draws a group of bars for each trace, with one bar for each policy.
func (r *Report) plot(file, title string, value func(*replay.Result) float64) error {
	var traces []string
	for _, run := range r.Runs {
		_, suffix, _ := strings.Cut(run.Trace, "-")
		for _, p := range plottedTraceSuffixes {
			if strings.HasSuffix(suffix, p) && (len(traces) == 0 || traces[len(traces)-1] != run.Trace) {
				traces = append(traces, run.Trace)
			}
		}
	}
	if len(traces) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text = title
	p.Legend.Top = true
	p.Y.Min = 0
	highest := 0.0
	for i, name := range plottedPolicies {
		var values plotter.Values
		for _, t := range traces {
			values = append(values, value(r.resultOf(t, name)))
			highest = max(highest, values[len(values)-1])
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(plottedPolicies)-1)/2)
		p.Add(bars)
		p.Legend.Add(strings.TrimPrefix(name, "routing."), bars)
	}
	p.Y.Max = legendHeadroom * highest
	p.NominalX(traces...)
	return p.Save(barGroupWidth*vg.Length(len(traces)+1), plotHeight, file)
}
