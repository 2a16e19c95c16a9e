package measure

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/galenaweir/galenaweir/bench/trace"
)

const percent = 100

// Markdown returns the tables of the results as Markdown.
func (r *Report) Markdown() string {
	var b strings.Builder
	b.WriteString("# Measurements by replay\n\nWritten by `make measure`. First-token times in milliseconds as the caller sees them; shares in percent. Limited: requests beyond their customer's limit, all and those of light customers.\n")
	last := ""
	for _, run := range r.Runs {
		if run.Trace != last {
			last = run.Trace
			fmt.Fprintf(&b, "\n## %s\n\n", run.Trace)
			b.WriteString("| policy | all p50 / p95 / p99 | interactive p50 / p95 / p99 | standard p95 | batch p95 | light customers p95 | between tokens p95 | recomputed | held nowhere | exported | highest link use, mean and in one second | refused | late | retries | limited |\n")
			b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
		}
		x := run.Result
		a, i := x.FirstTokenByClass["all"], x.FirstTokenByClass[trace.Interactive]
		mean, peak := 0.0, 0.0
		for _, l := range x.Links {
			mean, peak = max(mean, percent*l.MeanUse), max(peak, percent*l.PeakUse)
		}
		fmt.Fprintf(&b, "| %s | %.0f / %.0f / %.0f | %.0f / %.0f / %.0f | %.0f | %.0f | %.0f | %.1f | %.2f | %.2f | %.0f | %.0f, %.0f | %.2f | %.2f | %.2f | %.2f, %.2f |\n",
			strings.TrimPrefix(run.Policy, "routing."), a.P50, a.P95, a.P99, i.P50, i.P95, i.P99,
			x.FirstTokenByClass[trace.Standard].P95, x.FirstTokenByClass[trace.Batch].P95, x.LightFirstToken.P95, x.BetweenTokens.P95,
			percent*x.RecomputedShare, percent*x.UnavailableShare, percent*x.ExportedShare, mean, peak, percent*x.RefusedShare, percent*x.DeadlineMissedShare, percent*x.RetriesPerRequest, percent*x.LimitedShare, percent*x.LightLimitedShare)
	}
	r.faultTable(&b)
	b.WriteString("\n## Stated outcomes\n\n| trace | outcome | limit | measured | | source |\n|---|---|---|---|---|---|\n")
	for _, v := range r.Outcomes {
		fmt.Fprintf(&b, "| %s | %s | %.4g | %.4g | %s | %s |\n", v.Trace, v.Text, v.Limit, v.Measured, v.status(), v.Source)
	}
	return b.String()
}

// faultTable writes the table of the requests that arrive during each fault.
func (r *Report) faultTable(b *strings.Builder) {
	b.WriteString("\n## Requests that arrive during a fault\n\n| trace | policy | first token p50 / p95 / p99 | p95 against the same trace undisturbed | refused | late | retries |\n|---|---|---|---|---|---|---|\n")
	for _, run := range r.Runs {
		s, err := trace.FindSpec(run.Trace)
		if err != nil || len(s.Faults) == 0 {
			continue
		}
		w, ratio := run.Result.DuringFaults, "not run"
		if base := r.resultOf(s.BaseTrace, run.Policy); base != nil {
			ratio = fmt.Sprintf("%.2f", w.FirstToken.P95/base.FirstTokenByClass["all"].P95)
		}
		fmt.Fprintf(b, "| %s | %s | %.0f / %.0f / %.0f | %s | %.2f | %.2f | %.2f |\n", run.Trace, strings.TrimPrefix(run.Policy, "routing."),
			w.FirstToken.P50, w.FirstToken.P95, w.FirstToken.P99, ratio, percent*w.RefusedShare, percent*w.DeadlineMissedShare, percent*w.RetriesPerRequest)
	}
}

// Output files of a measurement, and the modes of new files and directories.
const (
	jsonFile  = "latest.json"
	tableFile = "latest.md"
	fileMode  = 0o644
	dirMode   = 0o755
)

// Write writes the results as JSON, the tables and the plots to the directory dir.
func (r *Report) Write(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return fmt.Errorf("create the output directory: %w", err)
	}
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("encode the results: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, jsonFile), append(data, '\n'), fileMode); err != nil {
		return fmt.Errorf("write the results: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, tableFile), []byte(r.Markdown()), fileMode); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return r.plots(dir)
}
