package main

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	// maxIntervals is the maximum number of intervals on the time axis: on 24 cm each is 2 mm wide.
	maxIntervals = 120
	// plotWidth, tileHeight and legendWidth set the size of the picture.
	plotWidth   = 30 * vg.Centimeter
	tileHeight  = 6 * vg.Centimeter
	legendWidth = 4.5 * vg.Centimeter
	// legendPadding and tilePadding are the gaps between legend texts and between tiles.
	legendPadding = 1 * vg.Millimeter
	tilePadding   = 4 * vg.Millimeter
	// minPlottedWait, in ms, is plotted for shorter waits, as a logarithmic scale has no 0.
	minPlottedWait = 1
	// pointRadius is the radius of a curve's points, in typographic points. An interval between
	// empty ones is shown by its point only.
	pointRadius = vg.Length(1.2)
)

// intervalLengths are the possible lengths of an interval.
var intervalLengths = []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
	time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour, 6 * time.Hour, 24 * time.Hour}

// timeSeries is the plotted data: values for each queue in intervals of equal length.
type timeSeries struct {
	from     time.Time
	interval time.Duration
	queues   []queueSeries
}

// queueSeries is the data of one queue; each list has one value for each interval.
type queueSeries struct {
	name string
	// median and p95 are the waits, from submission to the first start, that half and 95 of
	// 100 of the jobs submitted within the interval did not exceed, in ms; negative if no such
	// job was accepted.
	median, p95 []float64
	// refused is the rate of refusals by the owner, notRun that of submissions answered "not
	// run" for any cause, both in 1/s. A caller may submit a job several times.
	refused, notRun []float64
}

// newTimeSeries aggregates log lines, which must be sorted by time.
func newTimeSeries(lines []logLine) (timeSeries, error) {
	jobLines := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.Job == "" || l.Time.IsZero() })
	jobs := timesOf(jobLines)
	if len(jobs) == 0 {
		return timeSeries{}, errNoJobs
	}
	ts := timeSeries{from: jobLines[0].Time}
	last := jobLines[len(jobLines)-1].Time
	for _, j := range jobs {
		if j.submitted.Before(ts.from) {
			ts.from = j.submitted // its line is logged only when the submission is answered
		}
	}
	ts.interval = intervalFor(last.Sub(ts.from))
	ts.from = ts.from.Truncate(ts.interval)
	count := int(last.Sub(ts.from)/ts.interval) + 1
	for _, name := range queueNames(jobs) {
		q := queueSeries{name: name, refused: make([]float64, count), notRun: make([]float64, count)}
		q.median, q.p95 = ts.waits(name, jobs, last, count)
		ts.queues = append(ts.queues, q)
	}
	ts.countRefusals(jobLines)
	return ts, nil
}

// intervalFor returns the shortest interval of which maxIntervals cover length.
func intervalFor(length time.Duration) time.Duration {
	for _, s := range intervalLengths {
		if length < maxIntervals*s {
			return s
		}
	}
	return intervalLengths[len(intervalLengths)-1]
}

