package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/galenaweir/galenaweir/rpc"
)

// completionWriter writes a completion in the format of the OpenAI-compatible API.
type completionWriter struct {
	c            iris.Context
	p            *promptRequest
	isChat       bool
	includeUsage bool
	created      int64
	headersSent  bool          // whether the status and headers have been sent
	writeTimeout time.Duration // limit on the client reading one event
}

func newCompletionWriter(c iris.Context, p *promptRequest, chat, includeUsage bool) *completionWriter {
	return &completionWriter{c: c, p: p, isChat: chat, includeUsage: includeUsage, created: time.Now().Unix()}
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens        uint32       `json:"prompt_tokens"`
	CompletionTokens    uint32       `json:"completion_tokens"`
	TotalTokens         uint32       `json:"total_tokens"`
	PromptTokensDetails tokenDetails `json:"prompt_tokens_details"`
}

type tokenDetails struct {
	CachedTokens uint32 `json:"cached_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (a *completionWriter) newCompletion(object string, ch ...choice) completion {
	if ch == nil {
		ch = []choice{}
	}
	return completion{ID: a.p.id, Object: object, Created: a.created, Model: a.p.model, Choices: ch}
}

func newUsage(end *rpc.End) *usage {
	return &usage{
		PromptTokens: end.PromptTokens, CompletionTokens: end.CompletionTokens,
		TotalTokens:         end.PromptTokens + end.CompletionTokens,
		PromptTokensDetails: tokenDetails{end.CachedTokens},
	}
}

// setHeaders sets the headers that name the endpoint and the cached share of the prompt.
func (a *completionWriter) setHeaders(s *rpc.Start) {
	if s == nil {
		return
	}
	a.c.Header(headerEndpoint, s.Endpoint)
	share := float64(s.CachedTokens) / float64(max(1, s.PromptTokens))
	a.c.Header(headerCachedShare, strconv.FormatFloat(share, 'f', 3, 64))
}

// writeStart implements sink. It sends the headers and, for a chat, the role.
func (a *completionWriter) writeStart(s *rpc.Start) error {
	if a.headersSent {
		return nil
	}
	a.headersSent = true
	a.setHeaders(s)
	a.c.ContentType("text/event-stream")
	a.c.Header("Cache-Control", "no-cache")
	a.c.StatusCode(http.StatusOK)
	if !a.isChat {
		return a.flush()
	}
	return a.writeEvent(a.newCompletion("chat.completion.chunk", choice{Delta: &message{Role: "assistant"}}))
}

// writeText implements sink.
func (a *completionWriter) writeText(t string) error {
	if a.isChat {
		return a.writeEvent(a.newCompletion("chat.completion.chunk", choice{Delta: &message{Content: textParts(t)}}))
	}
	return a.writeEvent(a.newCompletion("text_completion", choice{Text: &t}))
}

// finish sends the final events of a complete answer.
func (a *completionWriter) finish(end *rpc.End) {
	object, last := "text_completion", choice{Text: new(string), FinishReason: &end.FinishReason}
	if a.isChat {
		object, last = "chat.completion.chunk", choice{Delta: &message{}, FinishReason: &end.FinishReason}
	}
	_ = a.writeEvent(a.newCompletion(object, last)) // fails only if the client has disconnected
	if a.includeUsage {
		u := a.newCompletion(object)
		u.Usage = newUsage(end)
		_ = a.writeEvent(u)
	}
	_, _ = a.c.WriteString("data: [DONE]\n\n")
	_ = a.flush()
}

// abort ends a stream with an error event instead of the end marker, so that no
// client mistakes the partial text for a complete answer.
func (a *completionWriter) abort(err error) {
	_ = a.writeEvent(newErrorBody(err, a.p.id))
}

func (a *completionWriter) controller() *http.ResponseController {
	return http.NewResponseController(a.c.ResponseWriter().Naive())
}

// extendWriteDeadline restarts the write timeout, after which a client that doesn't
// read is disconnected.
func (a *completionWriter) extendWriteDeadline() {
	_ = a.controller().SetWriteDeadline(time.Now().Add(a.writeTimeout)) // not supported by the response recorders of tests
}

// clearWriteDeadline removes the write deadline, which would otherwise apply to the
// next request on the connection.
func (a *completionWriter) clearWriteDeadline() { _ = a.controller().SetWriteDeadline(time.Time{}) }

func (a *completionWriter) writeEvent(v any) error {
	a.extendWriteDeadline()
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode server-sent event: %w", err)
	}
	if _, err := fmt.Fprintf(a.c, "data: %s\n\n", b); err != nil {
		return fmt.Errorf("send server-sent event: %w", err)
	}
	return a.flush()
}

func (a *completionWriter) flush() error {
	return a.controller().Flush()
}

// writeBody sends a complete answer in one response body.
func (a *completionWriter) writeBody(text string, end *rpc.End) {
	object, ch := "text_completion", choice{Text: &text, FinishReason: &end.FinishReason}
	if a.isChat {
		object, ch = "chat.completion", choice{Message: &message{"assistant", textParts(text)}, FinishReason: &end.FinishReason}
	}
	v := a.newCompletion(object, ch)
	v.Usage = newUsage(end)
	a.c.ContentType("application/json")
	a.extendWriteDeadline()
	b, _ := json.Marshal(v) // strings and numbers always marshal
	_, _ = a.c.Write(b)     // fails only if the client has disconnected
}

// bufferedAnswer is a sink that collects an answer to be sent in one response body.
type bufferedAnswer struct {
	startFrame *rpc.Start
	buf        strings.Builder
}

func (c *bufferedAnswer) writeStart(s *rpc.Start) error {
	c.startFrame = s
	return nil
}

func (c *bufferedAnswer) writeText(t string) error {
	c.buf.WriteString(t)
	return nil
}
