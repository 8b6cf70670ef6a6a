package loader

import (
	"fmt"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// quantiles are the points of each curve.
var quantiles = []float64{0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9995, 0.9999}

// Plot writes the latency quantiles of each kind as an SVG diagram.
func (r *Report) Plot(w io.Writer) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("latency since due, %.0f/s for %s", r.Settings.Rate, r.Took.Round(plotPrecision))
	p.Y.Label.Text = "milliseconds"
	p.X.Label.Text = "share of answers"
	p.X.Tick.Marker = plot.ConstantTicks(ticks())
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	for i, report := range r.Kinds {
		line, err := plotter.NewLine(latencyCurve(report))
		if err != nil {
			return fmt.Errorf("loader: plot: %w", err)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(report.Kind.Tenant+" "+report.Kind.Class, line)
	}
	out, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return fmt.Errorf("loader: plot: %w", err)
	}
	_, err = out.WriteTo(w)
	return err
}

const plotPrecision = 1e8 // nanoseconds, for the duration in the title

// latencyCurve returns the latency in milliseconds at each of the quantiles.
func latencyCurve(report *KindReport) plotter.XYs {
	out := make(plotter.XYs, 0, len(quantiles))
	for _, q := range quantiles {
		out = append(out, plotter.XY{X: tailScale(q), Y: float64(report.Quantile(q).Microseconds()) / 1000})
	}
	return out
}

// tailScale maps a quantile to the x axis, so that the tail is spread out: 0.9 is
// at 1, 0.99 at 2.
func tailScale(q float64) float64 { return -math.Log10(1 - q) }

// ticks returns the labelled quantiles of the x axis.
func ticks() []plot.Tick {
	var out []plot.Tick
	for _, q := range []float64{0, 0.5, 0.9, 0.99, 0.999, 0.9999} {
		out = append(out, plot.Tick{Value: tailScale(q), Label: fmt.Sprint(q)})
	}
	return out
}
