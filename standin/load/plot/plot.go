// Package plot draws the waiting times of a load test as percentile curves.
package plot

import (
	"io"
	"math"

	"github.com/pkg/errors"
	gonum "gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/knapweedweir/knapweedweir/standin/load"
)

// Size of the picture and range of its x axis in nines of the percentile: the last tick is
// the slowest request in a million.
const (
	width         = 24 * vg.Centimeter
	height        = 14 * vg.Centimeter
	maxNines      = 6
	pointsPerNine = 40
)

// Write draws one curve for each row. format is "svg", "png" or "pdf".
func Write(w io.Writer, rows []*load.Row, format string) error {
	p := gonum.New()
	p.Title.Text = "Waiting from the planned time to the final answer"
	p.X.Label.Text = "part of all requests"
	p.Y.Label.Text = "milliseconds"
	p.Y.Scale, p.Y.Tick.Marker = gonum.LogScale{}, gonum.LogTicks{Prec: -1}
	p.X.Tick.Marker = gonum.ConstantTicks(ticks())
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, r := range rows {
		if r.Waits.TotalCount() == 0 {
			continue
		}
		line, err := plotter.NewLine(curve(r))
		if err != nil {
			return errors.Wrapf(err, "draw %s", r.Name)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Name, line)
	}
	to, err := p.WriterTo(width, height, format)
	if err != nil {
		return errors.Wrap(err, "draw")
	}
	_, err = to.WriteTo(w)
	return errors.Wrap(err, "write plot")
}

// curve returns the waiting time by the number of nines of the percentile, up to the
// slowest recorded request.
func curve(r *load.Row) plotter.XYs {
	last := math.Min(math.Log10(float64(r.Waits.TotalCount())), maxNines)
	points := plotter.XYs{}
	for i := range pointsPerNine*maxNines + 1 {
		nines := math.Min(float64(i)/pointsPerNine, last)
		micros := r.Waits.ValueAtQuantile(100 * (1 - math.Pow(10, -nines)))
		points = append(points, plotter.XY{X: nines, Y: math.Max(float64(micros), 1) / 1000})
		if nines == last {
			break
		}
	}
	return points
}

func ticks() []gonum.Tick {
	labels := []string{"fastest", "90 %", "99 %", "99.9 %", "99.99 %", "99.999 %", "99.9999 %"}
	list := make([]gonum.Tick, len(labels))
	for i, l := range labels {
		list[i] = gonum.Tick{Value: float64(i), Label: l}
	}
	return list
}
