package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/gateway"
	"github.com/galenaweir/galenaweir/platform"
)

// stateCommand is the "state" subcommand, which shows the state of the forwarding entries of
// a deployment.
type stateCommand struct {
	Settings string `long:"settings" env:"GALENAWEIR_SETTINGS" value-name:"FILE" description:"settings of any forwarding entry of the deployment"`
}

func addStateCommand(p *flags.Parser) error {
	_, err := p.AddCommand("state", "show the state of the forwarding entries", "Shows the operators' newest records in the platform's log and, for each forwarding entry, the configuration in force, its age, the named weights, the endpoints that it sends load orders to, and its rollouts. Fails if an entry cannot be queried, or if its configuration or weights differ from the log.", &stateCommand{})
	return err
}

// errStateDiffers is returned when an entry cannot be queried or differs from the log; the
// printed table shows which.
var errStateDiffers = errors.New("the state of at least one entry differs from the log or is unknown")

// Execute implements flags.Commander.
func (c *stateCommand) Execute([]string) error {
	if c.Settings == "" {
		return errors.New("no settings file: pass --settings or set " + settingsVariable)
	}
	s, err := gateway.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	if s.MetricsPort == 0 {
		return fmt.Errorf("settings %s: metricsPort is 0, the entries cannot be queried", c.Settings)
	}
	logClient := platform.NewLogClient(s.LogAddress)
	published, err := gateway.ReadPublishedVersions(context.Background(), logClient.OperatorFeed())
	if err != nil {
		return err
	}
	statuses, err := gateway.ReadEntryStatuses(context.Background(), logClient, s.MetricsPort)
	if err != nil {
		return err
	}
	return printState(os.Stdout, published, statuses)
}

func printState(w io.Writer, published gateway.PublishedVersions, statuses []gateway.EntryStatus) error {
	fmt.Fprintf(w, "log: configuration %d, weights %s, %d entries\n", published.ConfigVersion, formatMap(published.WeightVersions), len(statuses))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "host\tentry\tready\tconfig\tage ms\tweights\tusable\tin flight\theld MB\tfence\tholds\trollouts\tsecond")
	differs := false
	for _, p := range statuses {
		if p.Err != nil {
			differs = true
			fmt.Fprintf(t, "%s\t%v\n", p.Host, p.Err)
			continue
		}
		st := p.Status
		differs = differs || st.ConfigVersion != published.ConfigVersion || !maps.Equal(st.WeightVersions, published.WeightVersions)
		fmt.Fprintf(t, "%s\t%s\t%t\t%d\t%d\t%s\t%d/%d\t%d\t%s\t%d\t%s\t%s\t%s\n", p.Host, st.ID, st.Ready, st.ConfigVersion, st.ConfigAgeMs, formatMap(st.WeightVersions),
			st.Usable, st.Endpoints, st.InFlight, formatHeld(st), st.Generation, strings.Join(st.OwnedEndpoints, ","), formatMap(st.Rollouts), formatSecondAttempts(st.SecondAttempts))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	printDomains(w, statuses)
	printWarmingUp(w, statuses)
	if differs {
		return errStateDiffers
	}
	return nil
}

// printDomains prints which failure domains are evacuated, since when at the latest, and which entries
// have not confirmed that.
func printDomains(w io.Writer, statuses []gateway.EntryStatus) {
	since, confirmed := map[string]int64{}, map[string]int{}
	for _, p := range statuses {
		for _, d := range p.Status.Evacuated {
			if n := confirmed[d.Domain]; n == 0 || d.SinceMs < since[d.Domain] {
				since[d.Domain] = d.SinceMs
			}
			confirmed[d.Domain]++
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(confirmed)) {
		var missing []string
		for _, p := range statuses {
			if !slices.ContainsFunc(p.Status.Evacuated, func(d gateway.EvacuatedDomain) bool { return d.Domain == domain }) {
				missing = append(missing, p.Host)
			}
		}
		fmt.Fprintf(w, "evacuated: %s, by the last entry %d ms ago, confirmed by %d of %d entries", domain, since[domain], confirmed[domain], len(statuses))
		if len(missing) > 0 {
			fmt.Fprintf(w, ", not by %s", strings.Join(missing, ","))
		}
		fmt.Fprintln(w)
	}
}

// printWarmingUp prints the endpoints that are warming up, for how much longer at most, and how many
// requests a second the entries may send together.
func printWarmingUp(w io.Writer, statuses []gateway.EntryStatus) {
	left, perSecond, entries := map[string]int64{}, map[string]float64{}, map[string]int{}
	for _, p := range statuses {
		for _, e := range p.Status.WarmingUp {
			left[e.Endpoint] = max(left[e.Endpoint], e.LeftMs)
			perSecond[e.Endpoint] += e.PerSecond
			if e.PerSecond > 0 {
				entries[e.Endpoint]++
			}
		}
	}
	for _, endpoint := range slices.Sorted(maps.Keys(left)) {
		fmt.Fprintf(w, "warming up: %s for %d ms, %.1f requests a second from %d entries\n", endpoint, left[endpoint], perSecond[endpoint], entries[endpoint])
	}
}

// formatSecondAttempts formats the use of the limit of second attempts by service, "-" if there are
// none.
func formatSecondAttempts(use map[string]forward.SecondAttemptUse) string {
	out := map[string]string{}
	for service, u := range use {
		out[service] = fmt.Sprintf("%d/%d", u.Used, u.Limit)
	}
	return formatMap(out)
}

// formatHeld formats the bytes that an entry buffers and their bound, with the number of requests that
// were ended because of it.
func formatHeld(st gateway.Status) string {
	const megabyte = 1 << 20
	if st.HeldBytesLimit == 0 {
		return "-"
	}
	s := fmt.Sprintf("%.1f/%.1f", float64(st.HeldBytes)/megabyte, float64(st.HeldBytesLimit)/megabyte)
	if st.HeldEnded > 0 {
		s += fmt.Sprintf(" (%d ended)", st.HeldEnded)
	}
	return s
}

// formatMap formats a map as comma-separated key=value pairs, sorted by key.
func formatMap[V any](m map[string]V) string {
	if len(m) == 0 {
		return "-"
	}
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, fmt.Sprintf("%s=%v", k, m[k]))
	}
	return strings.Join(out, ",")
}
