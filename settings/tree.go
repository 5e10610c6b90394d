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
	// Base is the version that the author has edited. The change is rejected if it
	// is not the current one, so that concurrent operators can't overwrite each
	// other's changes unnoticed.
	Base infra.Offset `json:"base"`
	// File is the name of the document in findings.
	File string `json:"file"`
	// Document is JSON with comments, as the operator wrote it.
	Document string `json:"document"`
	// Signature is by a key of the team. It is required once there is a root key.
	Signature []byte `json:"signature,omitempty"`
}

// ConflictError rejects a change whose base version is not the current one.
type ConflictError struct {
	Team          string
	Base, Current infra.Offset
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("settings of team %q are at version %d, the change was made from version %d", e.Team, e.Current, e.Base)
}

var teamName = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Check decodes and validates the document and returns all findings.
func (c Change) Check() (Team, jsonc.Findings) {
	var t Team
	findings := jsonc.Decode(c.File, []byte(c.Document), &t)
	if !teamName.MatchString(c.Team) {
		findings = append(findings, jsonc.Finding{File: c.File, Line: 1, Column: 1,
			Message: fmt.Sprintf("team name %q must be lower-case letters, digits and dashes", c.Team)})
	}
	return t, findings
}

// checkSyntax checks only what is the same in all builds. The complete Check runs
// before a change is proposed and reports all findings to the operator. Using it
// when records are applied would make the states of two builds diverge during a
// rolling upgrade: only the build that knows a new setting would accept a change.
func (c Change) checkSyntax() error {
	if !teamName.MatchString(c.Team) {
		return errors.Errorf("team name %q must be lower-case letters, digits and dashes", c.Team)
	}
	_, err := hujson.Parse([]byte(c.Document))
	return errors.Wrap(err, c.File)
}

// decodeKnown returns the settings of an accepted document that this build knows.
func (c Change) decodeKnown() Team {
	t, _ := c.Check()
	return t
}

// Version is the current settings of a team, set by the record at an offset.
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
	if err := t.authorize(c); err != nil {
		return err
	}
	if err := c.checkSyntax(); err != nil {
		return err
	}
	// Concurrent changes of two operators may both pass Check. Only the first one
	// in the log may win, and the other one must be rejected with an error.
	if current := t.teams[c.Team].Offset; c.Base != current {
		return &ConflictError{Team: c.Team, Base: c.Base, Current: current}
	}
	t.teams[c.Team] = Version{Offset: at, File: c.File, Document: c.Document, Team: c.decodeKnown()}
	return nil
}

// Team returns the current settings of a team.
func (t *Tree) Team(name string) (Version, bool) {
	v, ok := t.teams[name]
	return v, ok
}

// Teams returns the names of all teams, sorted.
func (t *Tree) Teams() []string { return sortedKeys(t.teams) }

type treeSnapshot struct {
	Teams map[string]Version `json:"teams"`
	Keys  map[string]KeySet  `json:"keys"`
}

// Snapshot implements logstream.Reducer.
func (t *Tree) Snapshot() (json.RawMessage, error) {
	return json.Marshal(treeSnapshot{t.teams, t.keys})
}

// Restore implements logstream.Reducer. Accepted documents stay accepted: one that
// this build would reject is kept, with the settings in it that the build knows, as
// rejecting the snapshot would leave the process without any settings.
func (t *Tree) Restore(data json.RawMessage) error {
	s := treeSnapshot{Teams: map[string]Version{}, Keys: map[string]KeySet{}}
	// Without this, a snapshot of another format would decode as one without teams.
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return errors.Wrap(err, "decode settings snapshot")
	}
	for name, v := range s.Teams {
		v.Team = Change{Team: name, File: v.File, Document: v.Document}.decodeKnown()
		s.Teams[name] = v
	}
	t.teams, t.keys = s.Teams, s.Keys
	return nil
}
