package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/cmd/internal/entry"
)

// callTimeout limits one call to an entry; the entry itself waits up to ten seconds for
// the log.
const callTimeout = 15 * time.Second

// call sends a request to the entry of the command line and returns the body of a 200
// answer.
func (c *console) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	if c.entry == "" {
		return nil, &usageError{"which entry? give -entry or set KW_ENTRY"}
	}
	return c.callAt(ctx, c.entry, method, path, body)
}

// callAt sends a request to the entry at addr. An answer other than 200 with an error body
// is returned as a refusedError, which lists all findings.
func (c *console) callAt(ctx context.Context, addr, method, path string, body []byte) ([]byte, error) {
	return c.callSigned(ctx, addr, method, path, body, "")
}

// callSigned is callAt with the signature of a settings change.
func (c *console) callSigned(ctx context.Context, addr, method, path string, body []byte, signature string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	scheme, client, err := c.transport()
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+"://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if signature != "" {
		req.Header.Set(entry.SignatureHeader, signature)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, markUnconfirmed(method, errors.Wrap(err, "call entry"))
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, markUnconfirmed(method, errors.Wrap(err, "read answer"))
	}
	if resp.StatusCode == http.StatusOK {
		return data, nil
	}
	var e entry.ErrorBody
	if json.Unmarshal(data, &e) != nil || e.Message == "" {
		return nil, markUnconfirmed(method, errors.Errorf("%s: %s", resp.Status, bytes.TrimSpace(data)))
	}
	return nil, &refusedError{e}
}

// markUnconfirmed wraps the error of a change that may have taken effect in an
// unconfirmedError. It returns the error as it is if the call changes nothing, or if
// connecting failed: only that proves that nothing was sent.
func markUnconfirmed(method string, err error) error {
	var op *net.OpError
	if method == http.MethodGet || errors.As(err, &op) && op.Op == "dial" {
		return err
	}
	return &unconfirmedError{err}
}

// get decodes a JSON document from the entry at addr.
func (c *console) get(ctx context.Context, addr, path string, out any) error {
	data, err := c.callAt(ctx, addr, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(data, out), "read the answer of %s", addr)
}

// ask decodes a JSON document from the entry of the command line.
func (c *console) ask(ctx context.Context, path string, out any) error {
	data, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, out), "read answer")
}

// accepted decodes the answer to an accepted change.
func accepted(data []byte) (entry.AcceptedBody, error) {
	var a entry.AcceptedBody
	return a, errors.Wrap(json.Unmarshal(data, &a), "read answer")
}

// file reads a file, or standard input if the name is "-".
func (c *console) file(name string) ([]byte, error) {
	if name == "-" {
		data, err := io.ReadAll(c.in)
		return data, errors.Wrap(err, "read standard input")
	}
	return readFile(name)
}
