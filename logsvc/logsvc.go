// Package logsvc is the client of the platform's append-only log service.
package logsvc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"
)

// Record is one entry of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	TimeMs int64  `json:"time_ms"` // when the log took it, Unix milliseconds
	Data   []byte `json:"data"`
}

// Page answers a read: the first offset that is still kept, the offset that the
// next append will get, and records from the offset asked for on.
type Page struct {
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// Appended tells where a record was written.
type Appended struct {
	Offset int64 `json:"offset"`
	TimeMs int64 `json:"time_ms"`
}

// Errors of a Log.
var (
	// ErrRefused means that the append had no effect and never will.
	ErrRefused = errors.New("the log refused the append")
	// ErrUnknown means that the append may have taken effect, or may yet.
	ErrUnknown = errors.New("the log's answer was lost")
	// ErrUnavailable means that the log could not be read.
	ErrUnavailable = errors.New("the log is unavailable")
)

// Log is an append-only log with streams. Implementations are safe for
// concurrent use.
type Log interface {
	// Append adds a record. It returns ErrRefused or ErrUnknown.
	Append(ctx context.Context, stream string, data []byte) (Appended, error)
	// Read returns records from the offset on and waits up to wait for the
	// first. It returns ErrUnavailable.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error)
}

// Client speaks to the log service over HTTP.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// maxPageBytes bounds the answer to a read.
const maxPageBytes = 256 << 20

// New returns a client of the log at an IP number and port. timeout bounds each
// call; a read may take its wait longer.
func New(address string, timeout time.Duration) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	return &Client{base: "http://" + address, timeout: timeout, http: &http.Client{Transport: t}}
}

// onceBody hides the body's type, so that net/http can't rewind it and send the
// append a second time.
type onceBody struct{ io.Reader }

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (Appended, error) {
	var a Appended
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	u := c.base + "/v1/streams/" + url.PathEscape(stream) + "/append"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, onceBody{bytes.NewReader(data)})
	if err != nil {
		return a, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	req.ContentLength = int64(len(data))
	resp, err := c.http.Do(req)
	if err != nil {
		return a, fmt.Errorf("append to %s: %w: %w", stream, appendFailure(err), err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode/100 == 4:
		return a, fmt.Errorf("append to %s: %w: status %d", stream, ErrRefused, resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
		return a, fmt.Errorf("append to %s: %w: status %d", stream, ErrUnknown, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPageBytes)).Decode(&a); err != nil {
		return a, fmt.Errorf("append to %s: %w: %w", stream, ErrUnknown, err)
	}
	return a, nil
}

// appendFailure tells a connection that was never made, over which nothing can
// have been sent, from all other failures. A 5xx status counts as unknown too,
// since a gateway may send it after the log took the record.
func appendFailure(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrRefused
	}
	return ErrUnknown
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
	var p Page
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	u := fmt.Sprintf("%s/v1/streams/%s/records?from=%d&wait_ms=%d", c.base, url.PathEscape(stream), from, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return p, fmt.Errorf("read %s: %w: %w", stream, ErrUnavailable, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return p, fmt.Errorf("read %s: %w: %w", stream, ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return p, fmt.Errorf("read %s: %w: status %d", stream, ErrUnavailable, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPageBytes)).Decode(&p); err != nil {
		return p, fmt.Errorf("read %s: %w: %w", stream, ErrUnavailable, err)
	}
	return p, nil
}
