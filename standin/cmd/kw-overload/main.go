// Command kw-overload prints what the dispatch core delivers under overload in virtual
// time, compared with other policies on the same requests.
package main

import (
	"flag"
	"os"

	"github.com/knapweedweir/knapweedweir/dispatch/experiment"
)

func main() {
	skew := flag.Float64("skew", 0, "part of the callers at one entry; prints the ways of sharing slots")
	faults := flag.Bool("faults", false, "print what is delivered while runners have faults")
	seed := flag.Uint64("seed", 1, "seed of the arrivals")
	flag.Parse()
	if *faults {
		experiment.Faults(os.Stdout, *seed)
		return
	}
	if *skew > 0 {
		experiment.Skew(os.Stdout, []float64{0.3, 0.5, 0.7, 0.9, 1.5}, *skew, *seed)
		return
	}
	experiment.Overload(os.Stdout, []float64{0.7, 1, 1.5, 2, 4}, *seed)
}
