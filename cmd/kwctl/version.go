package main

import (
	"context"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/diff"

	"github.com/knapweedweir/knapweedweir/infra"
)

// versionLine is the first line of a document that kwctl has printed. Without it
// an operator who edits a copy made yesterday would overwrite today's change of
// a colleague: publish would name the version in force now as its base.
var versionLine = regexp.MustCompile(`\A// version (\d+) of team ([a-z0-9-]+)[^\n]*\n`)

func withVersion(team string, d document) string {
	text := fmt.Sprintf("// version %d of team %s; publish replaces this version only\n%s", d.version, team, strings.TrimPrefix(d.text, "\n"))
	if !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	return text
}

// versionIn returns the version that a document of a team says it was made from.
func versionIn(team, doc string) (infra.Offset, bool) {
	m := versionLine.FindStringSubmatch(doc)
	if m == nil || m[2] != team {
		return 0, false
	}
	v, err := strconv.ParseUint(m[1], 10, 64)
	return infra.Offset(v), err == nil
}

// blankVersion empties the line that names a version, so that the stored
// document does not carry an old one, and findings keep their line.
func blankVersion(doc string) string { return versionLine.ReplaceAllString(doc, "\n") }

func (c *console) settingsDiff(ctx context.Context, args []string, exitCode bool) error {
	team, file := args[0], args[1]
	doc, err := c.file(file)
	if err != nil {
		return err
	}
	d, err := c.inForce(ctx, team)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s (version %d in force)", team, d.version)
	changes := diff.Diff(name, normal(d.text), file, normal(string(doc)))
	if len(changes) == 0 {
		c.say("no difference to version %d of team %s", d.version, team)
		return nil
	}
	if _, err := c.out.Write(changes); err != nil {
		return errors.Wrap(err, "write")
	}
	if exitCode {
		return errSaid
	}
	return nil
}

// normal leaves out what publishing adds or takes away.
func normal(doc string) []byte {
	text := strings.TrimLeft(blankVersion(doc), "\n")
	if text != "" && !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	return []byte(text)
}
