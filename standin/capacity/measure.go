// Package capacity measures how the state, processor time and messages of each
// role grow, with at least three points for each slope. docs/CAPACITY.md works
// the letter's size out from its table.
package capacity

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"
)

// Point is one measurement: a size and what it cost.
type Point struct{ Size, Cost float64 }

// Slope is a line through measured points.
type Slope struct {
	Role, What string
	// SizeUnit and CostUnit are the units of the points.
	SizeUnit, CostUnit string
	Points             []Point
}

// Fit returns the line's rise for each unit of size and its value at size zero,
// by least squares.
func (s Slope) Fit() (rise, base float64) {
	n := float64(len(s.Points))
	var sx, sy, sxx, sxy float64
	for _, p := range s.Points {
		sx, sy, sxx, sxy = sx+p.Size, sy+p.Cost, sxx+p.Size*p.Size, sxy+p.Size*p.Cost
	}
	rise = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return rise, (sy - rise*sx) / n
}

// heapOf returns the bytes that build's result keeps alive.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// shortestRun is how long a timed loop runs at least.
const shortestRun = 200 * time.Millisecond

// perCall returns the microseconds that one call of f takes.
func perCall(f func()) float64 {
	f()
	n := 1
	for {
		start := time.Now()
		for range n {
			f()
		}
		if took := time.Since(start); took >= shortestRun {
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
