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
	// mostSpans is how many spans a plot has at most: with 24 cm of paper each is 2 mm wide.
	mostSpans = 120
	// plotWidth, tileHeight and legendWidth are the picture's size on paper.
	plotWidth   = 30 * vg.Centimeter
	tileHeight  = 6 * vg.Centimeter
	legendWidth = 4.5 * vg.Centimeter
	// legendPadding and tilePadding keep texts and tiles apart.
	legendPadding = 1 * vg.Millimeter
	tilePadding   = 4 * vg.Millimeter
	// leastWait stands for shorter waits, 0 among them, on the scale of powers of ten, in ms.
	leastWait = 1
	// pointRadius is that of a curve's points, in points of type; a span beside empty ones has nothing else.
	pointRadius = vg.Length(1.2)
)

// spanLengths are the lengths that a span may have.
var spanLengths = []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
	time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour, 6 * time.Hour, 24 * time.Hour}

// day is what is plotted of the logs: each queue's figures in spans of equal length.
type day struct {
	from   time.Time
	span   time.Duration
	queues []queueDay
}

// queueDay is one queue's; its lists have one figure for each span.
type queueDay struct {
	name string
	// half and most are the waits, from hand-in to first start, that half and 95 of 100 of
	// the jobs did not exceed that were handed in within the span, in ms; less than 0: no
	// such job was accepted.
	half, most []float64
	// refused are the owner's refusals a second, and notRun the tries a second of which the
	// caller was told that its job was not run, for whatever cause. A caller comes several times.
	refused, notRun []float64
}

// dayOf sums up the lines, which are in order of time.
func dayOf(lines []logLine) (day, error) {
	about := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.Job == "" || l.Time.IsZero() })
	jobs := timesOf(about)
	if len(jobs) == 0 {
		return day{}, errNoJobs
	}
	d := day{from: about[0].Time}
	last := about[len(about)-1].Time
	for _, j := range jobs {
		if j.handedIn.Before(d.from) {
			d.from = j.handedIn // its line is written once it is answered
		}
	}
	d.span = spanFor(last.Sub(d.from))
	d.from = d.from.Truncate(d.span)
	spans := int(last.Sub(d.from)/d.span) + 1
	for _, name := range queueNames(jobs) {
		q := queueDay{name: name, refused: make([]float64, spans), notRun: make([]float64, spans)}
		q.half, q.most = d.waits(name, jobs, last, spans)
		d.queues = append(d.queues, q)
	}
	d.countRefusals(about)
	return d, nil
}

// spanFor is the shortest span of which mostSpans cover a length.
func spanFor(length time.Duration) time.Duration {
	for _, s := range spanLengths {
		if length < mostSpans*s {
			return s
		}
	}
	return spanLengths[len(spanLengths)-1]
}

