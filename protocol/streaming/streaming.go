// Package streaming registers the plug-in protocol.streaming: completions over HTTP
// with server-sent events, with extensions for resuming, cancelling, KV transfer, cache
// events, load reports and weight orders.
package streaming

import (
	"bufio"
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/protocol"
	"github.com/galenaweir/galenaweir/stricthttp"
)

// ID is the plug-in's ID.
const ID kernel.ID = "protocol.streaming"

func init() { kernel.Register(kernel.Info{ID: ID, New: func() any { return New() }}) }

const (
	maxLineBytes        = 1 << 20
	maxAnswerBytes      = 64 << 20
	idleConnTimeout     = time.Minute
	maxIdleConnsPerHost = 64
	maxHeadBytes        = 64 << 10 // of a response; net/http would read 10 MB
)

// Client implements protocol.Engine.
type Client struct{ http *http.Client }

// New returns a client with its own connection pool.
func New() *Client {
	return &Client{http: &http.Client{Transport: stricthttp.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxHeadBytes,
	})}}
}

// CloseIdle closes the idle connections. Later calls open new ones.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

type completionRequest struct {
	RequestID     string `json:"request_id"`
	Model         string `json:"model"`
	Prompt        string `json:"prompt"`
	PriorOutput   string `json:"continue,omitempty"`
	MaxTokens     int    `json:"max_tokens"`
	Priority      int    `json:"priority"`
	CacheSalt     string `json:"cache_salt"`
	WeightVersion string `json:"weight_version,omitempty"`
	Stream        bool   `json:"stream"`
}

