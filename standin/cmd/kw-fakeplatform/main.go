// Command kw-fakeplatform runs the stand-in platform.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"

	"github.com/knapweedweir/knapweedweir/settings/jsonc"
	"github.com/knapweedweir/knapweedweir/standin/fakeplatform"
)

func main() {
	path := flag.String("settings", "", "settings file (JSON with comments)")
	flag.Parse()
	if err := run(*path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var cfg fakeplatform.Config
	if err := jsonc.Decode(path, data, &cfg).Err(); err != nil {
		return err
	}
	return http.ListenAndServe(cfg.Listen, fakeplatform.New(cfg))
}
