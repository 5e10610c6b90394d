package main

import (
	"fmt"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/cmd/internal/entry"
	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

type exitStatus = subcommands.ExitStatus

// The exit statuses, as documented in the help text.
const (
	exitOK          = subcommands.ExitSuccess
	exitFailure     = subcommands.ExitFailure
	exitUsage       = subcommands.ExitUsageError
	exitNotAccepted = exitStatus(3)
	exitInDoubt     = exitStatus(4)
)

// usageError is an error in the command line.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

// refusedError is the error body of an entry's answer. Nothing has changed, unless its code
// is in-doubt.
type refusedError struct{ body entry.ErrorBody }

func (e *refusedError) Error() string {
	text := e.body.Message
	if len(e.body.Findings) > 0 {
		text += "\n" + e.body.Findings.Error()
	}
	if e.body.Code == api.InDoubt {
		text += "\nIn doubt: the change was sent and not confirmed, so it may take effect. Look before you repeat it"
	}
	if e.body.RetryAfterMillis > 0 {
		text += fmt.Sprintf(" (come back in %s)", time.Duration(e.body.RetryAfterMillis)*time.Millisecond)
	}
	return text
}

// unconfirmedError means that a change was sent and no complete answer was received.
type unconfirmedError struct{ cause error }

func (e *unconfirmedError) Error() string {
	return e.cause.Error() + "\nIn doubt: the change was sent and no answer came, so it may take effect. Look before you repeat it"
}

// statusOf returns the exit status of an error.
func statusOf(err error) exitStatus {
	var usage *usageError
	var refused *refusedError
	var unconfirmed *unconfirmedError
	var findings jsonc.Findings
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &refused) && refused.body.Code == api.InDoubt, errors.As(err, &unconfirmed):
		return exitInDoubt
	case errors.As(err, &refused), errors.As(err, &findings):
		return exitNotAccepted
	}
	return exitFailure
}

// exit prints an error and returns its exit status.
func (c *console) exit(err error) exitStatus {
	if err != nil && !errors.Is(err, errReported) {
		c.logf("%v", err)
	}
	return statusOf(err)
}

// errReported ends a command with status 1 if its output already contains the reason.
var errReported = errors.New("failed")
