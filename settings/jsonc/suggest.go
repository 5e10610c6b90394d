package jsonc

import (
	"fmt"
	"sort"
	"strings"
)

// suggest returns a hint with the known key that is most similar to the unknown one,
// or, if none is similar, with all known keys.
func suggest(name string, fields map[string]int) string {
	best, bestDistance := "", len(name)/2+1
	names := make([]string, 0, len(fields))
	for f := range fields {
		names = append(names, f)
	}
	sort.Strings(names)
	for _, f := range names {
		if dist := editDistance(strings.ToLower(name), strings.ToLower(f)); dist < bestDistance {
			best, bestDistance = f, dist
		}
	}
	if best == "" {
		return "; known here: " + strings.Join(names, ", ")
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// editDistance is the number of insertions, deletions, replacements and
// transpositions of adjacent characters that turn a into b (optimal string
// alignment). A transposition, the most common typing error, counts once.
func editDistance(a, b string) int {
	before, last, row := make([]int, len(b)+1), make([]int, len(b)+1), make([]int, len(b)+1)
	for j := range last {
		last[j] = j
	}
	for i := 1; i <= len(a); i++ {
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			row[j] = min(last[j]+1, row[j-1]+1, last[j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				row[j] = min(row[j], before[j-2]+1)
			}
		}
		before, last, row = last, row, before
	}
	return last[len(b)]
}
