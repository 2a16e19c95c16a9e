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
	writeTimeout time.Duration // limit on each write of an answer to the client
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

func (w *completionWriter) newCompletion(object string, ch ...choice) completion {
	if ch == nil {
		ch = []choice{}
	}
	return completion{ID: w.p.id, Object: object, Created: w.created, Model: w.p.model, Choices: ch}
}

func newUsage(end *rpc.End) *usage {
	return &usage{
		PromptTokens: end.PromptTokens, CompletionTokens: end.CompletionTokens,
		TotalTokens:         end.PromptTokens + end.CompletionTokens,
		PromptTokensDetails: tokenDetails{end.CachedTokens},
	}
}

// setHeaders sets the headers that name the endpoint and the cached share of the prompt.
func (w *completionWriter) setHeaders(s *rpc.Start) {
	if s == nil {
		return
	}
	w.c.Header(headerEndpoint, s.Endpoint)
	share := float64(s.CachedTokens) / float64(max(1, s.PromptTokens))
	w.c.Header(headerCachedShare, strconv.FormatFloat(share, 'f', 3, 64))
}

// writeStart implements sink. It sends the headers and, for a chat, the role.
func (w *completionWriter) writeStart(s *rpc.Start) error {
	if w.headersSent {
		return nil
	}
	w.headersSent = true
	w.setHeaders(s)
	w.c.ContentType("text/event-stream")
	w.c.Header("Cache-Control", "no-cache")
	w.c.StatusCode(http.StatusOK)
	if !w.isChat {
		return w.flush()
	}
	return w.writeEvent(w.newCompletion("chat.completion.chunk", choice{Delta: &message{Role: "assistant"}}))
}

// writeText implements sink.
func (w *completionWriter) writeText(t string) error {
	if w.isChat {
		return w.writeEvent(w.newCompletion("chat.completion.chunk", choice{Delta: &message{Content: textParts(t)}}))
	}
	return w.writeEvent(w.newCompletion("text_completion", choice{Text: &t}))
}

// finish sends the final events of a complete answer.
func (w *completionWriter) finish(end *rpc.End) {
	object, last := "text_completion", choice{Text: new(string), FinishReason: &end.FinishReason}
	if w.isChat {
		object, last = "chat.completion.chunk", choice{Delta: &message{}, FinishReason: &end.FinishReason}
	}
	_ = w.writeEvent(w.newCompletion(object, last)) // fails only if the client has disconnected
	if w.includeUsage {
		u := w.newCompletion(object)
		u.Usage = newUsage(end)
		_ = w.writeEvent(u)
	}
	_, _ = w.c.WriteString("data: [DONE]\n\n")
	_ = w.flush()
}

// abort ends a stream with an error event instead of the end marker, so that no
// client mistakes the partial text for a complete answer.
func (w *completionWriter) abort(err error) {
	_ = w.writeEvent(newErrorBody(err, w.p.id))
}

func (w *completionWriter) controller() *http.ResponseController {
	return http.NewResponseController(w.c.ResponseWriter().Naive())
}

// extendWriteDeadline restarts the write timeout, after which a client that doesn't
// read is disconnected.
func (w *completionWriter) extendWriteDeadline() {
	_ = w.controller().SetWriteDeadline(time.Now().Add(w.writeTimeout)) // not supported by the response recorders of tests
}

// clearWriteDeadline removes the write deadline, which would otherwise apply to the
// next request on the connection.
func (w *completionWriter) clearWriteDeadline() { _ = w.controller().SetWriteDeadline(time.Time{}) }

func (w *completionWriter) writeEvent(v any) error {
	w.extendWriteDeadline()
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode server-sent event: %w", err)
	}
	if _, err := fmt.Fprintf(w.c, "data: %s\n\n", b); err != nil {
		return fmt.Errorf("send server-sent event: %w", err)
	}
	return w.flush()
}

func (w *completionWriter) flush() error {
	return w.controller().Flush()
}

// writeBody sends a complete answer in one response body.
func (w *completionWriter) writeBody(text string, end *rpc.End) {
	object, ch := "text_completion", choice{Text: &text, FinishReason: &end.FinishReason}
	if w.isChat {
		object, ch = "chat.completion", choice{Message: &message{"assistant", textParts(text)}, FinishReason: &end.FinishReason}
	}
	v := w.newCompletion(object, ch)
	v.Usage = newUsage(end)
	w.c.ContentType("application/json")
	w.extendWriteDeadline()
	b, _ := json.Marshal(v) // strings and numbers always marshal
	_, _ = w.c.Write(b)     // fails only if the client has disconnected
}

// bufferedAnswer is a sink that collects an answer to be sent in one response body.
type bufferedAnswer struct {
	startFrame *rpc.Start
	buf        strings.Builder
}

func (b *bufferedAnswer) writeStart(s *rpc.Start) error {
	b.startFrame = s
	return nil
}

func (b *bufferedAnswer) writeText(t string) error {
	b.buf.WriteString(t)
	return nil
}
