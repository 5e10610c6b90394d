package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

// group is a group of commands, such as "job". It implements
// subcommands.Command.
type group struct {
	console        *console
	name, synopsis string
	commands       []*command
	// flags are the flags of a command that may also be given before its name.
	flags func(f *flag.FlagSet)
}

// Name implements subcommands.Command.
func (g *group) Name() string { return g.name }

// Synopsis implements subcommands.Command.
func (g *group) Synopsis() string { return g.synopsis }

// Usage implements subcommands.Command.
func (g *group) Usage() string {
	text := fmt.Sprintf("kwctl %s: %s\n\n", g.name, g.synopsis)
	for _, v := range g.commands {
		text += fmt.Sprintf("  kwctl %s %s\n        %s\n", g.name, v.line(), v.synopsis)
	}
	return text + fmt.Sprintf("\nkwctl %s help COMMAND says more. Flags of all commands:\n", g.name)
}

// SetFlags implements subcommands.Command.
func (g *group) SetFlags(f *flag.FlagSet) {
	f.SetOutput(g.console.err)
	g.console.flags(f)
	if g.flags != nil {
		g.flags(f)
	}
}

// Execute implements subcommands.Command.
func (g *group) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	commander := subcommands.NewCommander(f, "kwctl "+g.name)
	commander.Output, commander.Error = g.console.out, g.console.err
	explain := func(w io.Writer) { fmt.Fprint(w, g.Usage()) }
	commander.Explain = explain
	commander.Register(commander.HelpCommand(), "")
	for _, v := range g.commands {
		v.console, v.group = g.console, g.name
		commander.Register(v, "")
	}
	if f.NArg() == 0 {
		explain(g.console.err)
		return exitUsage
	}
	return commander.Execute(ctx)
}

// command is one command of a group. It implements subcommands.Command.
type command struct {
	console                     *console
	group, name, args, synopsis string
	help                        string
	minArgs, maxArgs            int
	flags                       func(f *flag.FlagSet)
	run                         func(ctx context.Context, args []string) error
}

// unlimitedArgs is maxArgs of a command that takes any number of arguments.
const unlimitedArgs = 1 << 20

func (v *command) line() string {
	if v.args == "" {
		return v.name
	}
	return v.name + " " + v.args
}

// Name implements subcommands.Command.
func (v *command) Name() string { return v.name }

// Synopsis implements subcommands.Command.
func (v *command) Synopsis() string { return v.synopsis }

// Usage implements subcommands.Command.
func (v *command) Usage() string {
	text := strings.Join(strings.Fields("kwctl "+v.group+" "+v.line()), " ") + "\n\n" + v.synopsis + ".\n"
	if v.help != "" {
		text += "\n" + v.help + "\n"
	}
	return text + "\n"
}

// SetFlags implements subcommands.Command.
func (v *command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(v.console.err)
	v.console.flags(f)
	if v.flags != nil {
		v.flags(f)
	}
}

// Execute implements subcommands.Command.
func (v *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := arguments(f)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		return exitUsage
	}
	if v.console.output != outputTable && v.console.output != outputJSON {
		v.console.logf("-o must be table or json, not %q", v.console.output)
		return exitUsage
	}
	if len(args) < v.minArgs || len(args) > v.maxArgs {
		fmt.Fprint(v.console.err, v.Usage())
		return exitUsage
	}
	return v.console.exit(v.run(ctx, args))
}

// arguments returns the arguments that are not flags. Flags after the first argument are
// parsed too, since people type "job status ID -o json".
func arguments(f *flag.FlagSet) ([]string, error) {
	var args []string
	for f.NArg() > 0 {
		args = append(args, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, err
		}
	}
	return args, nil
}
