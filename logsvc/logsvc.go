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

	"github.com/galenaweir/galenaweir/stricthttp"
)

// Record is one entry of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	TimeMs int64  `json:"time_ms"` // when the log appended the record, Unix milliseconds
	Data   []byte `json:"data"`
}

// Page is the result of a read: the lowest offset that the log still holds, the offset
// that the next append will get, and the records from the requested offset on.
type Page struct {
	FirstOffset int64    `json:"first"`
	NextOffset  int64    `json:"next"`
	Records     []Record `json:"records"`
}

// AppendResult is the position and time of an appended record.
type AppendResult struct {
	Offset int64 `json:"offset"`
	TimeMs int64 `json:"time_ms"`
}

// Errors that implementations of Log return.
var (
	// ErrRejected means that the append had no effect and never will have one.
	ErrRejected = errors.New("log rejected the append")
	// ErrOutcomeUnknown means that the append may have taken effect, or may still do so.
	ErrOutcomeUnknown = errors.New("log append outcome unknown")
	// ErrUnavailable means that the log could not be read.
	ErrUnavailable = errors.New("the log is unavailable")
)

// Log is an append-only log with named streams. Implementations are safe for
// concurrent use.
type Log interface {
	// Append appends a record. Its errors wrap ErrRejected or ErrOutcomeUnknown.
	Append(ctx context.Context, stream string, data []byte) (AppendResult, error)
	// Read returns records from the offset on. It waits up to wait for the first
	// record. Its errors wrap ErrUnavailable.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error)
}

// Client is an HTTP client of the log service. It implements Log.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// Limits on answers, as they are encoded. A process has 128 MB, and holds a page's records decoded
// beside their encoding.
const (
	maxPageBytes   = 16 << 20 // records of a page beyond this are left to the next read
	maxRecordBytes = 32 << 20 // holds a record of 16 MB, the largest message between processes
	maxAppendBytes = 64 << 10 // answer to an append
)

// maxHeadBytes limits the size of an answer's head; net/http would read 10 MB.
const maxHeadBytes = 64 << 10

// New returns a client of the log service at address, an IP number and port. timeout
// limits each call; for a read, its wait is added.
func New(address string, timeout time.Duration) *Client {
	t := stricthttp.NewTransport(&http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes})
	return &Client{base: "http://" + address, timeout: timeout, http: &http.Client{Transport: t}}
}

// nonRewindableBody hides the type of its reader, so that net/http can't rewind the
// body and send the append a second time.
type nonRewindableBody struct{ io.Reader }

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (AppendResult, error) {
	var a AppendResult
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	u := c.base + "/v1/streams/" + url.PathEscape(stream) + "/append"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, nonRewindableBody{bytes.NewReader(data)})
	if err != nil {
		return a, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	req.ContentLength = int64(len(data))
	resp, err := c.http.Do(req)
	if err != nil {
		return a, fmt.Errorf("append to %s: %w: %w", stream, classifyAppendError(err), err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode/100 == 4:
		return a, fmt.Errorf("append to %s: %w: status %d", stream, ErrRejected, resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
		return a, fmt.Errorf("append to %s: %w: status %d", stream, ErrOutcomeUnknown, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAppendBytes)).Decode(&a); err != nil {
		return a, fmt.Errorf("append to %s: %w: %w", stream, ErrOutcomeUnknown, err)
	}
	return a, nil
}

// classifyAppendError returns ErrRejected if no connection was made, since nothing can
// have been sent, and ErrOutcomeUnknown for any other transport failure. Append treats a
// 5xx status as unknown too, because a gateway may send it after the log appended the
// record.
func classifyAppendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrRejected
	}
	return ErrOutcomeUnknown
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
	if p, err = decodePage(io.LimitReader(resp.Body, maxPageBytes+maxRecordBytes)); err != nil {
		return Page{}, fmt.Errorf("read %s: %w: %w", stream, ErrUnavailable, err)
	}
	return p, nil
}
