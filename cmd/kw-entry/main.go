// Command kw-entry forwards callers' requests to runners and operators' commands to the
// schedulers.
package main

import (
	"github.com/knapweedweir/knapweedweir/cmd/internal/entry"
	"github.com/knapweedweir/knapweedweir/daemon"
)

func main() {
	daemon.Main(daemon.RunCommand{Process: "kw-entry", Description: "Runs an entry: it serves callers and operators.",
		Start: entry.Run, Check: entry.Check})
}
