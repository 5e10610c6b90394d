package main

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// document is one kind of settings file.
type document struct {
	title, about, dir, typeName string
}

var documents = []document{
	{"kw-entry", "The settings file of an entry: `kw-entry run -settings FILE`.", "cmd/internal/entry", "Settings"},
	{"kw-sched", "The settings file of a scheduler: `kw-sched run -settings FILE`.", "cmd/internal/sched", "Settings"},
	{"Team", "A team's subtree: `kwctl settings publish TEAM FILE`.", "settings", "Team"},
	{"Job", "A job: `kwctl job submit FILE`.", "placement", "JobSpec"},
	{"Load", "A sample of callers' requests and jobs: `kw-load -sample FILE`.", "standin/load", "Sample"},
}

const preface = `# Settings

Made from the types by ` + "`go run ./tools/settingsref`" + `; don't edit. All files are JSON with
comments. Unknown settings are refused with the nearest known one, and all findings of a
file are reported together. ` + "`null`" + ` is refused: leave a setting out to get its default.

Durations are written like "250ms", "3s", "1m30s"; amounts of memory like "64MiB"
(units B, KiB, MiB, GiB, TiB, powers of 1024). In a path, ` + "`*`" + ` stands for a name or a place in
a list that the file chooses.
`

// reference generates the page. root is the root of the repository.
func reference(root string) (string, error) {
	var b strings.Builder
	b.WriteString(preface)
	types := newTypes(root)
	for _, d := range documents {
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n| Setting | Type | Default | Meaning |\n|---|---|---|---|\n", d.title, d.about)
		rows, err := types.rows("", d.dir, d.typeName)
		if err != nil {
			return "", errors.Wrapf(err, "settings of %s", d.title)
		}
		for _, r := range rows {
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", r.path, r.kind, r.defaultText(), r.doc)
		}
	}
	return b.String(), nil
}

// row is one setting of the reference.
type row struct{ path, kind, defaultTag, doc string }

// zeroDefaults are the defaults, by type, of settings without a default tag.
var zeroDefaults = map[string]string{"boolean": "false", "whole number": "0", "number": "0", "duration": "0s", "amount of memory": "0B"}

func (r row) defaultText() string {
	text := r.defaultTag
	if text == "" {
		text = zeroDefaults[r.kind]
	}
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}

// titleOf returns the title of the section about a type, or an empty string.
func titleOf(dir, name string) string {
	for _, d := range documents {
		if d.dir == dir && d.typeName == name {
			return d.title
		}
	}
	return ""
}
