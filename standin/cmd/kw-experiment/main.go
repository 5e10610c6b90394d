// Command kw-experiment runs the placement cores and baseline schedulers on the users' cells
// in virtual time, and prints waiting times, utilization and cost as Markdown tables.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/knapweedweir/knapweedweir/placement/experiment"
)

func main() {
	cells := flag.String("cells", "workshop,association", "cells: workshop, association, letter/N for one of N parts of the letter's size")
	loads := flag.String("loads", "0.5,0.8,0.95,1.2", "offered parts of the capacity")
	wrong := flag.Float64("wrong", 1, "factor by which declared run times are wrong, both ways")
	failing := flag.Float64("failing", 0, "part of the workers that fail everything")
	minutes := flag.Float64("minutes", 10, "virtual minutes of arrivals")
	baselines := flag.Bool("baselines", true, "run the baselines too")
	seed := flag.Uint64("seed", 1, "seed of the work")
	flag.Parse()
	var results []experiment.Result
	for _, name := range strings.Split(*cells, ",") {
		cell, err := cellNamed(name)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		for _, l := range strings.Split(*loads, ",") {
			share, err := strconv.ParseFloat(l, 64)
			if err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(2)
			}
			load := experiment.Workload{OfferedShare: share, RunTimeError: *wrong, FailingShare: *failing, Seed: *seed,
				Duration: time.Duration(*minutes * float64(time.Minute))}
			results = append(results, experiment.Run(cell, load, *baselines)...)
		}
	}
	experiment.PrintWaits(os.Stdout, results)
	fmt.Println()
	experiment.PrintCosts(os.Stdout, results)
}

func cellNamed(name string) (experiment.Cell, error) {
	switch {
	case name == "workshop":
		return experiment.Workshop(), nil
	case name == "association":
		return experiment.Association(), nil
	case strings.HasPrefix(name, "letter/"):
		parts, err := strconv.Atoi(strings.TrimPrefix(name, "letter/"))
		if err == nil && parts > 0 {
			return experiment.LargeCell(parts), nil
		}
	}
	return experiment.Cell{}, fmt.Errorf("no cell %q; known are workshop, association and letter/N", name)
}
