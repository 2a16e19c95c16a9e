package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/galenaweir/galenaweir/bench/local"
)

// reply is the result of one request as its caller saw it.
type reply struct {
	entry       int
	start       time.Time
	end         time.Time
	status      int // HTTP status, or 0 without an answer
	errorType   string
	ran         string
	consistency string
	body        []byte
	answerText  string // concatenated content of a prompt's stream
	complete    bool   // the prompt's stream ended with [DONE]
	err         error  // transport error, or a malformed or truncated stream
}

func (r *reply) ok() bool { return r.err == nil && r.status == http.StatusOK && r.errorType == "" }

// outcome returns the label that the report counts the reply under.
func (r *reply) outcome() string {
	switch {
	case r.errorType != "":
		return r.errorType + " " + r.ran
	case r.err != nil:
		return "connection lost"
	case r.status != http.StatusOK:
		return "status " + strconv.Itoa(r.status)
	}
	return "ok"
}

type errorBody struct {
	Error *struct {
		Type string `json:"type"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// client sends requests to the entries. Each request uses a new connection, like one
// from a load balancer that has just selected the entry.
type client struct {
	d    *local.Deployment
	http *http.Client
}

func newClient(d *local.Deployment) *client {
	return &client{d, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// clientGracePeriod is the time that a caller waits after the deadline before it closes
// the connection. It exceeds lateTolerance, so that late answers are recorded.
const clientGracePeriod = 3 * time.Second

func (c *client) send(ctx context.Context, entry int, customer, method, path string, deadline time.Duration, key string, body []byte, read func(*reply, io.Reader)) *reply {
	r := &reply{entry: entry, start: time.Now()}
	defer func() { r.end = time.Now() }()
	ctx, cancel := context.WithTimeout(ctx, deadline+clientGracePeriod)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.d.CallerAddresses[entry]+path, bytes.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	req.Header.Set("Authorization", "Bearer "+local.APIKey(customer))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Galenaweir-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	r.status, r.consistency = resp.StatusCode, resp.Header.Get("Galenaweir-Consistency")
	if r.status == http.StatusOK && read != nil {
		read(r, resp.Body)
		return r
	}
	if r.body, r.err = io.ReadAll(resp.Body); r.err == nil && r.status != http.StatusOK {
		r.parseError(r.body)
	}
	return r
}

// parseError reports whether b is an error object, and stores its type and ran value.
func (r *reply) parseError(b []byte) bool {
	var e errorBody
	if json.Unmarshal(b, &e) != nil || e.Error == nil {
		return false
	}
	r.errorType, r.ran = e.Error.Type, e.Error.Ran
	return true
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completion struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

// prompt sends a prompt and reads its streamed answer.
func (c *client) prompt(ctx context.Context, entry int, customer, text string, tokens int, deadline time.Duration) *reply {
	b, err := json.Marshal(completion{local.Model, true, tokens, []message{{"user", text}}})
	if err != nil {
		return &reply{err: err}
	}
	return c.send(ctx, entry, customer, http.MethodPost, "/v1/chat/completions", deadline, "", b, readStream)
}

type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

const maxEventBytes = 1 << 20

var errIncompleteStream = errors.New("stream ended without [DONE]")

// readStream reads server-sent events into the reply until the stream ends or an error
// event arrives.
func readStream(r *reply, body io.Reader) {
	var b strings.Builder
	defer func() { r.answerText = b.String() }()
	s := bufio.NewScanner(body)
	s.Buffer(nil, maxEventBytes)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			r.complete = true
			continue
		}
		if r.parseError([]byte(data)) {
			return
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			r.err = fmt.Errorf("decode stream event: %w", err)
			return
		}
		for _, x := range e.Choices {
			b.WriteString(x.Delta.Content)
		}
	}
	if r.err = s.Err(); r.err == nil && !r.complete {
		r.err = errIncompleteStream
	}
}
