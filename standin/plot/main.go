// Command plot draws a bar chart of the 99th percentiles in a file of raw bench
// results. Each bar is the median over the runs of a variant in a scenario.
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

// results holds the part of the file that the chart needs.
type results struct {
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
	// xMargin is the distance from the centre of the first and the last group of bars
	// to the edge of the chart. Neighbouring groups have the distance 1.
	xMargin = 0.5
)

func main() {
	var input, output, deployment string
	flag.StringVar(&input, "input", "docs/measurements/bench.json", "file of raw results")
	flag.StringVar(&output, "output", "docs/measurements/p99.svg", "file to which the chart is written")
	flag.StringVar(&deployment, "deployment", "huron-bay", "deployment to show")
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
	var file results
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
	chart := plot.New()
	chart.Title.Text = "99th percentile, " + deployment + ", commit " + file.Commit
	chart.Y.Label.Text = "ms"
	chart.Legend.Top = true
	chart.Legend.Left = true
	for i, variant := range variants {
		bars, err := newBars(scenarios, values[variant], i, len(variants))
		if err != nil {
			return err
		}
		chart.Add(bars)
		chart.Legend.Add(variant, bars)
	}
	chart.NominalX(scenarios...)
	chart.X.Min = -xMargin
	chart.X.Max = float64(len(scenarios)-1) + xMargin
	return chart.Save(width, height, output)
}

// newBars returns the bars of one variant, placed next to those of the other
// variants. index is the index of the variant, and count the number of variants.
func newBars(scenarios []string, values map[string][]float64, index, count int) (*plotter.BarChart, error) {
	medians := make(plotter.Values, len(scenarios))
	for i, scenario := range scenarios {
		sorted := slices.Sorted(slices.Values(values[scenario]))
		if len(sorted) > 0 {
			medians[i] = sorted[len(sorted)/2]
		}
	}
	variantBars, err := plotter.NewBarChart(medians, vg.Points(barWidth))
	if err != nil {
		return nil, err
	}
	variantBars.Color = plotutil.Color(index)
	variantBars.Offset = vg.Points(barWidth * (float64(index) - float64(count-1)/2))
	return variantBars, nil
}
