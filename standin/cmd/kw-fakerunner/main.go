// Command kw-fakerunner runs stand-in runners in one process.
package main

import (
	"flag"
	"fmt"
	"net"
	"os"

	"github.com/knapweedweir/knapweedweir/settings/jsonc"
	"github.com/knapweedweir/knapweedweir/standin/fakerunner"
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
	var cfg fakerunner.Config
	if err := jsonc.Decode(path, data, &cfg).Err(); err != nil {
		return err
	}
	ended := make(chan error, len(cfg.Runners))
	for _, rc := range cfg.Runners {
		l, err := net.Listen("tcp", rc.Listen)
		if err != nil {
			return err
		}
		go func() { ended <- fakerunner.New(rc.ID, rc.Work.D()).Serve(l) }()
	}
	return <-ended
}
