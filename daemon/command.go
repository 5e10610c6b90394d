package daemon

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// RunCommand is the subcommand "run", which starts a process from a settings file.
type RunCommand struct {
	// Process is the binary's name, Description one sentence on what it does.
	Process, Description string
	// Start runs the process until it ends; Check only loads the settings.
	Start, Check func(settingsPath string) error

	path string
}

// Name implements subcommands.Command.
func (*RunCommand) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (c *RunCommand) Synopsis() string { return c.Description }

// Usage implements subcommands.Command.
func (c *RunCommand) Usage() string {
	return fmt.Sprintf("%s run -settings FILE\n\n%s\nThe settings are JSON with comments. All findings are printed, each with\nfile, line and column. SIGTERM drains, a second SIGTERM ends at once.\n\n", c.Process, c.Description)
}

// SetFlags implements subcommands.Command.
func (c *RunCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "settings file (JSON with comments)")
}

// Execute implements subcommands.Command.
func (c *RunCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return runWithSettings(c.path, c.Start)
}

// checkCommand checks a settings file without starting anything.
type checkCommand struct{ RunCommand }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a settings file and print all findings" }
func (c *checkCommand) Usage() string {
	return fmt.Sprintf("%s check -settings FILE\n\nChecks a settings file and prints all findings.\n\n", c.Process)
}
func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return runWithSettings(c.path, c.Check)
}

func runWithSettings(path string, f func(string) error) subcommands.ExitStatus {
	if path == "" {
		fmt.Fprintln(os.Stderr, "-settings FILE is missing")
		return subcommands.ExitUsageError
	}
	if err := f(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// Main runs the command line of a process with the commands run and check.
func Main(c RunCommand) {
	subcommands.Register(subcommands.HelpCommand(), "help")
	subcommands.Register(subcommands.FlagsCommand(), "help")
	subcommands.Register(subcommands.CommandsCommand(), "help")
	subcommands.Register(&c, "")
	subcommands.Register(&checkCommand{c}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
