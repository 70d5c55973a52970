// Command capacity measures how the resource use of an entry instance grows with
// the load and the size of the deployment, and fits a straight line to each metric.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"acaciavane/standin/lab"
)

func main() {
	var output, only string
	var window time.Duration
	flag.StringVar(&output, "output", "", "file to which the raw results are written as JSON")
	flag.StringVar(&only, "only", "", "name of the only parameter to vary; all if empty")
	flag.DurationVar(&window, "window", 4*time.Second, "measured duration at each size")
	flag.Parse()
	if err := run(output, only, window); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// report is the JSON file of raw results.
type report struct {
	Machine string   `json:"machine"`
	Commit  string   `json:"commit"`
	Window  string   `json:"window"`
	Growths []growth `json:"growths"`
}

// growth holds the measurements at several sizes of one parameter, and the lines
// fitted to them.
type growth struct {
	Parameter string  `json:"size"`
	Points    []point `json:"points"`
	Slopes    []slope `json:"slopes"`
}

// point holds the resource use at one size of the parameter. Unless stated
// otherwise, the values are means over all instances.
type point struct {
	Size float64 `json:"size"`
	// Cores is the processor time in seconds per second.
	Cores float64 `json:"core"`
	// HeapBytes is the size of the heap objects, live and not yet swept.
	HeapBytes float64 `json:"heapBytes"`
	// PeerBytes and Exchanges are per second.
	PeerBytes float64 `json:"peerBytesPerSecond"`
	Exchanges float64 `json:"exchangesPerSecond"`
	// PlatformReads is the number of reads per second by all instances together.
	PlatformReads float64 `json:"platformReadsPerSecond"`
	// Attempts and Queries are per second.
	Attempts float64 `json:"attemptsPerSecond"`
	Queries  float64 `json:"queriesPerSecond"`
}

// slope is a straight line fitted to one metric. PerUnit is the increase of the
// metric for each unit of the parameter, and Intercept its value at size 0.
type slope struct {
	Metric    string  `json:"figure"`
	PerUnit   float64 `json:"perUnit"`
	Intercept float64 `json:"intercept"`
}

func run(output, only string, window time.Duration) error {
	directory, err := os.MkdirTemp("", "acaciavane-capacity-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binaries, err := lab.Build(".", directory)
	if err != nil {
		return err
	}
	r := report{
		Machine: lab.MachineDescription(),
		Commit:  lab.CommitHash(),
		Window:  window.String(),
	}
	for _, m := range measurements() {
		if only != "" && only != m.parameter {
			continue
		}
		measured, err := m.measure(binaries, directory, window)
		if err != nil {
			return fmt.Errorf("%s: %w", m.parameter, err)
		}
		printGrowth(measured)
		r.Growths = append(r.Growths, measured)
	}
	if output == "" {
		return nil
	}
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(output, append(raw, '\n'), 0o644)
}

func printGrowth(g growth) {
	fmt.Printf("%s\n", g.Parameter)
	for _, p := range g.Points {
		fmt.Printf("  %6.0f: %.4f core, %.1f MB heap, %.0f peer B/s, %.1f exchanges/s, %.2f platform reads/s, %.0f attempts/s, %.0f queries/s\n",
			p.Size, p.Cores, p.HeapBytes/1e6, p.PeerBytes, p.Exchanges, p.PlatformReads, p.Attempts, p.Queries)
	}
	for _, s := range g.Slopes {
		fmt.Printf("  %s: %.4g a unit, %.4g at zero\n", s.Metric, s.PerUnit, s.Intercept)
	}
}
