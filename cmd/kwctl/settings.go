package main

import (
	"context"
	"encoding/base64"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/cmd/internal/entry"
	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/settings"
)

func (c *console) settingsGroup() *group {
	var publish publishOptions
	var exitCode bool
	return &group{console: c, name: "settings", synopsis: "check, compare, publish and show the settings of teams", flags: publish.flags, commands: []*command{
		{name: "check", args: "TEAM FILE", minArgs: 2, maxArgs: 2, run: c.settingsCheck, synopsis: "Check a file without publishing it; no entry is asked",
			help: "All findings are printed, each with file, line and column."},
		{name: "get", args: "TEAM", minArgs: 1, maxArgs: 1, run: c.settingsGet, synopsis: "Print a team's settings in force",
			help: "The first line names the version. Keep it: publish then refuses to overwrite a\nchange that somebody else made in the meantime."},
		{name: "diff", args: "TEAM FILE", minArgs: 2, maxArgs: 2, run: func(ctx context.Context, args []string) error { return c.settingsDiff(ctx, args, exitCode) },
			flags:    func(f *flag.FlagSet) { f.BoolVar(&exitCode, "exit-code", false, "exit with 1 if they differ") },
			synopsis: "Compare a file with a team's settings in force"},
		{name: "publish", args: "TEAM FILE", minArgs: 2, maxArgs: 2, flags: publish.flags, run: func(ctx context.Context, args []string) error { return c.settingsPublish(ctx, args, publish) },
			synopsis: "Publish a team's settings",
			help:     "The change names the version it replaces: -base, else the one in the file's first\nline, else the one in force. If somebody was faster, nothing changes."},
		{name: "status", maxArgs: 0, run: func(ctx context.Context, _ []string) error { return c.settingsStatus(ctx) }, synopsis: "Show every entry's version of every team's settings"},
	}}
}

func (c *console) settingsCheck(_ context.Context, args []string) error {
	doc, err := c.file(args[1])
	if err != nil {
		return err
	}
	_, findings := settings.Change{Team: args[0], File: args[1], Document: string(doc)}.Check()
	if err := findings.Err(); err != nil {
		return err
	}
	c.printf("no findings")
	return nil
}

// document is a team's settings in force.
type document struct {
	version infra.Offset
	text    string
}

// settingsInForce returns a team's settings; version 0 and no text if it has none.
func (c *console) settingsInForce(ctx context.Context, team string) (document, error) {
	st, err := c.entryStatus(ctx, "")
	if err != nil {
		return document{}, err
	}
	for _, t := range st.Teams {
		if t.Team == team {
			data, err := c.call(ctx, http.MethodGet, "/v1/settings/"+url.PathEscape(team), nil)
			return document{t.Version, string(data)}, err
		}
	}
	return document{}, nil
}

func (c *console) settingsGet(ctx context.Context, args []string) error {
	d, err := c.settingsInForce(ctx, args[0])
	if err != nil {
		return err
	}
	if d.version == 0 {
		return errors.Errorf("team %q has no settings", args[0])
	}
	_, err = fmt.Fprint(c.out, withVersion(args[0], d))
	return err
}

type publishOptions struct {
	base string
	wait time.Duration
	key  string
}

func (o *publishOptions) flags(f *flag.FlagSet) {
	f.StringVar(&o.base, "base", o.base, "`version` that the change was made from, 0 for a new team")
	f.StringVar(&o.key, "sign-key", o.key, "`file` with a private key of the team, once keys are in force")
	f.DurationVar(&o.wait, "wait", o.wait, "wait at most this `time` until the change is in force at every entry")
}

func (c *console) settingsPublish(ctx context.Context, args []string, o publishOptions) error {
	team, file := args[0], args[1]
	doc, err := c.file(file)
	if err != nil {
		return err
	}
	base, err := c.base(ctx, team, string(doc), o.base)
	if err != nil {
		return err
	}
	query := url.Values{"base": {base}, "file": {file}}
	text := clearVersionLine(string(doc))
	signature, err := c.sign(team, base, text, o.key)
	if err != nil {
		return err
	}
	if c.entry == "" {
		return &usageError{"which entry? give -entry or set KW_ENTRY"}
	}
	data, err := c.callSigned(ctx, c.entry, http.MethodPut, "/v1/settings/"+url.PathEscape(team)+"?"+query.Encode(), []byte(text), signature)
	if err != nil {
		return err
	}
	a, err := accepted(data)
	if err != nil {
		return err
	}
	c.printf("accepted: team %s is at version %d", team, a.Offset)
	if o.wait == 0 {
		return nil
	}
	return c.awaitInForce(ctx, team, a.Offset, o.wait)
}

