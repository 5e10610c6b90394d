package jsonc

import (
	"fmt"
	"strings"
)

// Finding is one error in a document.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
}

func (f Finding) String() string {
	where := fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	if f.Path == "" {
		return where + ": " + f.Message
	}
	return where + ": " + f.Path + ": " + f.Message
}

// Findings is a list of findings; a non-empty one is an error.
type Findings []Finding

func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil when there are none.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Validator is implemented by settings structs that check their own values.
// report takes the field's JSON path below the struct and a message.
type Validator interface {
	Validate(report func(path, message string))
}
