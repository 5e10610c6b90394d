// Command kwctl is the operators' command line. It talks HTTP to entries.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "help")
	subcommands.Register(subcommands.CommandsCommand(), "help")
	subcommands.Register(&settingsCommand{}, "settings")
	subcommands.Register(&jobCommand{}, "jobs")
	subcommands.Register(&dumpCommand{}, "state")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
