package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/logstream"
	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

// KindChange is the record kind of a change to the settings.
const KindChange logstream.Kind = "settings.change"

// Change proposes a new document for a team's subtree.
type Change struct {
	Team string `json:"team"`
	// Base is the version the author saw; a change of any other version is
	// refused, so that racing operators never overwrite each other unseen.
	Base infra.Offset `json:"base"`
	// File names the document in findings.
	File string `json:"file"`
	// Document is JSON with comments, as the operator wrote it.
	Document string `json:"document"`
	// Signature is by a key of the team, once a root key is in force.
	Signature []byte `json:"signature,omitempty"`
}

// ConflictError is the ruling on a change that names an old base version.
type ConflictError struct {
	Team          string
	Base, Current infra.Offset
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

// checkForm checks what never differs between builds. The whole Check comes
// before a change is proposed and tells the operator all findings. Ruling by it
// here would part the states of two builds during a roll-out: the one that knows
// a new setting would accept a change that the other refuses.
func (c Change) checkForm() error {
	if !teamName.MatchString(c.Team) {
		return errors.Errorf("team name %q must be lower-case letters, digits and dashes", c.Team)
	}
	_, err := hujson.Parse([]byte(c.Document))
	return errors.Wrap(err, c.File)
}

// read returns what this build can read of an accepted document.
func (c Change) read() Team {
	t, _ := c.Check()
	return t
}

// Version is a team's settings in force since an offset.
type Version struct {
	Offset   infra.Offset `json:"offset"`
	File     string       `json:"file"`
	Document string       `json:"document"`
	Team     Team         `json:"-"`
}

// Tree is the settings of all teams. It implements logstream.Reducer.
type Tree struct {
	teams map[string]Version
	keys  map[string]KeySet
}

// NewTree returns an empty tree.
func NewTree() *Tree { return &Tree{teams: map[string]Version{}, keys: map[string]KeySet{}} }

// Name implements logstream.Reducer.
func (t *Tree) Name() string { return "settings" }

// Kinds implements logstream.Reducer.
func (t *Tree) Kinds() []logstream.Kind { return []logstream.Kind{KindChange, KindKeys} }

// Apply implements logstream.Reducer.
func (t *Tree) Apply(at infra.Offset, rec logstream.Record) error {
	if rec.Kind == KindKeys {
		return t.applyKeys(at, rec)
	}
	var c Change
	if err := json.Unmarshal(rec.Body, &c); err != nil {
		return errors.Wrap(err, "decode settings change")
	}
	if err := t.mayChange(c); err != nil {
		return err
	}
	if err := c.checkForm(); err != nil {
		return err
	}
	// Two operators may both be told that their file is fine; only the one
	// whose change comes first in the log may win, and the other must hear it.
	if current := t.teams[c.Team].Offset; c.Base != current {
		return &ConflictError{Team: c.Team, Base: c.Base, Current: current}
	}
	t.teams[c.Team] = Version{Offset: at, File: c.File, Document: c.Document, Team: c.read()}
	return nil
}

// Team returns a team's settings in force.
func (t *Tree) Team(name string) (Version, bool) {
	v, ok := t.teams[name]
	return v, ok
}

// Teams returns the names of all teams in order.
func (t *Tree) Teams() []string { return sortedKeys(t.teams) }

type treeSnapshot struct {
	Teams map[string]Version `json:"teams"`
	Keys  map[string]KeySet  `json:"keys"`
}

// Snapshot implements logstream.Reducer.
func (t *Tree) Snapshot() (json.RawMessage, error) {
	return json.Marshal(treeSnapshot{t.teams, t.keys})
}

// Restore implements logstream.Reducer. What was accepted stays accepted: a
// document that a newer build would refuse is kept with what it can read of it,
// as refusing the snapshot would leave the process without any settings.
func (t *Tree) Restore(data json.RawMessage) error {
	s := treeSnapshot{Teams: map[string]Version{}, Keys: map[string]KeySet{}}
	// A snapshot in another form would otherwise pass for one without teams.
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return errors.Wrap(err, "decode settings snapshot")
	}
	for name, v := range s.Teams {
		v.Team = Change{Team: name, File: v.File, Document: v.Document}.read()
		s.Teams[name] = v
	}
	t.teams, t.keys = s.Teams, s.Keys
	return nil
}
