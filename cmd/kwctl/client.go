package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/cmd/internal/entry"
)

// callTimeout bounds one call of an entry; an entry itself waits up to ten
// seconds for the log.
const callTimeout = 15 * time.Second

// target is the entry that a command talks to.
type target struct{ entry string }

func (t *target) flags(f *flag.FlagSet) {
	f.StringVar(&t.entry, "entry", os.Getenv("KW_ENTRY"), "address of an entry, such as 10.0.0.1:8080; default $KW_ENTRY")
}

// call sends a request to the entry and returns the body of a 200 answer. Any
// other answer becomes an error that lists all findings.
func (t *target) call(method, path string, body []byte) ([]byte, http.Header, error) {
	if t.entry == "" {
		return nil, nil, errors.New("which entry? give -entry or set KW_ENTRY")
	}
	req, err := http.NewRequest(method, "http://"+t.entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Wrap(err, "build request")
	}
	client := http.Client{Timeout: callTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return nil, nil, errors.Wrap(err, "call entry")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read answer")
	}
	if resp.StatusCode == http.StatusOK {
		return data, resp.Header, nil
	}
	var e entry.ErrorBody
	if json.Unmarshal(data, &e) != nil || e.Message == "" {
		return nil, nil, errors.Errorf("%s: %s", resp.Status, bytes.TrimSpace(data))
	}
	text := e.Message
	if len(e.Findings) > 0 {
		text += "\n" + e.Findings.Error()
	}
	if e.RetryAfterMillis > 0 {
		text += fmt.Sprintf(" (come back in %s)", time.Duration(e.RetryAfterMillis)*time.Millisecond)
	}
	return nil, nil, errors.New(text)
}

func report(err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func usage(text string) subcommands.ExitStatus {
	fmt.Fprint(os.Stderr, text)
	return subcommands.ExitUsageError
}
