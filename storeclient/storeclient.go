// Package storeclient reads and writes KV cache blocks on store hosts over HTTP. It
// returns only committed blocks that did not change while they were read.
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
	"github.com/galenaweir/galenaweir/stricthttp"
)

// Errors of the store operations.
var (
	ErrMiss         = errors.New("store does not hold the block")
	ErrBlockChanged = errors.New("block changed or was corrupted")
	ErrFull         = errors.New("store is full")
	ErrUnavailable  = errors.New("store is unreachable or failing")
)

// Options sets a client's limits.
type Options struct {
	CallTimeout     time.Duration // timeout of a call without block data
	TransferTimeout time.Duration // timeout of a block read or write
	MaxBlockBytes   int64
}

// DefaultOptions returns options suited to stores in the same region.
func DefaultOptions() Options {
	return Options{CallTimeout: time.Second, TransferTimeout: 5 * time.Second, MaxBlockBytes: 64 << 20}
}

// Slot is the place of a block in a store.
type Slot struct {
	Index      int               `json:"slot"`
	Generation uint64            `json:"generation"`
	Key        string            `json:"key"`
	Bytes      int64             `json:"bytes"`
	Tier       string            `json:"tier"`
	SHA256     [sha256.Size]byte `json:"sha256"`
}

// Usage reports how much of a store's memory and disk is in use.
type Usage struct {
	MemoryUsed  int64 `json:"memory_used"`
	MemoryBytes int64 `json:"memory_bytes"`
	DiskUsed    int64 `json:"disk_used"`
	DiskBytes   int64 `json:"disk_bytes"`
}

const (
	generationTrailer   = "Slot-Generation"
	maxReplyBytes       = 16 << 20
	maxIdleConnsPerHost = 16
	maxHeadBytes        = 64 << 10 // of a response; net/http would read 10 MB
	idleConnTimeout     = time.Minute
	cleanupTimeout      = time.Second // for freeing the slot of a failed Put
)

// Client calls any number of stores. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client
}

// New returns a client with the options.
func New(o Options) *Client {
	return &Client{opts: o, http: &http.Client{Transport: stricthttp.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxHeadBytes})}}
}

// Get returns the committed block of the key. After the read it verifies that the slot
// still has the same generation and that the data matches the committed checksum.
func (c *Client) Get(ctx context.Context, address string, key prefix.Hash) ([]byte, error) {
	s, err := c.Lookup(ctx, address, key)
	if err != nil {
		return nil, err
	}
	if s.Bytes > c.opts.MaxBlockBytes {
		return nil, fmt.Errorf("block of %d bytes exceeds the size limit: %w", s.Bytes, ErrBlockChanged)
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.TransferTimeout)
	defer cancel()
	resp, err := c.do(ctx, http.MethodGet, address, slotPath(s), nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, s.Bytes+1))
	if err != nil {
		return nil, fmt.Errorf("read slot %d: %w: %w", s.Index, ErrUnavailable, err)
	}
	if g := resp.Trailer.Get(generationTrailer); g != strconv.FormatUint(s.Generation, 10) {
		return nil, fmt.Errorf("generation of slot %d is %s after the read, expected %d: %w", s.Index, g, s.Generation, ErrBlockChanged)
	}
	if sha256.Sum256(data) != s.SHA256 {
		return nil, fmt.Errorf("data of slot %d does not match the committed checksum: %w", s.Index, ErrBlockChanged)
	}
	return data, nil
}

// Lookup returns the slot of the key's committed block.
func (c *Client) Lookup(ctx context.Context, address string, key prefix.Hash) (s Slot, err error) {
	err = c.call(ctx, http.MethodGet, address, "/v1/blocks/"+hex.EncodeToString(key[:]), nil, &s)
	return s, err
}

type allocateRequest struct {
	Key   string `json:"key"`
	Bytes int    `json:"bytes"`
	Tier  string `json:"tier"`
}

type commitRequest struct {
	Generation uint64            `json:"generation"`
	SHA256     [sha256.Size]byte `json:"sha256"`
}

// Put allocates a slot, writes the block and commits it. Readers see the block only
// after the commit. If a step fails, Put frees the slot, even when ctx has ended.
func (c *Client) Put(ctx context.Context, address string, key prefix.Hash, tier string, block []byte) (Slot, error) {
	var s Slot
	if err := c.call(ctx, http.MethodPost, address, "/v1/slots", allocateRequest{hex.EncodeToString(key[:]), len(block), tier}, &s); err != nil {
		return s, err
	}
	err := c.write(ctx, address, s, block)
	if err == nil {
		err = c.call(ctx, http.MethodPost, address, fmt.Sprintf("/v1/slots/%d/commit", s.Index), commitRequest{s.Generation, sha256.Sum256(block)}, nil)
	}
	if err != nil {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
		defer cancel()
		return s, errors.Join(err, c.Free(ctx, address, s))
	}
	return s, nil
}

func (c *Client) write(ctx context.Context, address string, s Slot, block []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.TransferTimeout)
	defer cancel()
	resp, err := c.do(ctx, http.MethodPut, address, slotPath(s), block)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Free frees the slot if its generation has not changed.
func (c *Client) Free(ctx context.Context, address string, s Slot) error {
	return c.call(ctx, http.MethodDelete, address, slotPath(s), nil, nil)
}

// List returns the slots of the committed blocks whose hexadecimal keys start with
// keyPrefix.
func (c *Client) List(ctx context.Context, address, keyPrefix string) (out []Slot, err error) {
	err = c.call(ctx, http.MethodGet, address, "/v1/blocks?prefix="+url.QueryEscape(keyPrefix), nil, &out)
	return out, err
}

// Usage returns the usage of the store.
func (c *Client) Usage(ctx context.Context, address string) (u Usage, err error) {
	err = c.call(ctx, http.MethodGet, address, "/v1/usage", nil, &u)
	return u, err
}

func slotPath(s Slot) string { return fmt.Sprintf("/v1/slots/%d?generation=%d", s.Index, s.Generation) }

// call sends in as JSON and decodes the reply into out. Either may be nil.
func (c *Client) call(ctx context.Context, method, address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("encode the request for %s: %w", path, err)
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

// do sends a request and translates failures into the errors of this package.
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
		return nil, fmt.Errorf("%s: %w", path, ErrBlockChanged)
	case http.StatusInsufficientStorage:
		return nil, fmt.Errorf("%s: %w", path, ErrFull)
	}
	return nil, fmt.Errorf("%s: %w: status %d", path, ErrUnavailable, resp.StatusCode)
}
