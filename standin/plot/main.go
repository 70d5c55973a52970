// Command plot draws the 99th percentiles of a file of raw bench figures: one bar
// for each variant in each scenario, the middle of the runs.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// figures is the part of the file that is drawn.
type figures struct {
	Commit  string `json:"commit"`
	Results []struct {
		Deployment string  `json:"deployment"`
		Scenario   string  `json:"scenario"`
		Variant    string  `json:"variant"`
		P99        float64 `json:"p99Millis"`
	} `json:"results"`
}

const (
	width    = 20 * vg.Centimeter
	height   = 10 * vg.Centimeter
	barWidth = 12
	// margin is the room beside the first and the last scenario, in scenarios.
	margin = 0.5
)

func main() {
	var input, output, deployment string
	flag.StringVar(&input, "input", "docs/measurements/bench.json", "file of raw figures")
	flag.StringVar(&output, "output", "docs/measurements/p99.svg", "file to draw to")
	flag.StringVar(&deployment, "deployment", "huron-bay", "deployment to draw")
	flag.Parse()
	if err := draw(input, output, deployment); err != nil {
		fmt.Fprintln(os.Stderr, "plot:", err)
		os.Exit(1)
	}
}

func draw(input, output, deployment string) error {
	raw, err := os.ReadFile(input)
	if err != nil {
		return err
	}
	var file figures
	if err := json.Unmarshal(raw, &file); err != nil {
		return err
	}
	var scenarios, variants []string
	values := map[string]map[string][]float64{}
	for _, r := range file.Results {
		if r.Deployment != deployment {
			continue
		}
		if !slices.Contains(scenarios, r.Scenario) {
			scenarios = append(scenarios, r.Scenario)
		}
		if values[r.Variant] == nil {
			variants = append(variants, r.Variant)
			values[r.Variant] = map[string][]float64{}
		}
		values[r.Variant][r.Scenario] = append(values[r.Variant][r.Scenario], r.P99)
	}
	picture := plot.New()
	picture.Title.Text = "99th percentile, " + deployment + ", commit " + file.Commit
	picture.Y.Label.Text = "ms"
	picture.Legend.Top = true
	picture.Legend.Left = true
	for i, variant := range variants {
		bars, err := bars(scenarios, values[variant], i, len(variants))
		if err != nil {
			return err
		}
		picture.Add(bars)
		picture.Legend.Add(variant, bars)
	}
	picture.NominalX(scenarios...)
	picture.X.Min = -margin
	picture.X.Max = float64(len(scenarios)-1) + margin
	return picture.Save(width, height, output)
}

// bars returns the bars of one variant, beside those of the others.
func bars(scenarios []string, values map[string][]float64, index, count int) (*plotter.BarChart, error) {
	middles := make(plotter.Values, len(scenarios))
	for i, scenario := range scenarios {
		sorted := slices.Sorted(slices.Values(values[scenario]))
		if len(sorted) > 0 {
			middles[i] = sorted[len(sorted)/2]
		}
	}
	chart, err := plotter.NewBarChart(middles, vg.Points(barWidth))
	if err != nil {
		return nil, err
	}
	chart.Color = plotutil.Color(index)
	chart.Offset = vg.Points(barWidth * (float64(index) - float64(count-1)/2))
	return chart, nil
}
