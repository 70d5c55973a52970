package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// String returns the result on one line.
func (r result) String() string {
	return fmt.Sprintf("%-9s %-14s %-13s seed %d: p50 %.1f p99 %.1f p999 %.1f ms, coverage %.4f, whole %.3f, goodput %.2f, extra %.3f, notRun %d, unknown %d, noAnswer %d, fetch p99 %.1f notRun %d",
		r.Deployment, r.Scenario, r.Variant, r.Seed, r.P50, r.P99, r.P999, r.Coverage, r.Whole, r.Goodput, r.ExtraLoad, r.NotRun, r.Unknown, r.NoAnswer, r.FetchP99, r.FetchNotRun)
}

// spread is the middle, the least and the most of a figure over the runs.
type spread struct {
	middle, least, most float64
}

func spreadOf(results []result, figure func(r result) float64) spread {
	values := make([]float64, len(results))
	for i, r := range results {
		values[i] = figure(r)
	}
	slices.Sort(values)
	return spread{middle: values[len(values)/2], least: values[0], most: values[len(values)-1]}
}

func (s spread) text(digits int) string {
	return fmt.Sprintf("%.*f (%.*f-%.*f)", digits, s.middle, digits, s.least, digits, s.most)
}

// printTables prints the middle of the runs of each scenario and variant, with
// the least and the most in brackets.
func printTables(to io.Writer, r report) {
	_, _ = fmt.Fprintf(to, "%s, commit %s, seeds %d to %d, %.0f s each, median service time %s\n",
		r.Machine, r.Commit, r.Seed, r.Seed+uint64(r.Runs)-1, r.Seconds, r.Median)
	table := tabwriter.NewWriter(to, 0, 0, 1, ' ', 0)
	_, _ = fmt.Fprintln(table, "| deployment\t| scenario\t| variant\t| p50 ms\t| p99 ms\t| p99.9 ms\t| coverage\t| goodput\t| extra load\t| not run\t| unknown\t| no answer\t|")
	_, _ = fmt.Fprintln(table, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	var keys []string
	groups := map[string][]result{}
	for _, one := range r.Results {
		key := strings.Join([]string{one.Deployment, one.Scenario, one.Variant}, "\t| ")
		if groups[key] == nil {
			keys = append(keys, key)
		}
		groups[key] = append(groups[key], one)
	}
	slices.Sort(keys)
	for _, key := range keys {
		group := groups[key]
		cells := []string{
			spreadOf(group, func(r result) float64 { return r.P50 }).text(1),
			spreadOf(group, func(r result) float64 { return r.P99 }).text(1),
			spreadOf(group, func(r result) float64 { return r.P999 }).text(1),
			spreadOf(group, func(r result) float64 { return r.Coverage }).text(4),
			spreadOf(group, func(r result) float64 { return r.Goodput }).text(2),
			spreadOf(group, func(r result) float64 { return r.ExtraLoad }).text(3),
			spreadOf(group, func(r result) float64 { return float64(r.NotRun) }).text(0),
			spreadOf(group, func(r result) float64 { return float64(r.Unknown) }).text(0),
			spreadOf(group, func(r result) float64 { return float64(r.NoAnswer) }).text(0),
		}
		_, _ = fmt.Fprintf(table, "| %s\t| %s\t|\n", key, strings.Join(cells, "\t| "))
	}
	_ = table.Flush()
}
