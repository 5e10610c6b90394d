// Command kw-capacity prints the measurements behind docs/CAPACITY.md as Markdown tables.
package main

import (
	"fmt"
	"os"
	"sort"

	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/standin/capacity"
)

func main() {
	slopes := capacity.LogSlopes()
	slopes = append(slopes, capacity.ShardSlopes()...)
	slopes = append(slopes, capacity.SyncSlopes()...)
	slopes = append(slopes, capacity.HomeSlopes()...)
	slopes = append(slopes, capacity.MessageSlopes()...)
	slopes = append(slopes, capacity.StateSlopes()...)
	capacity.Print(os.Stdout, slopes)
	fmt.Println()
	capacity.PrintPolls(os.Stdout)
	sizes := capacity.RecordBytes()
	kinds := make([]logstream.Kind, 0, len(sizes))
	for k := range sizes {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(i, j int) bool { return kinds[i] < kinds[j] })
	fmt.Println()
	for _, k := range kinds {
		fmt.Printf("record %s: %d bytes\n", k, sizes[k])
	}
}
