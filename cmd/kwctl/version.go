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

// versionLine matches the first line of a document that kwctl has printed. Without it
// publish would use the version in force as the base, and an operator who edits an outdated
// copy would overwrite a colleague's later change.
var versionLine = regexp.MustCompile(`\A// version (\d+) of team ([a-z0-9-]+)[^\n]*\n`)

func withVersion(team string, d document) string {
	text := fmt.Sprintf("// version %d of team %s; publish replaces this version only\n%s", d.version, team, strings.TrimPrefix(d.text, "\n"))
	if !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	return text
}

// versionIn returns the version in the version line of a document, if it is the team's.
func versionIn(team, doc string) (infra.Offset, bool) {
	m := versionLine.FindStringSubmatch(doc)
	if m == nil || m[2] != team {
		return 0, false
	}
	v, err := strconv.ParseUint(m[1], 10, 64)
	return infra.Offset(v), err == nil
}

// clearVersionLine replaces the version line by an empty line, so that the stored document
// does not contain an old version, and line numbers in findings stay correct.
func clearVersionLine(doc string) string { return versionLine.ReplaceAllString(doc, "\n") }

func (c *console) settingsDiff(ctx context.Context, args []string, exitCode bool) error {
	team, file := args[0], args[1]
	doc, err := c.file(file)
	if err != nil {
		return err
	}
	d, err := c.settingsInForce(ctx, team)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s (version %d in force)", team, d.version)
	changes := diff.Diff(name, normalize(d.text), file, normalize(string(doc)))
	if len(changes) == 0 {
		c.printf("no difference to version %d of team %s", d.version, team)
		return nil
	}
	if _, err := c.out.Write(changes); err != nil {
		return errors.Wrap(err, "write")
	}
	if exitCode {
		return errReported
	}
	return nil
}

// normalize removes the differences that publishing itself makes: the version line, leading
// empty lines and a missing newline at the end.
func normalize(doc string) []byte {
	text := strings.TrimLeft(clearVersionLine(doc), "\n")
	if text != "" && !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	return []byte(text)
}
