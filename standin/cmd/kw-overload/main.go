// Command kw-overload prints what the dispatch core delivers under overload,
// in virtual time, beside other ways of serving the same requests.
package main

import (
	"flag"
	"os"

	"github.com/knapweedweir/knapweedweir/dispatch/experiment"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the arrivals")
	flag.Parse()
	experiment.Overload(os.Stdout, []float64{0.7, 1, 1.5, 2, 4}, *seed)
}