type frame struct {
	ID      string `json:"id"`
	Seq     uint64 `json:"seq"`
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CachedTokens     int `json:"cached_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	WeightVersion string `json:"weight_version"`
	LengthBytes   uint64 `json:"length_bytes"`
}

// Generate implements protocol.Engine.
func (c *Client) Generate(ctx context.Context, address string, r *protocol.Request, sink func(protocol.Event) error) error {
	b, err := json.Marshal(completionRequest{r.AttemptID, r.Model, r.Prompt, r.PriorOutput, r.MaxTokens, r.Priority, r.CacheSalt, r.WeightVersion, true})
	if err != nil {
		return fmt.Errorf("encode the completion request: %w", err)
	}
	resp, err := c.do(ctx, http.MethodPost, address, "/v1/completions", withSampling(b, r.Sampling))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return readStream(resp.Body, sink)
}

// withSampling adds the members of the JSON object sampling to those of body. The
// members of body come last, so that they win if a name occurs twice. It returns body
// unchanged if sampling is not an object or has no members.
func withSampling(body, sampling []byte) []byte {
	trimmed := bytes.TrimSpace(sampling)
	if len(trimmed) <= len("{}") || trimmed[0] != '{' {
		return body
	}
	out := append([]byte(nil), trimmed[:len(trimmed)-1]...)
	return append(append(out, ','), body[1:]...)
}

// Resume implements protocol.Engine.
func (c *Client) Resume(ctx context.Context, address, attemptID string, fromSeq uint64, sink func(protocol.Event) error) error {
	resp, err := c.do(ctx, http.MethodGet, address, fmt.Sprintf("/v1/requests/%s/stream?from_seq=%d", url.PathEscape(attemptID), fromSeq), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return readStream(resp.Body, sink)
}

// Cancel implements protocol.Engine.
func (c *Client) Cancel(ctx context.Context, address, attemptID string) error {
	return c.callJSON(ctx, http.MethodDelete, address, "/v1/requests/"+url.PathEscape(attemptID), nil, nil)
}

// LoadReport implements protocol.Engine.
func (c *Client) LoadReport(ctx context.Context, address string) (l protocol.LoadReport, err error) {
	err = c.callJSON(ctx, http.MethodGet, address, "/v1/load", nil, &l)
	return l, err
}

// EngineState implements protocol.Engine.
func (c *Client) EngineState(ctx context.Context, address string) (s protocol.EngineState, err error) {
	err = c.callJSON(ctx, http.MethodGet, address, "/v1/state", nil, &s)
	return s, err
}

type cacheEvent struct {
	Number  uint64 `json:"number"`
	Block   string `json:"block"`
	Evicted bool   `json:"evicted"`
}

// CacheEvents implements protocol.Engine. Events with a malformed block hash are
// skipped, which leaves a gap in the event numbers.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]protocol.CacheEvent, error) {
	var in []cacheEvent
	if err := c.callJSON(ctx, http.MethodGet, address, fmt.Sprintf("/v1/cache/events?after=%d", after), nil, &in); err != nil {
		return nil, err
	}
	out := make([]protocol.CacheEvent, 0, len(in))
	for _, e := range in {
		b, err := hex.DecodeString(e.Block)
		if err != nil || len(b) != len(prefix.Hash{}) {
			continue
		}
		out = append(out, protocol.CacheEvent{Number: e.Number, Block: prefix.Hash(b), Evicted: e.Evicted})
	}
	return out, nil
}

// Export implements protocol.Engine.
func (c *Client) Export(ctx context.Context, address string, block prefix.Hash) ([]byte, string, error) {
	resp, err := c.do(ctx, http.MethodGet, address, "/v1/kv/"+hex.EncodeToString(block[:]), nil)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, "", fmt.Errorf("read the exported block: %w: %w", protocol.ErrStreamTruncated, err)
	}
	return data, resp.Header.Get("Weight-Version"), nil
}

// Import implements protocol.Engine.
func (c *Client) Import(ctx context.Context, address string, block prefix.Hash, weightVersion string, data []byte) error {
	path := "/v1/kv/" + hex.EncodeToString(block[:]) + "?weight_version=" + url.QueryEscape(weightVersion)
	return c.callJSON(ctx, http.MethodPut, address, path, data, nil)
}

type orderRequest struct {
	FencingToken  int64  `json:"fencing"`
	WeightVersion string `json:"weight_version"`
}

// SendOrder implements protocol.Engine.
func (c *Client) SendOrder(ctx context.Context, address string, o protocol.Order) error {
	b, err := json.Marshal(orderRequest(o))
	if err != nil {
		return fmt.Errorf("encode the weight order: %w", err)
	}
	err = c.callJSON(ctx, http.MethodPost, address, "/v1/orders", b, nil)
	if errors.Is(err, protocol.ErrWeightVersionMismatch) { // status 409, which has another meaning for orders
		return fmt.Errorf("weight order with fencing token %d: %w", o.FencingToken, protocol.ErrStaleFencingToken)
	}
	return err
}

// callJSON makes a call and decodes the JSON answer into v unless v is nil.
func (c *Client) callJSON(ctx context.Context, method, address, path string, body []byte, v any) error {
	resp, err := c.do(ctx, method, address, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if v == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(v); err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	return nil
}

// do sends a request and translates failures into the errors of package protocol. It
// returns ErrUnreachable only if no connection was made, since after any other transport
// failure the engine may have received the request.
func (c *Client) do(ctx context.Context, method, address, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, protocol.ErrRejected, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, fmt.Errorf("%s: %w: %w", path, protocol.ErrUnreachable, err)
		}
		return nil, fmt.Errorf("%s: %w: %w", path, protocol.ErrStreamTruncated, err)
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotFound:
		return nil, fmt.Errorf("%s: %w", path, protocol.ErrNotFound)
	case http.StatusConflict:
		return nil, fmt.Errorf("%s: %w", path, protocol.ErrWeightVersionMismatch)
	}
	return nil, fmt.Errorf("%s: %w: status %d", path, protocol.ErrRejected, resp.StatusCode)
}

const doneMarker = "[DONE]"

// readStream passes the events of a server-sent event stream to sink. It returns
// ErrStreamTruncated if the stream ends without an end frame.
func readStream(r io.Reader, sink func(protocol.Event) error) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), maxLineBytes)
	ended := false
	for sc.Scan() {
		line := sc.Text()
		if strings.HasPrefix(line, ":") { // a comment line, which engines send as a keep-alive
			if err := sink(protocol.Event{Kind: protocol.EventKeepAlive}); err != nil {
				return err
			}
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == doneMarker {
			break
		}
		e, err := parseFrame([]byte(data))
		if err != nil {
			return err
		}
		ended = ended || e.Kind == protocol.EventEnded
		if err := sink(e); err != nil {
			return err
		}
	}
	if !ended {
		return truncatedError(sc.Err())
	}
	return nil
}

// parseFrame decodes the data of one server-sent event. A frame without choices starts
// the stream; a frame with a finish reason ends it.
func parseFrame(data []byte) (protocol.Event, error) {
	var f frame
	if err := json.Unmarshal(data, &f); err != nil {
		return protocol.Event{}, fmt.Errorf("%w: malformed frame: %w", protocol.ErrStreamTruncated, err)
	}
	e := protocol.Event{Kind: protocol.EventText, AttemptID: f.ID, Seq: f.Seq, WeightVersion: f.WeightVersion, LengthBytes: f.LengthBytes}
	if f.Usage != nil {
		e.PromptTokens, e.CachedTokens, e.OutputTokens = f.Usage.PromptTokens, f.Usage.CachedTokens, f.Usage.CompletionTokens
		for _, n := range []int{e.PromptTokens, e.CachedTokens, e.OutputTokens} {
			if n < 0 || n > math.MaxUint32 { // the messages between agent and entry use uint32
				return protocol.Event{}, fmt.Errorf("%w: malformed frame: token count %d is out of range", protocol.ErrStreamTruncated, n)
			}
		}
	}
	if len(f.Choices) == 0 {
		e.Kind = protocol.EventStarted
		return e, nil
	}
	e.Text, e.FinishReason = f.Choices[0].Text, f.Choices[0].FinishReason
	if e.FinishReason != "" {
		e.Kind = protocol.EventEnded
	}
	return e, nil
}

func truncatedError(cause error) error {
	if cause == nil {
		return protocol.ErrStreamTruncated
	}
	return fmt.Errorf("%w: %w", protocol.ErrStreamTruncated, cause)
}
