// Command bench measures tail latency, coverage and extra load of both
// deployments with simulated upstreams. It compares the full policy with a plain
// fan-out and with variants that disable single parts of the policy.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"acaciavane/standin/lab"
)

// variant is a combination of binaries and policy to measure.
type variant struct {
	name   string
	policy *lab.PolicySettings
	// previous selects the binaries of the revision that -previous names.
	previous bool
}

// variants are all variants that can be selected. The variant plain is a plain
// fan-out: it disables every part of the policy that can be disabled.
var variants = []variant{
	{name: "plain", policy: &lab.PolicySettings{NoHedge: true, NoEarlyClose: true, RandomReplica: true, NoGate: true}},
	{name: "previous", previous: true},
	{name: "whole"},
	{name: "noHedge", policy: &lab.PolicySettings{NoHedge: true}},
	{name: "noEarlyClose", policy: &lab.PolicySettings{NoEarlyClose: true}},
	{name: "randomReplica", policy: &lab.PolicySettings{RandomReplica: true}},
	{name: "noGate", policy: &lab.PolicySettings{NoGate: true}},
}

// options holds the command-line options.
type options struct {
	runs       int
	seed       uint64
	seconds    float64
	deployment string
	variants   string
	scenarios  string
	output     string
	previous   string
	median     time.Duration
}

func main() {
	var o options
	flag.IntVar(&o.runs, "runs", 5, "number of runs of each variant")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the first run; each later run adds 1")
	flag.Float64Var(&o.seconds, "seconds", 3, "measured duration of each scenario, in seconds")
	flag.StringVar(&o.deployment, "deployments", "huron-bay,bokveld", "deployments to run, separated by commas")
	flag.StringVar(&o.variants, "variants", "plain,previous,whole", "variants to run, separated by commas")
	flag.StringVar(&o.scenarios, "scenarios", "", "scenarios to run, separated by commas; all if empty")
	flag.StringVar(&o.previous, "previous", "", "earlier revision to measure as the variant previous")
	flag.StringVar(&o.output, "output", "", "file to which the raw results are written as JSON")
	flag.DurationVar(&o.median, "median", 20*time.Millisecond, "median service time of the upstreams")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// report is the JSON file of raw results.
type report struct {
	Machine string `json:"machine"`
	Commit  string `json:"commit"`
	// Previous is the revision that the variant previous ran.
	Previous string   `json:"previous,omitempty"`
	Seed     uint64   `json:"seed"`
	Runs     int      `json:"runs"`
	Seconds  float64  `json:"secondsEach"`
	Median   string   `json:"medianServiceTime"`
	Results  []result `json:"results"`
}

func run(o options) error {
	directory, err := os.MkdirTemp("", "acaciavane-bench-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binaries, err := lab.Build(".", directory)
	if err != nil {
		return err
	}
	previousBinaries := binaries
	if o.previous != "" {
		if previousBinaries, err = lab.BuildRevision(o.previous, directory); err != nil {
			return err
		}
		previousBinaries.Standin = binaries.Standin
	}
	r := report{
		Machine: lab.MachineDescription(),
		Commit:  lab.CommitHash(), Previous: o.previous, Seed: o.seed, Runs: o.runs, Seconds: o.seconds, Median: o.median.String(),
	}
	for _, deployment := range []lab.Deployment{lab.HuronBay(), lab.Bokveld()} {
		if !inList(o.deployment, deployment.Name) {
			continue
		}
		for i := range o.runs {
			for _, v := range variants {
				if !inList(o.variants, v.name) || v.previous && o.previous == "" {
					continue
				}
				b := bench{options: o, deployment: deployment, variant: v, binaries: binaries, directory: directory, run: i}
				if v.previous {
					b.binaries = previousBinaries
				}
				results, err := b.measure()
				if err != nil {
					return err
				}
				r.Results = append(r.Results, results...)
			}
		}
	}
	printTables(os.Stdout, r)
	if o.output == "" {
		return nil
	}
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(o.output, append(raw, '\n'), 0o644)
}

// inList reports whether a comma-separated list contains name. An empty list
// contains every name.
func inList(list, name string) bool {
	if list == "" {
		return true
	}
	for entry := range strings.SplitSeq(list, ",") {
		if entry == name {
			return true
		}
	}
	return false
}