func queueNames(jobs []*jobTimes) []string {
	var names []string
	for _, j := range jobs {
		names = append(names, j.queue)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// waits returns the median and the 95th percentile of the waits of a queue's accepted jobs,
// by the interval of their submission. A job that has not started when the logs end counts
// with its wait until then: without these, a queue that starts no job would show no waits.
func (ts *timeSeries) waits(queue string, jobs []*jobTimes, last time.Time, count int) (medians, p95s []float64) {
	byInterval := make([][]time.Duration, count)
	for _, j := range jobs {
		neverAccepted := j.accepted.IsZero() && j.started.IsZero() // a job whose caller got no definite answer may run
		endedBefore := j.started.IsZero() && (j.cancelled || !j.completed.IsZero())
		if j.queue != queue || neverAccepted || endedBefore {
			continue
		}
		started := j.started
		if started.IsZero() {
			started = last
		}
		index := int(j.submitted.Sub(ts.from) / ts.interval)
		byInterval[index] = append(byInterval[index], max(0, started.Sub(j.submitted)))
	}
	for _, list := range byInterval {
		if len(list) == 0 {
			medians, p95s = append(medians, -1), append(p95s, -1)
			continue
		}
		slices.Sort(list)
		medians, p95s = append(medians, ms(list[len(list)/2])), append(p95s, ms(list[len(list)*95/100]))
	}
	return medians, p95s
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (ts *timeSeries) countRefusals(lines []logLine) {
	increment := 1 / ts.interval.Seconds()
	for _, l := range lines {
		index := slices.IndexFunc(ts.queues, func(q queueSeries) bool { return q.name == l.Queue })
		if index < 0 {
			continue
		}
		slot := int(l.Time.Sub(ts.from) / ts.interval)
		switch {
		case l.Event == refusedEvent:
			ts.queues[index].refused[slot] += increment
		case l.Event == "job.submitted" && l.Verdict == "not run":
			ts.queues[index].notRun[slot] += increment
		}
	}
}

// tile is one plot of the picture. All tiles share the time axis.
type tile struct {
	title, unit string
	waits       bool // drawn on a logarithmic scale
	of          func(*queueSeries) []float64
}

var tiles = []tile{
	{"half of the jobs began within", "ms since hand-in", true, func(q *queueSeries) []float64 { return q.median }},
	{"95 of 100 jobs began within", "ms since hand-in", true, func(q *queueSeries) []float64 { return q.p95 }},
	{"refused by the pool's owner", "tries a second", false, func(q *queueSeries) []float64 { return q.refused }},
	{"told \"not run\", for any cause", "tries a second", false, func(q *queueSeries) []float64 { return q.notRun }},
}

// plotLog plots log lines into a file.
func plotLog(lines []logLine, file string) error {
	ts, err := newTimeSeries(lines)
	if err != nil {
		return err
	}
	return writePlot(ts, file)
}

// writePlot writes the picture to a file; the file's extension determines the format.
func writePlot(ts timeSeries, file string) error {
	format := strings.TrimPrefix(strings.ToLower(filepath.Ext(file)), ".")
	if format != "svg" && format != "png" {
		return &usageError{fmt.Sprintf("%s: a plot's file must end in .svg or .png", file)}
	}
	picture, err := ts.draw(format)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(file, picture, 0o644), "write plot")
}

func (ts *timeSeries) draw(format string) ([]byte, error) {
	paper, err := draw.NewFormattedCanvas(plotWidth, tileHeight*vg.Length(len(tiles)), format)
	if err != nil {
		return nil, errors.Wrap(err, "draw")
	}
	canvas := draw.New(paper)
	plots := make([][]*plot.Plot, 0, len(tiles))
	for _, t := range tiles {
		p, err := ts.tile(t)
		if err != nil {
			return nil, errors.Wrapf(err, "draw %s", t.title)
		}
		plots = append(plots, []*plot.Plot{p})
	}
	left := draw.Crop(canvas, 0, -legendWidth, 0, 0)
	for i, row := range plot.Align(plots, draw.Tiles{Rows: len(tiles), Cols: 1, PadY: tilePadding}, left) {
		plots[i][0].Draw(row[0])
	}
	legend := ts.legend()
	legend.Draw(draw.Crop(canvas, plotWidth-legendWidth, 0, 0, 0))
	var out bytes.Buffer
	_, err = paper.WriteTo(&out)
	return out.Bytes(), errors.Wrap(err, "draw")
}

func (ts *timeSeries) tile(t tile) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = t.title, t.unit
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04:05"}
	p.Add(plotter.NewGrid())
	maxValue := 0.0
	for i := range ts.queues {
		values := t.of(&ts.queues[i])
		maxValue = max(maxValue, slices.Max(values))
		for _, segment := range ts.segments(values, t.waits) {
			line, points, err := plotter.NewLinePoints(segment)
			if err != nil {
				return nil, errors.Wrapf(err, "queue %s", ts.queues[i].name)
			}
			line.Color, line.Dashes, points.Color = queueColor(i), queueDashes(i), queueColor(i)
			points.Shape, points.Radius = draw.CircleGlyph{}, pointRadius
			p.Add(line, points)
		}
	}
	p.X.Min, p.X.Max = unix(ts.from), unix(ts.from.Add(time.Duration(len(ts.queues[0].refused))*ts.interval))
	p.Y.Min, p.Y.Max = 0, max(1, maxValue)
	if t.waits {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		// The axis ends at the next power of ten, so that it has at least one tick.
		p.Y.Min, p.Y.Max = minPlottedWait, math.Pow(10, math.Ceil(math.Log10(max(10*minPlottedWait, maxValue))))
	}
	return p, nil
}

// segments returns the points of a curve, split where intervals have no value.
func (ts *timeSeries) segments(values []float64, waits bool) []plotter.XYs {
	var list []plotter.XYs
	var segment plotter.XYs
	for i, v := range values {
		if v < 0 {
			if len(segment) > 0 {
				list = append(list, segment)
			}
			segment = nil
			continue
		}
		if waits {
			v = max(v, minPlottedWait)
		}
		middle := ts.from.Add(time.Duration(i)*ts.interval + ts.interval/2)
		segment = append(segment, plotter.XY{X: unix(middle), Y: v})
	}
	if len(segment) > 0 {
		list = append(list, segment)
	}
	return list
}

func unix(t time.Time) float64 { return float64(t.UnixNano()) / float64(time.Second) }

// queueColor and queueDashes distinguish the queues. Dashes are used once there are more
// queues than colours.
func queueColor(i int) color.Color { return plotutil.Color(i) }

func queueDashes(i int) []vg.Length { return plotutil.Dashes(i / len(plotutil.DefaultColors)) }

func (ts *timeSeries) legend() plot.Legend {
	l := plot.NewLegend()
	l.Top, l.Left, l.Padding = true, true, legendPadding
	for i, q := range ts.queues {
		l.Add(q.name, &plotter.Line{LineStyle: draw.LineStyle{Color: queueColor(i), Dashes: queueDashes(i), Width: vg.Points(2)}})
	}
	l.Add(fmt.Sprintf("a point: %s", ts.interval))
	return l
}
