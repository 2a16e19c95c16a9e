// Package hostlist is the client of the platform's host list, which may lag behind the
// actual state.
package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/galenaweir/galenaweir/stricthttp"
)

// Host is one entry of the list.
type Host struct {
	ID            string `json:"id"`
	Role          string `json:"role"`    // "entry" or "agent"
	Address       string `json:"address"` // IP number and port of the galenaweir process on the host
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Leaving       bool   `json:"leaving"`
}

// List is the platform's host list at one point in time.
type List struct {
	AsOfMs int64  `json:"as_of_ms"` // when the list was valid, Unix milliseconds
	Hosts  []Host `json:"hosts"`
}

// Client reads the host list over HTTP.
type Client struct {
	url  string
	http *http.Client
}

// maxListBytes limits the size of the answer.
const maxListBytes = 4 << 20

// maxHeadBytes limits the size of the answer's head; net/http would read 10 MB.
const maxHeadBytes = 64 << 10

// New returns a client of the host list service at address, an IP number and port.
func New(address string, timeout time.Duration) *Client {
	return &Client{url: "http://" + address + "/v1/hosts", http: &http.Client{Timeout: timeout, Transport: stricthttp.NewTransport(&http.Transport{MaxResponseHeaderBytes: maxHeadBytes})}}
}

// Hosts returns the current host list of the platform.
func (c *Client) Hosts(ctx context.Context) (List, error) {
	var l List
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return l, fmt.Errorf("read the host list: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return l, fmt.Errorf("read the host list: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, fmt.Errorf("read the host list: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&l); err != nil {
		return l, fmt.Errorf("read the host list: %w", err)
	}
	return l, nil
}