// sign returns the signature of a change, or "" if no key is given.
func (c *console) sign(team, base, document, file string) (string, error) {
	if file == "" {
		return "", nil
	}
	key, err := c.privateKey(file)
	if err != nil {
		return "", err
	}
	version, err := strconv.ParseUint(base, 10, 64)
	if err != nil {
		return "", errors.Wrap(err, "base version")
	}
	change := settings.Change{Team: team, Base: infra.Offset(version), Document: document}.Sign(key)
	return base64.StdEncoding.EncodeToString(change.Signature), nil
}

// base returns the version that a change replaces.
func (c *console) base(ctx context.Context, team, doc, given string) (string, error) {
	if given != "" {
		return given, nil
	}
	if version, ok := versionIn(team, doc); ok {
		return strconv.FormatUint(uint64(version), 10), nil
	}
	d, err := c.settingsInForce(ctx, team)
	if err != nil {
		return "", err
	}
	c.logf("the file names no version; it replaces version %d, whatever that says", d.version)
	return strconv.FormatUint(uint64(d.version), 10), nil
}

// entryStatus returns the settings versions at an entry; an empty address means the entry
// of the command line.
func (c *console) entryStatus(ctx context.Context, addr string) (entry.SettingsBody, error) {
	var st entry.SettingsBody
	if addr == "" {
		return st, c.ask(ctx, "/v1/settings", &st)
	}
	return st, c.get(ctx, addr, "/v1/settings", &st)
}

// settingsRow is one entry's version of one team's settings.
type settingsRow struct {
	Entry   string       `json:"entry"`
	Team    string       `json:"team,omitempty"`
	Version infra.Offset `json:"version,omitempty"`
	Offset  infra.Offset `json:"offset,omitempty"`
	Error   string       `json:"error,omitempty"`
}

func (c *console) settingsRows(ctx context.Context) ([]settingsRow, error) {
	first, err := c.entryStatus(ctx, "")
	if err != nil {
		return nil, err
	}
	answers := make([][]settingsRow, len(first.Entries))
	forEachConcurrently(first.Entries, func(i int, addr string) {
		st, err := c.entryStatus(ctx, addr)
		if err != nil {
			answers[i] = []settingsRow{{Entry: addr, Error: err.Error()}}
			return
		}
		if len(st.Teams) == 0 {
			answers[i] = []settingsRow{{Entry: st.Entry, Offset: st.Offset}}
		}
		for _, t := range st.Teams {
			answers[i] = append(answers[i], settingsRow{Entry: st.Entry, Team: t.Team, Version: t.Version, Offset: st.Offset})
		}
	})
	rows := []settingsRow{}
	for _, a := range answers {
		rows = append(rows, a...)
	}
	return rows, nil
}

func (c *console) settingsStatus(ctx context.Context) error {
	list, err := c.settingsRows(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, r := range list {
		version := orDashAny(r.Version)
		if r.Error != "" {
			version = "unreachable"
		}
		rows = append(rows, []string{r.Entry, orDash(r.Team), version, orDashAny(r.Offset)})
	}
	return c.table(list, "ENTRY TEAM VERSION LOG-OFFSET", rows)
}

// awaitInForce waits until every entry has a version, and prints the progress.
func (c *console) awaitInForce(ctx context.Context, team string, version infra.Offset, limit time.Duration) error {
	const pollInterval = 100 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	start, lastLine := time.Now(), ""
	for {
		list, err := c.settingsRows(ctx)
		have, all, late := countInForce(list, team, version)
		if err == nil && all > 0 && have == all {
			c.printf("in force at all %d entries after %s", all, time.Since(start).Round(time.Millisecond))
			return nil
		}
		if line := fmt.Sprintf("in force at %d of %d entries", have, all); err == nil && line != lastLine {
			c.logf("%s", line)
			lastLine = line
		}
		if pause(ctx, pollInterval) != nil {
			return errors.Errorf("accepted, but not in force within %s at: %s", limit, late)
		}
	}
}

// countInForce counts the entries that have at least a version, and returns the others.
func countInForce(list []settingsRow, team string, version infra.Offset) (have, all int, late []string) {
	newest := map[string]infra.Offset{}
	for _, r := range list {
		newest[r.Entry] = max(newest[r.Entry], 0)
		if r.Team == team {
			newest[r.Entry] = r.Version
		}
	}
	for _, r := range list {
		v, open := newest[r.Entry]
		if !open {
			continue
		}
		delete(newest, r.Entry)
		all++
		if v >= version {
			have++
		} else {
			late = append(late, r.Entry)
		}
	}
	return have, all, late
}
