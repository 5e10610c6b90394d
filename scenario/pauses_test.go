package scenario

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/knapweedweir/knapweedweir/standin/cell"
)

var (
	pauses  = flag.Uint64("pauses", 0, "pause single processes of each cell at moments drawn from this seed; 0: none")
	longest = flag.Duration("longest", time.Second, "the longest pause")
)

// startPauses pauses one process of a cell after the other, each for a while, until the
// returned function is called. Beside the logs stands which and when.
func startPauses(c *cell.Cell) (end func(), err error) {
	if *pauses == 0 {
		return func() {}, nil
	}
	out, err := os.Create(filepath.Join(c.Dir, "pauses.log"))
	if err != nil {
		return nil, err
	}
	luck := rand.New(rand.NewPCG(*pauses, 1))
	stop, ended := make(chan struct{}), make(chan struct{})
	wait := func(d time.Duration) bool {
		select {
		case <-stop:
			return false
		case <-time.After(d):
			return true
		}
	}
	go func() {
		defer close(ended)
		defer out.Close()
		for wait(time.Duration(luck.IntN(1500)) * time.Millisecond) {
			procs := c.Procs()
			p := procs[luck.IntN(len(procs))]
			lasting := time.Duration(luck.Int64N(int64(*longest)))
			began := time.Now()
			_ = p.Signal(syscall.SIGSTOP) // it may have ended
			wait(lasting)
			_ = p.Signal(syscall.SIGCONT)
			_, _ = fmt.Fprintf(out, "%s %s paused for %v\n", began.UTC().Format(time.RFC3339Nano), p.Name, lasting)
		}
	}()
	return func() { close(stop); <-ended }, nil
}
