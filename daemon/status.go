package daemon

import (
	"bytes"
	"encoding/json"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
)

// Status is the common status of all processes, under "process" in a dump.
type Status struct {
	Name        string    `json:"name"`
	ID          string    `json:"id"`
	Incarnation uint64    `json:"incarnation"`
	Started     time.Time `json:"started"`
	// Build is the version that the binary was built from.
	Build      string      `json:"build"`
	Ready      bool        `json:"ready"`
	Conditions []Condition `json:"conditions"`
}

// Status returns the current status of the process.
func (p *Process) Status() Status {
	return Status{Name: p.Name, ID: p.ID, Incarnation: p.Incarnation, Started: time.Unix(0, int64(p.Incarnation)).UTC(),
		Build: build(), Ready: p.ready.Load(), Conditions: p.conditions.list()}
}

// revisionDigits is the number of digits of a commit hash that identify a build.
const revisionDigits = 12

// build returns the commit that the binary was built from, "+" if the sources
// had changes, or the module's version.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	changed := ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			version = s.Value[:min(len(s.Value), revisionDigits)]
		case "vcs.modified":
			if s.Value == "true" {
				changed = "+"
			}
		}
	}
	return version + changed
}

// DumpJSON returns the state from OnDump as a JSON object, with the Status added
// under "process".
func (p *Process) DumpJSON() ([]byte, error) {
	if p.dump == nil {
		return nil, errors.New("this process has no dump")
	}
	state, err := p.dump()
	if err != nil {
		return nil, err
	}
	own, err := json.Marshal(state)
	if err != nil {
		return nil, errors.Wrap(err, "encode dump")
	}
	status, err := json.Marshal(p.Status())
	if err != nil {
		return nil, errors.Wrap(err, "encode status")
	}
	rest, ok := bytes.CutPrefix(own, []byte("{"))
	if !ok {
		return nil, errors.New("a dump must be a JSON object")
	}
	joined := append([]byte(`{"process":`), status...)
	if !bytes.Equal(rest, []byte("}")) {
		joined = append(joined, ',')
	}
	return append(joined, rest...), nil
}
