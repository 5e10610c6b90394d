// Package httpplatform is a client of the platform's HTTP protocol, which
// docs/PLATFORM.md describes.
package httpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/infra"
)

// maxIdleConns is the number of workers that may be polled at the same time through
// one address of the platform, as each poll uses a connection.
const maxIdleConns = 4096

// maxReplyBytes limits the size of a reply, so that a faulty platform can't exhaust
// the memory of an instance.
const maxReplyBytes = 64 << 20

// Client is a client of the platform at one base URL. It implements infra.Log and
// provides infra.Instances and infra.Workers.
type Client struct {
	base string
	http *http.Client
}

// New returns a client for the platform at base, such as "http://10.0.0.1:80".
func New(base string) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// AppendBody is the JSON body of an append.
type AppendBody struct {
	Records [][]byte `json:"records"`
}

// Append implements infra.Log.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) error {
	path := "/log/" + url.PathEscape(stream) + "/append"
	return c.call(ctx, http.MethodPost, path, AppendBody{Records: records}, nil)
}

// Read implements infra.Log.
func (c *Client) Read(ctx context.Context, stream string, after infra.Offset, max int, wait time.Duration) (infra.Page, error) {
	path := fmt.Sprintf("/log/%s/read?after=%d&max=%d&waitMillis=%d", url.PathEscape(stream), after, max, wait.Milliseconds())
	var page infra.Page
	err := c.call(ctx, http.MethodGet, path, nil, &page)
	return page, err
}

// Instances returns access to the platform's instance list.
func (c *Client) Instances() infra.Instances { return instances{c} }

// Workers returns access to the platform's workers.
func (c *Client) Workers() infra.Workers { return workers{c} }

type instances struct{ c *Client }

func (i instances) List(ctx context.Context) ([]infra.Instance, error) {
	var list []infra.Instance
	err := i.c.call(ctx, http.MethodGet, "/instances", nil, &list)
	return list, err
}

type workers struct{ c *Client }

func (w workers) List(ctx context.Context, since uint64) (infra.WorkerList, error) {
	var list infra.WorkerList
	err := w.c.call(ctx, http.MethodGet, fmt.Sprintf("/workers?since=%d", since), nil, &list)
	return list, err
}

func (w workers) Sync(ctx context.Context, worker string, req infra.SyncRequest) (infra.SyncReply, error) {
	var reply infra.SyncReply
	err := w.c.call(ctx, http.MethodPost, "/workers/"+url.PathEscape(worker)+"/sync", req, &reply)
	return reply, err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrapf(err, "platform %s", path)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrapf(err, "platform %s: read reply", path)
	}
	switch {
	case resp.StatusCode == http.StatusGone:
		// The body contains the range of records that are still retained.
		_ = json.Unmarshal(data, out)
		return errors.WithStack(infra.ErrExpired)
	case resp.StatusCode != http.StatusOK:
		return errors.Errorf("platform %s: status %d: %s", path, resp.StatusCode, bytes.TrimSpace(data))
	case out == nil:
		return nil
	}
	return errors.Wrapf(json.Unmarshal(data, out), "platform %s: decode reply", path)
}
