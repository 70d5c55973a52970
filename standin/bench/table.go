package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// String formats the result as one line.
func (r result) String() string {
	return fmt.Sprintf("%-9s %-14s %-13s seed %d: p50 %.1f p99 %.1f p999 %.1f ms, coverage %.4f, whole %.3f, goodput %.2f, extra %.3f, notRun %d, unknown %d, noAnswer %d, fetch p99 %.1f notRun %d",
		r.Deployment, r.Scenario, r.Variant, r.Seed, r.P50, r.P99, r.P999, r.Coverage, r.CompleteRatio, r.Goodput, r.ExtraLoad, r.NotRun, r.Unknown, r.NoAnswer, r.FetchP99, r.FetchNotRun)
}

// spread holds the median, the minimum and the maximum of a measurement over all
// runs.
type spread struct {
	median, min, max float64
}

func newSpread(results []result, value func(r result) float64) spread {
	values := make([]float64, len(results))
	for i, r := range results {
		values[i] = value(r)
	}
	slices.Sort(values)
	return spread{median: values[len(values)/2], min: values[0], max: values[len(values)-1]}
}

func (s spread) format(digits int) string {
	return fmt.Sprintf("%.*f (%.*f-%.*f)", digits, s.median, digits, s.min, digits, s.max)
}

// printTables prints a table of results. Each cell holds the median over the runs of
// a scenario and variant, with the minimum and the maximum in brackets.
func printTables(to io.Writer, r report) {
	_, _ = fmt.Fprintf(to, "%s, commit %s, seeds %d to %d, %.0f s each, median service time %s\n",
		r.Machine, r.Commit, r.Seed, r.Seed+uint64(r.Runs)-1, r.Seconds, r.Median)
	table := tabwriter.NewWriter(to, 0, 0, 1, ' ', 0)
	_, _ = fmt.Fprintln(table, "| deployment\t| scenario\t| variant\t| p50 ms\t| p99 ms\t| p99.9 ms\t| coverage\t| goodput\t| extra load\t| not run\t| unknown\t| no answer\t|")
	_, _ = fmt.Fprintln(table, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	var keys []string
	groups := map[string][]result{}
	for _, measured := range r.Results {
		key := strings.Join([]string{measured.Deployment, measured.Scenario, measured.Variant}, "\t| ")
		if groups[key] == nil {
			keys = append(keys, key)
		}
		groups[key] = append(groups[key], measured)
	}
	slices.Sort(keys)
	for _, key := range keys {
		group := groups[key]
		cells := []string{
			newSpread(group, func(r result) float64 { return r.P50 }).format(1),
			newSpread(group, func(r result) float64 { return r.P99 }).format(1),
			newSpread(group, func(r result) float64 { return r.P999 }).format(1),
			newSpread(group, func(r result) float64 { return r.Coverage }).format(4),
			newSpread(group, func(r result) float64 { return r.Goodput }).format(2),
			newSpread(group, func(r result) float64 { return r.ExtraLoad }).format(3),
			newSpread(group, func(r result) float64 { return float64(r.NotRun) }).format(0),
			newSpread(group, func(r result) float64 { return float64(r.Unknown) }).format(0),
			newSpread(group, func(r result) float64 { return float64(r.NoAnswer) }).format(0),
		}
		_, _ = fmt.Fprintf(table, "| %s\t| %s\t|\n", key, strings.Join(cells, "\t| "))
	}
	_ = table.Flush()
}
