package logs

import (
	"fmt"
	"io"
	"time"

	"github.com/guptarohit/asciigraph"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/vgsvg"

	"gonum.org/v1/plot/vg/draw"
)

// Dimensions of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	// textPlotHeight is a number of terminal lines.
	textPlotHeight = 8
)

// curve is one line of a plot, with one value for each second.
type curve struct {
	name  string
	value func(Second) float64
}

// panels lists the plots of a report from top to bottom.
var panels = []struct {
	title    string
	decimals uint // of the scale of a text plot
	curves   []curve
}{
	{"time until answers began, 95 in 100, ms", 0, []curve{
		{"first", func(s Second) float64 { return float64(s.FirstByteP95) / float64(time.Millisecond) }},
	}},
	{"requests a second", 0, []curve{
		{"answered", func(s Second) float64 { return float64(s.Answered) }},
		{"refused", func(s Second) float64 { return float64(s.Refused) }},
	}},
	{"changes of maps a second", 0, []curve{
		{"in use", func(s Second) float64 { return float64(s.MapChanges) }},
	}},
	{"highest skew of a group", 1, []curve{
		{"skew", func(s Second) float64 { return s.Skew }},
	}},
}

// WriteSVG writes plots of latency, requests, map changes and skew over the span as SVG.
func (r *Report) WriteSVG(w io.Writer) error {
	canvas := vgsvg.New(plotWidth, plotHeight*vg.Length(len(panels)))
	for i, p := range panels {
		chart := plot.New()
		chart.Title.Text = p.title
		chart.X.Label.Text = "seconds"
		chart.Y.Min = 0
		var lines []any
		for _, c := range p.curves {
			lines = append(lines, c.name, r.points(c))
		}
		if err := plotutil.AddLines(chart, lines...); err != nil {
			return fmt.Errorf("plot of %s: %w", p.title, err)
		}
		below := plotHeight * vg.Length(len(panels)-1-i)
		area := draw.Crop(draw.New(canvas), 0, 0, below, below+plotHeight-plotHeight*vg.Length(len(panels)))
		chart.Draw(area)
	}
	_, err := canvas.WriteTo(w)
	return err
}

// points returns the values of a curve; X is the number of seconds since the first line.
func (r *Report) points(c curve) plotter.XYs {
	xys := make(plotter.XYs, len(r.seconds))
	for i, s := range r.seconds {
		xys[i] = plotter.XY{X: float64(i), Y: c.value(s)}
	}
	return xys
}

// TextPlots renders the plots of WriteSVG as text, each the given number of columns wide. It
// returns nil if there are no lines.
func (r *Report) TextPlots(columns int) []string {
	if len(r.seconds) == 0 {
		return nil
	}
	var out []string
	for _, p := range panels {
		var series [][]float64
		for _, c := range p.curves {
			var values []float64
			for _, s := range r.seconds {
				values = append(values, c.value(s))
			}
			series = append(series, values)
		}
		out = append(out, asciigraph.PlotMany(series, asciigraph.Height(textPlotHeight), asciigraph.Width(columns),
			asciigraph.Precision(p.decimals), asciigraph.LowerBound(0), asciigraph.Caption(p.title)))
	}
	return out
}
