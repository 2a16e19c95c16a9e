package entry

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/prefix"
)

// completionRequest is the body of chat completions and completions.
type completionRequest struct {
	Model               string           `json:"model"`
	Messages            []prefix.Message `json:"messages"`
	Prompt              string           `json:"prompt"`
	MaxTokens           int              `json:"max_tokens"`
	MaxCompletionTokens int              `json:"max_completion_tokens"`
	Stream              bool             `json:"stream"`
	StreamOptions       *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

const (
	defaultMaxTokens = 256
	defaultPriority  = "standard"
)

func (e *Entry) handleChat(c iris.Context) {
	e.handle(c, true, func(r *completionRequest) (string, error) {
		if len(r.Messages) == 0 {
			return "", apierr.New(apierr.InvalidRequest, apierr.NotRun, "messages is empty", "send at least one message")
		}
		return prefix.Render(r.Messages), nil
	})
}

func (e *Entry) handleCompletion(c iris.Context) {
	e.handle(c, false, func(r *completionRequest) (string, error) {
		if r.Prompt == "" {
			return "", apierr.New(apierr.InvalidRequest, apierr.NotRun, "prompt is empty", "send a prompt")
		}
		return r.Prompt, nil
	})
}

// handle serves both kinds of completions; text extracts the prompt.
func (e *Entry) handle(c iris.Context, chat bool, text func(*completionRequest) (string, error)) {
	var r completionRequest
	if err := e.decode(c, &r); err != nil {
		fail(c, err)
		return
	}
	t, err := text(&r)
	if err != nil {
		fail(c, err)
		return
	}
	p, err := e.prompt(c, &r, t)
	if err != nil {
		fail(c, err)
		return
	}
	w := newAnswer(c, p, chat, r.StreamOptions != nil && r.StreamOptions.IncludeUsage)
	if r.Stream {
		e.stream(c, p, w)
		return
	}
	e.whole(c, p, w)
}

// prompt checks the request against the configuration.
func (e *Entry) prompt(c iris.Context, r *completionRequest, text string) (*prompt, error) {
	st := configOf(c)
	customer := st.Doc.Customers[customerOf(c)]
	m, ok := st.Doc.Models[r.Model]
	if !ok || !slices.Contains(customer.Models, r.Model) {
		return nil, apierr.New(apierr.UnknownModel, apierr.NotRun, fmt.Sprintf("no model %q for this customer", r.Model), "use a model of the subscription")
	}
	p := &prompt{
		id: requestOf(c), customer: customerOf(c), model: r.Model, text: text,
		maxTokens: max(r.MaxTokens, r.MaxCompletionTokens), state: st,
	}
	if p.maxTokens <= 0 {
		p.maxTokens = defaultMaxTokens
	}
	if n := prefix.Tokens(text) + p.maxTokens; n > m.MaxContextTokens {
		return nil, apierr.New(apierr.TooLarge, apierr.NotRun, fmt.Sprintf("the prompt and max_tokens come to about %d tokens; model %q takes %d", n, r.Model, m.MaxContextTokens), "shorten the conversation or lower max_tokens")
	}
	if err := setPriority(p, st.Doc, customer, c.GetHeader(headerPriority)); err != nil {
		return nil, err
	}
	if err := setDeadline(p, st.Doc.Priorities[p.priority], c.GetHeader(headerDeadline)); err != nil {
		return nil, err
	}
	key := prefix.DeriveCustomerKey(e.o.CacheSecret, p.customer)
	p.conversation = conversationKey(key, r, c.GetHeader(headerConversation))
	return p, e.charge(p)
}

func setPriority(p *prompt, doc *config.Document, customer config.Customer, name string) error {
	if name == "" {
		name = defaultPriority
		if doc.Priorities[name].Rank > doc.Priorities[customer.MaxPriority].Rank {
			name = customer.MaxPriority
		}
	}
	class, ok := doc.Priorities[name]
	if !ok {
		return apierr.New(apierr.InvalidRequest, apierr.NotRun, fmt.Sprintf("no priority class %q", name), "use interactive, standard or batch in "+headerPriority)
	}
	if class.Rank > doc.Priorities[customer.MaxPriority].Rank {
		return apierr.New(apierr.Forbidden, apierr.NotRun, fmt.Sprintf("the customer may not use priority class %q", name), "use "+customer.MaxPriority+" or lower")
	}
	p.priority = name
	return nil
}

func setDeadline(p *prompt, class config.Priority, header string) error {
	ms := class.DefaultDeadlineMs
	if header != "" {
		n, err := strconv.ParseInt(header, 10, 64)
		if err != nil || n <= 0 {
			return apierr.New(apierr.InvalidRequest, apierr.NotRun, headerDeadline+" is not a positive number", "give the deadline in milliseconds")
		}
		ms = min(n, maxDeadlineMs)
	}
	p.deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	return nil
}

// maxDeadlineMs bounds a caller's deadline to an hour.
const maxDeadlineMs = 3600_000

// conversationKey returns the keyed hash of the conversation: of the caller's ID,
// or of the model, the system text and the first user message.
func conversationKey(k prefix.CustomerKey, r *completionRequest, id string) string {
	if id != "" {
		h := prefix.Derive(k, "conversation", id)
		return hex.EncodeToString(h[:])
	}
	parts := []string{r.Model, r.Prompt[:min(len(r.Prompt), prefix.PieceBytes)]}
	for _, m := range r.Messages {
		parts = append(parts, m.Role, m.Content)
		if m.Role == "user" {
			break
		}
	}
	h := prefix.Derive(k, "opening", parts...)
	return hex.EncodeToString(h[:])
}

// stream answers with server-sent events.
func (e *Entry) stream(c iris.Context, p *prompt, w *answer) {
	end, err := e.relay(c.Request().Context(), p, w)
	switch {
	case err == nil:
		w.finish(end)
	case !w.begun:
		fail(c, err)
	default:
		w.abort(err)
	}
}

// whole collects the answer and sends it in one body.
func (e *Entry) whole(c iris.Context, p *prompt, w *answer) {
	b := &collector{}
	end, err := e.relay(c.Request().Context(), p, b)
	if err != nil {
		fail(c, err)
		return
	}
	w.headers(b.started)
	c.StatusCode(http.StatusOK)
	w.body(b.b.String(), end)
}
