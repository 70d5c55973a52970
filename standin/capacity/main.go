// Command capacity measures how the cost of an entry instance grows with the
// size of what surrounds it, and fits a straight line to each growth.
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
	flag.StringVar(&output, "output", "", "file for the raw figures as JSON")
	flag.StringVar(&only, "only", "", "name of the one growth to measure")
	flag.DurationVar(&window, "window", 4*time.Second, "measured time of each size")
	flag.Parse()
	if err := run(output, only, window); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// report is the file of raw figures.
type report struct {
	Machine string   `json:"machine"`
	Commit  string   `json:"commit"`
	Window  string   `json:"window"`
	Growths []growth `json:"growths"`
}

// growth is how figures grow with one size.
type growth struct {
	Size   string  `json:"size"`
	Points []point `json:"points"`
	Slopes []slope `json:"slopes"`
}

// point is what an instance cost at one size. All figures but the size are of
// one instance: the mean over all.
type point struct {
	Size float64 `json:"size"`
	// Core is processor seconds a second.
	Core float64 `json:"core"`
	// HeapBytes are live and not yet swept objects.
	HeapBytes float64 `json:"heapBytes"`
	// PeerBytes and Exchanges are a second.
	PeerBytes float64 `json:"peerBytesPerSecond"`
	Exchanges float64 `json:"exchangesPerSecond"`
	// PlatformReads are a second, of all instances together.
	PlatformReads float64 `json:"platformReadsPerSecond"`
	// Attempts and Queries are a second.
	Attempts float64 `json:"attemptsPerSecond"`
	Queries  float64 `json:"queriesPerSecond"`
}

// slope is a straight line fitted to the points.
type slope struct {
	Figure    string  `json:"figure"`
	PerUnit   float64 `json:"perUnit"`
	Intercept float64 `json:"intercept"`
}

func run(output, only string, window time.Duration) error {
	folder, err := os.MkdirTemp("", "acaciavane-capacity-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaries, err := lab.Build(".", folder)
	if err != nil {
		return err
	}
	r := report{
		Machine: lab.Machine(),
		Commit:  lab.Commit(),
		Window:  window.String(),
	}
	for _, m := range measurements() {
		if only != "" && only != m.size {
			continue
		}
		grown, err := m.measure(binaries, folder, window)
		if err != nil {
			return fmt.Errorf("%s: %w", m.size, err)
		}
		printGrowth(grown)
		r.Growths = append(r.Growths, grown)
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
	fmt.Printf("%s\n", g.Size)
	for _, p := range g.Points {
		fmt.Printf("  %6.0f: %.4f core, %.1f MB heap, %.0f peer B/s, %.1f exchanges/s, %.2f platform reads/s, %.0f attempts/s, %.0f queries/s\n",
			p.Size, p.Core, p.HeapBytes/1e6, p.PeerBytes, p.Exchanges, p.PlatformReads, p.Attempts, p.Queries)
	}
	for _, s := range g.Slopes {
		fmt.Printf("  %s: %.4g a unit, %.4g at zero\n", s.Figure, s.PerUnit, s.Intercept)
	}
}
