package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/cmd/internal/entry"
	"github.com/knapweedweir/knapweedweir/settings"
)

type settingsCommand struct {
	target
	base string
}

func (*settingsCommand) Name() string { return "settings" }
func (*settingsCommand) Synopsis() string {
	return "check, publish and show the settings of teams"
}
func (*settingsCommand) Usage() string {
	return `kwctl settings check TEAM FILE      check a file without publishing it
kwctl settings publish TEAM FILE    publish a team's settings
kwctl settings get TEAM             print a team's settings in force
kwctl settings status               show every entry's version of every team

Settings are JSON with comments. publish names the version it replaces: the one
in force now, or the one given with -base. If somebody was faster, nothing
changes and the command says so.

`
}

func (c *settingsCommand) SetFlags(f *flag.FlagSet) {
	c.flags(f)
	f.StringVar(&c.base, "base", "", "version that the change was made from")
}

func (c *settingsCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch args := f.Args(); {
	case len(args) == 3 && args[0] == "check":
		return report(check(args[1], args[2]))
	case len(args) == 3 && args[0] == "publish":
		return report(c.publish(args[1], args[2]))
	case len(args) == 2 && args[0] == "get":
		return report(c.get(args[1]))
	case len(args) == 1 && args[0] == "status":
		return report(c.status())
	}
	return usage(c.Usage())
}

func check(team, file string) error {
	doc, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	_, findings := settings.Change{Team: team, File: file, Document: string(doc)}.Check()
	if err := findings.Err(); err != nil {
		return err
	}
	fmt.Println("no findings")
	return nil
}

func (c *settingsCommand) publish(team, file string) error {
	doc, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	base := c.base
	if base == "" {
		if base, err = c.current(team); err != nil {
			return err
		}
	}
	query := url.Values{"base": {base}, "file": {file}}
	data, _, err := c.call(http.MethodPut, "/v1/settings/"+url.PathEscape(team)+"?"+query.Encode(), doc)
	if err != nil {
		return err
	}
	var accepted entry.AcceptedBody
	if err := json.Unmarshal(data, &accepted); err != nil {
		return errors.Wrap(err, "read answer")
	}
	fmt.Printf("accepted: team %s is at version %d\n", team, accepted.Offset)
	return nil
}

// current returns the version in force, "0" for a team without settings.
func (c *settingsCommand) current(team string) (string, error) {
	st, err := c.entryStatus(c.entry)
	if err != nil {
		return "", err
	}
	for _, t := range st.Teams {
		if t.Team == team {
			return fmt.Sprint(t.Version), nil
		}
	}
	return "0", nil
}

func (c *settingsCommand) get(team string) error {
	data, _, err := c.call(http.MethodGet, "/v1/settings/"+url.PathEscape(team), nil)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(data)
	return err
}

func (c *settingsCommand) entryStatus(addr string) (entry.SettingsBody, error) {
	var st entry.SettingsBody
	t := target{entry: addr}
	data, _, err := t.call(http.MethodGet, "/v1/settings", nil)
	if err != nil {
		return st, err
	}
	return st, errors.Wrap(json.Unmarshal(data, &st), "read answer")
}

func (c *settingsCommand) status() error {
	first, err := c.entryStatus(c.entry)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "ENTRY\tTEAM\tVERSION\tLOG OFFSET")
	for _, addr := range first.Entries {
		st, err := c.entryStatus(addr)
		if err != nil {
			fmt.Fprintf(w, "%s\t-\tunreachable\t-\n", addr)
			continue
		}
		for _, t := range st.Teams {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", st.Entry, t.Team, t.Version, st.Offset)
		}
	}
	return w.Flush()
}
