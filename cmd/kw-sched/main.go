// Command kw-sched places jobs on workers. One process runs on every entry instance; the
// worker shards and job homes of the cell are divided between them.
package main

import (
	"github.com/knapweedweir/knapweedweir/cmd/internal/sched"
	"github.com/knapweedweir/knapweedweir/daemon"
)

func main() {
	daemon.Main(daemon.RunCommand{Process: "kw-sched", Description: "Runs a scheduler: it places jobs on workers and answers its entry.",
		Start: sched.Run, Check: sched.Check})
}
