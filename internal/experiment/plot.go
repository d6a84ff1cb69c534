package experiment

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 13 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 9
	// yAxisHeadroom scales the maximum of the y axis, to leave space above the bars
	// for the legend.
	yAxisHeadroom = 1.4
)

// chart is a bar chart of one metric for every case and policy.
type chart struct {
	fileName, title string
	value           func(Result) float64
}

var charts = []chart{
	{"hit-rate", "prefix hit rate, % of prompt tokens", func(r Result) float64 { return 100 * r.HitRate }},
	{"ttft-p99", "p99 time to first token, ms", func(r Result) float64 { return r.P99 }},
	{"worst-account-p99", "p99 time to first token of the worst-served account, ms", func(r Result) float64 { return r.WorstP99 }},
	{"wasted", "wasted recomputation, % of prompt tokens", func(r Result) float64 { return 100 * r.Wasted }},
	{"unserved", "requests within their account's rate refused, late or lost, %", func(r Result) float64 {
		return 100 * float64(r.Refused+r.Late+r.Lost) / float64(r.Requests)
	}},
}

// WritePlots writes an SVG file for each workload and metric to dir.
func WritePlots(dir string, results []Result) error {
	byWorkload := map[string][]Result{}
	for _, r := range results {
		byWorkload[r.Workload] = append(byWorkload[r.Workload], r)
	}
	for workload, group := range byWorkload {
		for _, c := range charts {
			name := filepath.Join(dir, fmt.Sprintf("%s-%s.svg", workload, c.fileName))
			if err := c.draw(name, workload, group); err != nil {
				return errors.Wrapf(err, "draw plot file=%s", name)
			}
		}
	}
	return nil
}

func (c chart) draw(name, workload string, results []Result) error {
	p := plot.New()
	p.Title.Text = workload + ": " + c.title
	p.Legend.Top = true
	var cases, labels, policies []string
	values := map[string]plotter.Values{}
	for _, r := range results {
		if len(cases) == 0 || cases[len(cases)-1] != r.Case {
			cases = append(cases, r.Case)
			labels = append(labels, strings.ReplaceAll(r.Case, ", ", ",\n"))
		}
		if _, ok := values[r.Policy]; !ok {
			policies = append(policies, r.Policy)
		}
		values[r.Policy] = append(values[r.Policy], c.value(r))
	}
	for i, policy := range policies {
		bars, err := plotter.NewBarChart(values[policy], vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(policies)-1)/2))
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(labels...)
	p.Y.Min, p.Y.Max = 0, yAxisHeadroom*p.Y.Max
	return p.Save(plotWidth, plotHeight, name)
}