func queueNames(jobs []*jobTimes) []string {
	var names []string
	for _, j := range jobs {
		names = append(names, j.queue)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// waits are the waits of a queue's accepted jobs, by the span of their hand-in. One that
// had not begun when the logs end has waited until then at least; left out, a queue that
// serves nobody would show no waits at all.
func (d *day) waits(queue string, jobs []*jobTimes, last time.Time, spans int) (half, most []float64) {
	bySpan := make([][]time.Duration, spans)
	for _, j := range jobs {
		neverAccepted := j.accepted.IsZero() && j.began.IsZero() // callers left in doubt have jobs that run
		endedBefore := j.began.IsZero() && (j.cancelled || !j.complete.IsZero())
		if j.queue != queue || neverAccepted || endedBefore {
			continue
		}
		began := j.began
		if began.IsZero() {
			began = last
		}
		at := int(j.handedIn.Sub(d.from) / d.span)
		bySpan[at] = append(bySpan[at], max(0, began.Sub(j.handedIn)))
	}
	for _, list := range bySpan {
		if len(list) == 0 {
			half, most = append(half, -1), append(most, -1)
			continue
		}
		slices.Sort(list)
		half, most = append(half, ms(list[len(list)/2])), append(most, ms(list[len(list)*95/100]))
	}
	return half, most
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (d *day) countRefusals(lines []logLine) {
	each := 1 / d.span.Seconds()
	for _, l := range lines {
		at := slices.IndexFunc(d.queues, func(q queueDay) bool { return q.name == l.Queue })
		if at < 0 {
			continue
		}
		span := int(l.Time.Sub(d.from) / d.span)
		switch {
		case l.Event == refusedEvent:
			d.queues[at].refused[span] += each
		case l.Event == "job.submitted" && l.Verdict == "not run":
			d.queues[at].notRun[span] += each
		}
	}
}

// tile is one of the picture's plots, one above the other over the same time.
type tile struct {
	title, unit string
	waits       bool // on a scale of powers of ten
	of          func(*queueDay) []float64
}

var tiles = []tile{
	{"half of the jobs began within", "ms since hand-in", true, func(q *queueDay) []float64 { return q.half }},
	{"95 of 100 jobs began within", "ms since hand-in", true, func(q *queueDay) []float64 { return q.most }},
	{"refused by the pool's owner", "tries a second", false, func(q *queueDay) []float64 { return q.refused }},
	{"told \"not run\", for any cause", "tries a second", false, func(q *queueDay) []float64 { return q.notRun }},
}

// plotLines draws the day that the lines tell of.
func plotLines(lines []logLine, file string) error {
	d, err := dayOf(lines)
	if err != nil {
		return err
	}
	return plotDay(d, file)
}

// plotDay writes a picture to a file; its ending tells the format.
func plotDay(d day, file string) error {
	format := strings.TrimPrefix(strings.ToLower(filepath.Ext(file)), ".")
	if format != "svg" && format != "png" {
		return &usageError{fmt.Sprintf("%s: a plot's file must end in .svg or .png", file)}
	}
	picture, err := d.draw(format)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(file, picture, 0o644), "write plot")
}

func (d *day) draw(format string) ([]byte, error) {
	paper, err := draw.NewFormattedCanvas(plotWidth, tileHeight*vg.Length(len(tiles)), format)
	if err != nil {
		return nil, errors.Wrap(err, "draw")
	}
	canvas := draw.New(paper)
	plots := make([][]*plot.Plot, 0, len(tiles))
	for _, t := range tiles {
		p, err := d.tile(t)
		if err != nil {
			return nil, errors.Wrapf(err, "draw %s", t.title)
		}
		plots = append(plots, []*plot.Plot{p})
	}
	left := draw.Crop(canvas, 0, -legendWidth, 0, 0)
	for i, row := range plot.Align(plots, draw.Tiles{Rows: len(tiles), Cols: 1, PadY: tilePadding}, left) {
		plots[i][0].Draw(row[0])
	}
	legend := d.legend()
	legend.Draw(draw.Crop(canvas, plotWidth-legendWidth, 0, 0, 0))
	var out bytes.Buffer
	_, err = paper.WriteTo(&out)
	return out.Bytes(), errors.Wrap(err, "draw")
}

func (d *day) tile(t tile) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = t.title, t.unit
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04:05"}
	p.Add(plotter.NewGrid())
	highest := 0.0
	for i := range d.queues {
		values := t.of(&d.queues[i])
		highest = max(highest, slices.Max(values))
		for _, piece := range d.pieces(values, t.waits) {
			line, points, err := plotter.NewLinePoints(piece)
			if err != nil {
				return nil, errors.Wrapf(err, "queue %s", d.queues[i].name)
			}
			line.Color, line.Dashes, points.Color = queueColor(i), queueDashes(i), queueColor(i)
			points.Shape, points.Radius = draw.CircleGlyph{}, pointRadius
			p.Add(line, points)
		}
	}
	p.X.Min, p.X.Max = unix(d.from), unix(d.from.Add(time.Duration(len(d.queues[0].refused))*d.span))
	p.Y.Min, p.Y.Max = 0, max(1, highest)
	if t.waits {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		// To the next power of ten, so that one has a mark.
		p.Y.Min, p.Y.Max = leastWait, math.Pow(10, math.Ceil(math.Log10(max(10*leastWait, highest))))
	}
	return p, nil
}

// pieces are the points of a curve, cut where spans have no figure.
func (d *day) pieces(values []float64, waits bool) []plotter.XYs {
	var list []plotter.XYs
	var piece plotter.XYs
	for i, v := range values {
		if v < 0 {
			if len(piece) > 0 {
				list = append(list, piece)
			}
			piece = nil
			continue
		}
		if waits {
			v = max(v, leastWait)
		}
		middle := d.from.Add(time.Duration(i)*d.span + d.span/2)
		piece = append(piece, plotter.XY{X: unix(middle), Y: v})
	}
	if len(piece) > 0 {
		list = append(list, piece)
	}
	return list
}

func unix(t time.Time) float64 { return float64(t.UnixNano()) / float64(time.Second) }

// queueColor and queueDashes tell queues apart; dashes, where there are more than colours.
func queueColor(i int) color.Color { return plotutil.Color(i) }

func queueDashes(i int) []vg.Length { return plotutil.Dashes(i / len(plotutil.DefaultColors)) }

func (d *day) legend() plot.Legend {
	l := plot.NewLegend()
	l.Top, l.Left, l.Padding = true, true, legendPadding
	for i, q := range d.queues {
		l.Add(q.name, &plotter.Line{LineStyle: draw.LineStyle{Color: queueColor(i), Dashes: queueDashes(i), Width: vg.Points(2)}})
	}
	l.Add(fmt.Sprintf("a point: %s", d.span))
	return l
}
