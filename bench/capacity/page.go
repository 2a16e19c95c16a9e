package capacity

import (
	_ "embed"
	"errors"
	"fmt"
	"math"
	"strings"
	"text/template"
)

//go:embed page.md.tmpl
var pageTemplate string

// Page returns the content of docs/CAPACITY.md with the figures of the report.
func (r *Report) Page() (string, error) {
	t, err := template.New("page").Option("missingkey=error").Funcs(r.functions()).Parse(pageTemplate)
	if err != nil {
		return "", fmt.Errorf("parse the page: %w", err)
	}
	var b strings.Builder
	if err := t.Execute(&b, r); err != nil {
		return "", fmt.Errorf("write the page: %w", err)
	}
	return b.String(), nil
}

// functions returns the template's functions. They return plain numbers, which num
// and int format.
func (r *Report) functions() template.FuncMap {
	slopeValue := func(f func(Slope) float64) func(string) (float64, error) {
		return func(id string) (float64, error) {
			s, err := r.Find(id)
			if err != nil {
				return 0, err
			}
			return f(s), nil
		}
	}
	return template.FuncMap{
		"at":    slopeValue(func(s Slope) float64 { return s.Value }),
		"per":   slopeValue(func(s Slope) float64 { return s.Gradient }),
		"first": slopeValue(func(s Slope) float64 { return s.Points[0].Y }),
		"last":  slopeValue(func(s Slope) float64 { return s.Points[len(s.Points)-1].Y }),
		"verdict": func(id string) (string, error) {
			s, err := r.Find(id)
			return s.Verdict(), err
		},
		"judge": limitVerdict,
		"const": targetConstant,
		"mul": func(a float64, bs ...float64) float64 {
			return fold(a, bs, func(x, y float64) float64 { return x * y })
		},
		"add": func(a float64, bs ...float64) float64 {
			return fold(a, bs, func(x, y float64) float64 { return x + y })
		},
		"div": func(a, b float64) float64 { return a / b },
		"num": formatNumber,
		"int": formatInt,

		"framing":       r.derive(framing),
		"applyCPU":      r.derive(applyCPU),
		"controlCPU":    r.derive(controlCPU),
		"controlMemory": r.derive(controlMemory),
		"pollerBytes":   r.derive(pollerBytes),
		"pollerBytesIP": r.derive(pollerBytesIP),
		"fanOutApplied": r.derive(fanOutApplied),
		"restartBytes":  r.derive(restartBytes),
		"routingModel":  r.derive(routingModel),
		"directoryMiB":  r.derive(directoryMiB),
		"directoryCPU":  r.derive(directoryCPU),
		"entryShare":    r.derive(entryShare),
		"tokenMillis":   r.derive(tokenMillis),
		"lastGroup":     r.derive(lastGroup),
	}
}

func fold(a float64, bs []float64, f func(x, y float64) float64) float64 {
	for _, b := range bs {
		a = f(a, b)
	}
	return a
}

// formatInt formats a number without decimals and with commas as thousands separators.
func formatInt(v float64) string {
	if math.IsInf(v, 0) {
		return "no size"
	}
	const group = 3
	s := fmt.Sprintf("%.0f", v)
	for i := len(s) - group; i > 0; i -= group {
		s = s[:i] + "," + s[i:]
	}
	return s
}

var errUnknownConstant = errors.New("unknown constant in the page template")

// targetConstant returns the target's figure with the given name.
func targetConstant(name string) (float64, error) {
	v, ok := map[string]float64{
		"daemons": targetDaemons, "entries": targetEntries, "agents": targetAgents, "endpoints": targetEndpoints, "domains": targetDomains,
		"requests": targetRequestsPerSec, "tokens": targetTokensPerSec, "contexts": targetContexts, "customers": targetCustomers,
		"changes": targetChangesPerDay, "restarts": targetRestartsPerDay, "day": secondsPerDay,
		"streams": targetStreams, "entryStreams": streamsPerEntry, "agentStreams": streamsPerAgent, "agentContexts": contextsPerAgent,
		"partitions": claimPartitions, "partitionClaims": claimsPerPartition, "keptClaims": claimsKeptPerPartition, "paymentShare": paymentShare,
		"answerBytes": answerBytes, "mebibyte": mebibyte, "maxGroupClaims": maxGroupClaims, "maxAppends": limitAppendsPerSec,
	}[name]
	if !ok {
		return 0, fmt.Errorf("%w: %q", errUnknownConstant, name)
	}
	return v, nil
}
