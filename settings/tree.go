package settings

import (
	"encoding/json"
	"fmt"
	"regexp"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/platform"
	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

// KindChange is the record kind of a change to the settings.
const KindChange logstream.Kind = "settings.change"

// Change proposes a new document for a team's subtree.
type Change struct {
	Team string `json:"team"`
	// Base is the version the author saw; a change of any other version is
	// refused, so that racing operators never overwrite each other unseen.
	Base platform.Offset `json:"base"`
	// File names the document in findings.
	File string `json:"file"`
	// Document is JSON with comments, as the operator wrote it.
	Document string `json:"document"`
}

// ConflictError is the ruling on a change that names an old base version.
type ConflictError struct {
	Team          string
	Base, Current platform.Offset
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("settings of team %q are at version %d, the change was made from version %d", e.Team, e.Current, e.Base)
}

var teamName = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Check parses a change's document and returns all findings.
func (c Change) Check() (Team, jsonc.Findings) {
	var t Team
	findings := jsonc.Decode(c.File, []byte(c.Document), &t)
	if !teamName.MatchString(c.Team) {
		findings = append(findings, jsonc.Finding{File: c.File, Line: 1, Column: 1,
			Message: fmt.Sprintf("team name %q must be lower-case letters, digits and dashes", c.Team)})
	}
	return t, findings
}

// Version is a team's settings in force since an offset.
type Version struct {
	Offset   platform.Offset `json:"offset"`
	File     string          `json:"file"`
	Document string          `json:"document"`
	Team     Team            `json:"-"`
}

// Tree is the settings of all teams. It implements logstream.Reducer.
type Tree struct {
	teams map[string]Version
}

// NewTree returns an empty tree.
func NewTree() *Tree { return &Tree{teams: map[string]Version{}} }

// Name implements logstream.Reducer.
func (t *Tree) Name() string { return "settings" }

// Kinds implements logstream.Reducer.
func (t *Tree) Kinds() []logstream.Kind { return []logstream.Kind{KindChange} }

// Apply implements logstream.Reducer.
func (t *Tree) Apply(at platform.Offset, rec logstream.Record) error {
	var c Change
	if err := json.Unmarshal(rec.Body, &c); err != nil {
		return errors.Wrap(err, "decode settings change")
	}
	team, findings := c.Check()
	if err := findings.Err(); err != nil {
		return err
	}
	// Two operators may both be told that their file is fine; only the one
	// whose change comes first in the log may win, and the other must hear it.
	if current := t.teams[c.Team].Offset; c.Base != current {
		return &ConflictError{Team: c.Team, Base: c.Base, Current: current}
	}
	t.teams[c.Team] = Version{Offset: at, File: c.File, Document: c.Document, Team: team}
	return nil
}

// Team returns a team's settings in force.
func (t *Tree) Team(name string) (Version, bool) {
	v, ok := t.teams[name]
	return v, ok
}

// Teams returns the names of all teams in order.
func (t *Tree) Teams() []string { return sortedKeys(t.teams) }

// Snapshot implements logstream.Reducer.
func (t *Tree) Snapshot() (json.RawMessage, error) { return json.Marshal(t.teams) }

// Restore implements logstream.Reducer.
func (t *Tree) Restore(data json.RawMessage) error {
	teams := map[string]Version{}
	if err := json.Unmarshal(data, &teams); err != nil {
		return errors.Wrap(err, "decode settings snapshot")
	}
	for name, v := range teams {
		team, findings := Change{Team: name, File: v.File, Document: v.Document}.Check()
		if err := findings.Err(); err != nil {
			return errors.Wrapf(err, "settings of team %s", name)
		}
		v.Team = team
		teams[name] = v
	}
	t.teams = teams
	return nil
}
