package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

// The output formats of -o.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// console is the state that all commands share: streams, common flags and the HTTP client.
type console struct {
	in       io.Reader
	out, err io.Writer
	entry    string
	output   string
	tls      tlsOptions

	once      sync.Once
	scheme    string
	client    *http.Client
	clientErr error
}

const intro = `kwctl is the operators' command line of a knapweedweir cell.

Usage: kwctl GROUP COMMAND [flags] [arguments]
       kwctl doctor [flags]
       kwctl why [-logs FILE] JOB
       kwctl delays [-logs FILE] [-plot FILE.svg]
       kwctl room [-dump FILE] [-job JOB] [ADDRESS...]
       kwctl readers [-dump FILE] [ADDRESS...]

Every command asks one entry: -entry ADDRESS, or $KW_ENTRY. Flags may stand
before or after the command and its arguments. Tables are for people; -o json is for programs.
Where the cell uses TLS, -ca, -cert and -key (or $KW_CA, $KW_CERT, $KW_KEY) name
the authorities of the entries and the operator's own certificate.

Exit status
  0  done
  1  failed: an entry could not be asked, something is wrong, a watched job failed
  2  wrong usage
  3  not accepted: the cell refused, and nothing has changed
  4  in doubt: the change was sent and not confirmed; it may take effect. Look
     before you repeat it

Groups
`

// execute parses and runs a command line.
func (c *console) execute(ctx context.Context, args []string) exitStatus {
	top := flag.NewFlagSet("kwctl", flag.ContinueOnError)
	top.SetOutput(c.err)
	c.flags(top)
	commander := subcommands.NewCommander(top, "kwctl")
	commander.Output, commander.Error = c.out, c.err
	commands := c.commands()
	explain := func(w io.Writer) {
		fmt.Fprint(w, intro)
		for _, cmd := range commands {
			fmt.Fprintf(w, "  %-10s %s\n", cmd.Name(), cmd.Synopsis())
		}
		fmt.Fprint(w, "\nkwctl help GROUP lists the commands of a group.\n")
	}
	commander.Explain = explain
	commander.Register(commander.HelpCommand(), "")
	for _, cmd := range commands {
		commander.Register(cmd, "")
	}
	top.Usage = func() { explain(c.err) }
	if err := top.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	if top.NArg() == 0 {
		explain(c.err)
		return exitUsage
	}
	return commander.Execute(ctx)
}

func (c *console) commands() []subcommands.Command {
	return []subcommands.Command{c.jobGroup(), c.settingsGroup(), c.keysGroup(), c.instanceGroup(), c.workerGroup(), c.dumpGroup(), c.doctorCommand(), c.whyCommand(), c.delaysCommand(), c.roomCommand(), c.readersCommand(), c.crashesCommand(), c.organisationsGroup()}
}

func (c *console) flags(f *flag.FlagSet) {
	f.StringVar(&c.entry, "entry", c.entry, "`address` of an entry, such as 10.0.0.1:8080; default $KW_ENTRY")
	c.tls.flags(f)
	f.StringVar(&c.output, "o", c.output, "output `format`: table or json")
}

func (c *console) printf(format string, args ...any) { fmt.Fprintf(c.out, format+"\n", args...) }

// logf prints a message on standard error, so that it does not mix with the output.
func (c *console) logf(format string, args ...any) { fmt.Fprintf(c.err, format+"\n", args...) }

// table prints rows under a heading, or value as JSON with -o json.
func (c *console) table(value any, heading string, rows [][]string) error {
	if c.output == outputJSON {
		return c.json(value)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(strings.Fields(heading), "\t"))
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return errors.Wrap(w.Flush(), "write")
}

func (c *console) json(value any) error {
	enc := json.NewEncoder(c.out)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(value), "write")
}
