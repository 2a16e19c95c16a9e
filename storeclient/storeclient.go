// Package storeclient reads and writes cache blocks on store hosts over HTTP.
// It returns only blocks that were committed and unchanged while they were read.
package storeclient

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/galenaweir/galenaweir/core/prefix"
)

// Errors of a store.
var (
	ErrMiss        = errors.New("the store does not hold the block")
	ErrChanged     = errors.New("the block changed or was damaged while it was read")
	ErrFull        = errors.New("the store is full")
	ErrUnavailable = errors.New("the store can't be reached or failed")
)

// Options sets a client's limits.
type Options struct {
	CallTimeout     time.Duration // of a call without data
	TransferTimeout time.Duration // of a read or a write
	MaxBlockBytes   int64
}

// DefaultOptions suits stores within a region.
func DefaultOptions() Options {
	return Options{CallTimeout: time.Second, TransferTimeout: 5 * time.Second, MaxBlockBytes: 64 << 20}
}

// Slot is a block's place in a store.
type Slot struct {
	Slot       int               `json:"slot"`
	Generation uint64            `json:"generation"`
	Key        string            `json:"key"`
	Bytes      int64             `json:"bytes"`
	Tier       string            `json:"tier"`
	SHA256     [sha256.Size]byte `json:"sha256"`
}

// Usage is how full a store is.
type Usage struct {
	MemoryUsed  int64 `json:"memory_used"`
	MemoryBytes int64 `json:"memory_bytes"`
	DiskUsed    int64 `json:"disk_used"`
	DiskBytes   int64 `json:"disk_bytes"`
}

const (
	generationTrailer = "Slot-Generation"
	maxReplyBytes     = 16 << 20
	maxIdlePerHost    = 16
	idleConnTimeout   = time.Minute
	cleanupTimeout    = time.Second
)

// Client speaks to all stores. It is safe for concurrent use.
type Client struct {
	o    Options
	http *http.Client
}

// New returns a client.
func New(o Options) *Client {
	return &Client{o: o, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleConnTimeout}}}
}

// Get returns the committed block of a key. It checks after the read that the
// slot still has its generation and that the data has the committed checksum.
func (c *Client) Get(ctx context.Context, address string, key prefix.Hash) ([]byte, error) {
	s, err := c.Lookup(ctx, address, key)
	if err != nil {
		return nil, err
	}
	if s.Bytes > c.o.MaxBlockBytes {
		return nil, fmt.Errorf("block of %d bytes: %w", s.Bytes, ErrChanged)
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.TransferTimeout)
	defer cancel()
	resp, err := c.do(ctx, http.MethodGet, address, slotPath(s), nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, s.Bytes+1))
	if err != nil {
		return nil, fmt.Errorf("read slot %d: %w: %w", s.Slot, ErrUnavailable, err)
	}
	if g := resp.Trailer.Get(generationTrailer); g != strconv.FormatUint(s.Generation, 10) {
		return nil, fmt.Errorf("slot %d has generation %s after the read, %d before: %w", s.Slot, g, s.Generation, ErrChanged)
	}
	if sha256.Sum256(data) != s.SHA256 {
		return nil, fmt.Errorf("slot %d has another checksum than committed: %w", s.Slot, ErrChanged)
	}
	return data, nil
}

// Lookup returns the slot of a committed block.
func (c *Client) Lookup(ctx context.Context, address string, key prefix.Hash) (s Slot, err error) {
	err = c.call(ctx, http.MethodGet, address, "/v1/blocks/"+hex.EncodeToString(key[:]), nil, &s)
	return s, err
}

type allocation struct {
	Key   string `json:"key"`
	Bytes int    `json:"bytes"`
	Tier  string `json:"tier"`
}

type commitment struct {
	Generation uint64            `json:"generation"`
	SHA256     [sha256.Size]byte `json:"sha256"`
}

// Put allocates a slot, writes the block and commits it; readers see it only
// after the commit. The slot is given back when a step fails.
func (c *Client) Put(ctx context.Context, address string, key prefix.Hash, tier string, block []byte) (Slot, error) {
	var s Slot
	if err := c.call(ctx, http.MethodPost, address, "/v1/slots", allocation{hex.EncodeToString(key[:]), len(block), tier}, &s); err != nil {
		return s, err
	}
	err := c.write(ctx, address, s, block)
	if err == nil {
		err = c.call(ctx, http.MethodPost, address, fmt.Sprintf("/v1/slots/%d/commit", s.Slot), commitment{s.Generation, sha256.Sum256(block)}, nil)
	}
	if err != nil {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
		defer cancel()
		return s, errors.Join(err, c.Free(ctx, address, s))
	}
	return s, nil
}

func (c *Client) write(ctx context.Context, address string, s Slot, block []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.o.TransferTimeout)
	defer cancel()
	resp, err := c.do(ctx, http.MethodPut, address, slotPath(s), block)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Free gives a slot back if it still has its generation.
func (c *Client) Free(ctx context.Context, address string, s Slot) error {
	return c.call(ctx, http.MethodDelete, address, slotPath(s), nil, nil)
}

// List returns the committed blocks whose keys begin with the hex digits.
func (c *Client) List(ctx context.Context, address, keyPrefix string) (out []Slot, err error) {
	err = c.call(ctx, http.MethodGet, address, "/v1/blocks?prefix="+url.QueryEscape(keyPrefix), nil, &out)
	return out, err
}

// Usage returns how full the store is.
func (c *Client) Usage(ctx context.Context, address string) (u Usage, err error) {
	err = c.call(ctx, http.MethodGet, address, "/v1/usage", nil, &u)
	return u, err
}

func slotPath(s Slot) string { return fmt.Sprintf("/v1/slots/%d?generation=%d", s.Slot, s.Generation) }

// call sends in as JSON and decodes the reply into out, if there are any.
func (c *Client) call(ctx context.Context, method, address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.o.CallTimeout)
	defer cancel()
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
	}
	resp, err := c.do(ctx, method, address, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(out); err != nil {
		return fmt.Errorf("%s %s: %w: %w", method, path, ErrUnavailable, err)
	}
	return nil
}

// do sends a request and translates failures to the errors of this package.
func (c *Client) do(ctx context.Context, method, address, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, ErrUnavailable, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, ErrUnavailable, err)
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotFound:
		return nil, fmt.Errorf("%s: %w", path, ErrMiss)
	case http.StatusConflict:
		return nil, fmt.Errorf("%s: %w", path, ErrChanged)
	case http.StatusInsufficientStorage:
		return nil, fmt.Errorf("%s: %w", path, ErrFull)
	}
	return nil, fmt.Errorf("%s: %w: status %d", path, ErrUnavailable, resp.StatusCode)
}
