// Package capacity measures how memory, processor time and messages of each role grow
// with the size of the cell, with at least three points for each slope.
// docs/CAPACITY.md derives the needs of the largest supported cell from its table.
package capacity

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"
)

// Point is one measurement: a size and the cost at that size.
type Point struct{ Size, Cost float64 }

// Slope is a linear relation between a size and a cost, given by measured points.
type Slope struct {
	Role, What string
	// SizeUnit and CostUnit are the units of the points.
	SizeUnit, CostUnit string
	Points             []Point
}

// Fit returns the cost per unit of size and the cost at size zero, by least squares.
func (s Slope) Fit() (rise, base float64) {
	n := float64(len(s.Points))
	var sx, sy, sxx, sxy float64
	for _, p := range s.Points {
		sx, sy, sxx, sxy = sx+p.Size, sy+p.Cost, sxx+p.Size*p.Size, sxy+p.Size*p.Cost
	}
	rise = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return rise, (sy - rise*sx) / n
}

// heapOf returns the heap memory that build's result occupies, in bytes.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// minTimedRun is the minimum duration of a timed loop.
const minTimedRun = 200 * time.Millisecond

// perCall returns the mean duration of a call of f, in microseconds.
func perCall(f func()) float64 {
	f()
	n := 1
	for {
		start := time.Now()
		for range n {
			f()
		}
		if took := time.Since(start); took >= minTimedRun {
			return float64(took.Microseconds()) / float64(n)
		}
		n *= 2
	}
}

// Print prints slopes as a Markdown table.
func Print(w io.Writer, slopes []Slope) {
	tw := tabwriter.NewWriter(w, 0, 4, 1, ' ', 0)
	fmt.Fprintln(tw, "| Role\t| What\t| Points (size: cost)\t| Slope\t| At size 0\t|")
	fmt.Fprintln(tw, "|---\t|---\t|---\t|---\t|---\t|")
	for _, s := range slopes {
		points := ""
		for i, p := range s.Points {
			if i > 0 {
				points += ", "
			}
			points += fmt.Sprintf("%.4g: %.4g", p.Size, p.Cost)
		}
		rise, base := s.Fit()
		fmt.Fprintf(tw, "| %s\t| %s\t| %s\t| %.3g %s per %s\t| %.3g %s\t|\n", s.Role, s.What, points, rise, s.CostUnit, s.SizeUnit, base, s.CostUnit)
	}
	_ = tw.Flush()
}
