// Command kw-load sends a sample file to a cell and prints what became of it.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/knapweedweir/knapweedweir/standin/load"
)

func main() {
	sample := flag.String("sample", "", "sample file (JSON with comments)")
	entries := flag.String("entries", "", "addresses of the entries, separated by commas")
	flag.Parse()
	s, err := load.Read(*sample)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	list := strings.Split(*entries, ",")
	r := load.Runner{Entries: func() []string { return list }, Client: &http.Client{Timeout: time.Minute}}
	load.Print(os.Stdout, r.Run(s))
}
