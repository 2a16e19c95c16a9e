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

// answer writes a completion in the shape that clients of language models know.
type answer struct {
	c            iris.Context
	p            *prompt
	chat         bool
	includeUsage bool
	created      int64
	begun        bool          // the status and headers are sent
	limit        time.Duration // for the caller to take each event
}

func newAnswer(c iris.Context, p *prompt, chat, includeUsage bool) *answer {
	return &answer{c: c, p: p, chat: chat, includeUsage: includeUsage, created: time.Now().Unix()}
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

func (a *answer) completion(object string, ch ...choice) completion {
	if ch == nil {
		ch = []choice{}
	}
	return completion{ID: a.p.id, Object: object, Created: a.created, Model: a.p.model, Choices: ch}
}

func usageOf(end *rpc.End) *usage {
	return &usage{
		PromptTokens: end.PromptTokens, CompletionTokens: end.CompletionTokens,
		TotalTokens:         end.PromptTokens + end.CompletionTokens,
		PromptTokensDetails: tokenDetails{end.CachedTokens},
	}
}

// headers tells the endpoint and the cached share of the prompt.
func (a *answer) headers(s *rpc.Start) {
	if s == nil {
		return
	}
	a.c.Header(headerEndpoint, s.Endpoint)
	share := float64(s.CachedTokens) / float64(max(1, s.PromptTokens))
	a.c.Header(headerCachedShare, strconv.FormatFloat(share, 'f', 3, 64))
}

// start implements sink: it sends the headers and, in chats, the role.
func (a *answer) start(s *rpc.Start) error {
	if a.begun {
		return nil
	}
	a.begun = true
	a.headers(s)
	a.c.ContentType("text/event-stream")
	a.c.Header("Cache-Control", "no-cache")
	a.c.StatusCode(http.StatusOK)
	if !a.chat {
		return a.flush()
	}
	return a.event(a.completion("chat.completion.chunk", choice{Delta: &message{Role: "assistant"}}))
}

// text implements sink.
func (a *answer) text(t string) error {
	if a.chat {
		return a.event(a.completion("chat.completion.chunk", choice{Delta: &message{Content: textParts(t)}}))
	}
	return a.event(a.completion("text_completion", choice{Text: &t}))
}

// finish sends the last events of a whole answer.
func (a *answer) finish(end *rpc.End) {
	object, last := "text_completion", choice{Text: new(string), FinishReason: &end.FinishReason}
	if a.chat {
		object, last = "chat.completion.chunk", choice{Delta: &message{}, FinishReason: &end.FinishReason}
	}
	_ = a.event(a.completion(object, last)) // the caller has gone if this fails
	if a.includeUsage {
		u := a.completion(object)
		u.Usage = usageOf(end)
		_ = a.event(u)
	}
	_, _ = a.c.WriteString("data: [DONE]\n\n")
	_ = a.flush()
}

// abort ends a stream with an error event in place of the end marker, so that
// no client takes the text so far for the whole answer.
func (a *answer) abort(err error) {
	_ = a.event(bodyOf(err, a.p.id))
}

func (a *answer) controller() *http.ResponseController {
	return http.NewResponseController(a.c.ResponseWriter().Naive())
}

// extend gives the caller the limit again; a caller that doesn't read is cut.
func (a *answer) extend() {
	_ = a.controller().SetWriteDeadline(time.Now().Add(a.limit)) // a recorder in a test has none
}

// unlimit ends the limit, which would otherwise stay with the connection.
func (a *answer) unlimit() { _ = a.controller().SetWriteDeadline(time.Time{}) }

func (a *answer) event(v any) error {
	a.extend()
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode an event: %w", err)
	}
	if _, err := fmt.Fprintf(a.c, "data: %s\n\n", b); err != nil {
		return fmt.Errorf("send an event: %w", err)
	}
	return a.flush()
}

func (a *answer) flush() error {
	return a.controller().Flush()
}

// body sends a whole answer at once.
func (a *answer) body(text string, end *rpc.End) {
	object, ch := "text_completion", choice{Text: &text, FinishReason: &end.FinishReason}
	if a.chat {
		object, ch = "chat.completion", choice{Message: &message{"assistant", textParts(text)}, FinishReason: &end.FinishReason}
	}
	v := a.completion(object, ch)
	v.Usage = usageOf(end)
	a.c.ContentType("application/json")
	a.extend()
	b, _ := json.Marshal(v) // strings and numbers always marshal
	_, _ = a.c.Write(b)     // the caller has gone if this fails
}

// collector gathers an answer that is sent in one body.
type collector struct {
	started *rpc.Start
	b       strings.Builder
}

func (c *collector) start(s *rpc.Start) error {
	c.started = s
	return nil
}

func (c *collector) text(t string) error {
	c.b.WriteString(t)
	return nil
}
