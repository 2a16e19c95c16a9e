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

// reply is what a caller saw of one request.
type reply struct {
	entry       int
	begun       time.Time
	ended       time.Time
	status      int // 0 when no answer came
	kind        string
	ran         string
	consistency string
	body        []byte
	text        string // of a prompt
	whole       bool   // a prompt's stream ended with its end mark
	err         error  // of the transport
}

func (r *reply) ok() bool { return r.err == nil && r.status == http.StatusOK && r.kind == "" }

// outcome names the reply in the table.
func (r *reply) outcome() string {
	switch {
	case r.kind != "":
		return r.kind + " " + r.ran
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

// client sends requests to the entries. Each uses a connection of its own, as
// from a balancer that has just chosen the entry.
type client struct {
	d    *local.Deployment
	http *http.Client
}

func newClient(d *local.Deployment) *client {
	return &client{d, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// patience is how much longer than the deadline a caller waits before it closes
// the connection. It is above the tolerance, so that a late answer is seen.
const patience = 3 * time.Second

func (c *client) send(ctx context.Context, entry int, customer, method, path string, deadline time.Duration, key string, body []byte, read func(*reply, io.Reader)) *reply {
	r := &reply{entry: entry, begun: time.Now()}
	defer func() { r.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(ctx, deadline+patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.d.CallerAddress[entry]+path, bytes.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	req.Header.Set("Authorization", "Bearer "+local.Secret(customer))
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
		r.fail(r.body)
	}
	return r
}

func (r *reply) fail(b []byte) bool {
	var e errorBody
	if json.Unmarshal(b, &e) != nil || e.Error == nil {
		return false
	}
	r.kind, r.ran = e.Error.Type, e.Error.Ran
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

// prompt streams one answer.
func (c *client) prompt(ctx context.Context, entry int, customer, text string, tokens int, deadline time.Duration) *reply {
	b, err := json.Marshal(completion{local.Model, true, tokens, []message{{"user", text}}})
	if err != nil {
		return &reply{err: err}
	}
	return c.send(ctx, entry, customer, http.MethodPost, "/v1/chat/completions", deadline, "", b, readStream)
}

type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

const maxEventBytes = 1 << 20

var errNoEnd = errors.New("the stream ended without its end mark")

// readStream reads server-sent events until the end mark or an error event.
func readStream(r *reply, body io.Reader) {
	var b strings.Builder
	defer func() { r.text = b.String() }()
	s := bufio.NewScanner(body)
	s.Buffer(nil, maxEventBytes)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			r.whole = true
			continue
		}
		if r.fail([]byte(data)) {
			return
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			r.err = fmt.Errorf("event: %w", err)
			return
		}
		for _, x := range e.Choices {
			b.WriteString(x.Delta.Content)
		}
	}
	if r.err = s.Err(); r.err == nil && !r.whole {
		r.err = errNoEnd
	}
}
