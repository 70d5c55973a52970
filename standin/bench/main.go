// Command bench measures tail latency, coverage and extra load of both
// deployments against the stand-ins: the whole policy beside a plain fan-out and
// beside the policy with single parts switched off.
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

// variant is a program and a policy to measure.
type variant struct {
	name   string
	policy *lab.PolicyFile
	// previous runs the program of the earlier revision.
	previous bool
}

var variants = []variant{
	{name: "plain", policy: &lab.PolicyFile{NoHedge: true, NoEarlyClose: true, RandomReplica: true, NoGate: true}},
	{name: "previous", previous: true},
	{name: "whole"},
	{name: "noHedge", policy: &lab.PolicyFile{NoHedge: true}},
	{name: "noEarlyClose", policy: &lab.PolicyFile{NoEarlyClose: true}},
	{name: "randomReplica", policy: &lab.PolicyFile{RandomReplica: true}},
	{name: "noGate", policy: &lab.PolicyFile{NoGate: true}},
}

// options are the options of the command.
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
	flag.IntVar(&o.runs, "runs", 5, "runs of each variant")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the first run; the others follow")
	flag.Float64Var(&o.seconds, "seconds", 3, "measured seconds of each scenario")
	flag.StringVar(&o.deployment, "deployments", "huron-bay,bokveld", "deployments to run")
	flag.StringVar(&o.variants, "variants", "plain,previous,whole", "variants to run")
	flag.StringVar(&o.scenarios, "scenarios", "", "scenarios to run; all if empty")
	flag.StringVar(&o.previous, "previous", "", "earlier revision to measure beside this one, as the variant previous")
	flag.StringVar(&o.output, "output", "", "file for the raw figures as JSON")
	flag.DurationVar(&o.median, "median", 20*time.Millisecond, "median service time of the upstreams")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// report is the file of raw figures.
type report struct {
	Machine string `json:"machine"`
	Commit  string `json:"commit"`
	// Previous is the revision of the variant previous.
	Previous string   `json:"previous,omitempty"`
	Seed     uint64   `json:"seed"`
	Runs     int      `json:"runs"`
	Seconds  float64  `json:"secondsEach"`
	Median   string   `json:"medianServiceTime"`
	Results  []result `json:"results"`
}

func run(o options) error {
	folder, err := os.MkdirTemp("", "acaciavane-bench-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaries, err := lab.Build(".", folder)
	if err != nil {
		return err
	}
	earlier := binaries
	if o.previous != "" {
		if earlier, err = lab.BuildRevision(o.previous, folder); err != nil {
			return err
		}
		earlier.Standin = binaries.Standin
	}
	r := report{
		Machine: lab.Machine(),
		Commit:  lab.Commit(), Previous: o.previous, Seed: o.seed, Runs: o.runs, Seconds: o.seconds, Median: o.median.String(),
	}
	for _, deployment := range []lab.Deployment{lab.HuronBay(), lab.Bokveld()} {
		if !listed(o.deployment, deployment.Name) {
			continue
		}
		for i := range o.runs {
			for _, v := range variants {
				if !listed(o.variants, v.name) || v.previous && o.previous == "" {
					continue
				}
				b := bench{options: o, deployment: deployment, variant: v, binaries: binaries, folder: folder, run: i}
				if v.previous {
					b.binaries = earlier
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

func listed(list, name string) bool {
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
