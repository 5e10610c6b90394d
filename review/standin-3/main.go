package main

import (
	"fmt"
	"os"
	"time"
)

// Results of a case, as exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the scripted cases by number. Trouble is false for the same without the disruption.
var cases = map[string]func(r *record, trouble bool) (int, error){
	"pending": casePending,
	"late":    caseLate,
	"gang":    caseGang,
	"stale":   caseStale,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(failed)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	r := &record{file: file, begin: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	code, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.line("the case couldn't run: %v", err)
		code = failed
	case code == broken:
		r.line("result: the rule was broken")
	default:
		r.line("result: the rule held")
	}
	_ = file.Close()
	os.Exit(code)
}
