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

const (
	defaultMaxTokens = 256
	defaultPriority  = "standard"
)

func (e *Entry) handleChat(c iris.Context) { e.handle(c, true) }

func (e *Entry) handleCompletion(c iris.Context) { e.handle(c, false) }

// handle serves both kinds of completions.
func (e *Entry) handle(c iris.Context, chat bool) {
	kind := "completion"
	if chat {
		kind = "chat"
	}
	outcome := "ok"
	if err := e.serve(c, chat); err != nil {
		outcome = string(apierr.From(err).Kind)
	}
	e.m.requests.Add(kind+"."+outcome, 1)
}

// serve answers one completion; an error it returns has been sent.
func (e *Entry) serve(c iris.Context, chat bool) error {
	body, err := e.readBody(c)
	var r *completionRequest
	if err == nil {
		r, err = parseCompletion(body, chat)
	}
	var p *prompt
	if err == nil {
		p, err = e.prompt(c, r)
	}
	if err != nil {
		e.fail(c, err)
		return err
	}
	w := newAnswer(c, p, chat, r.includeUsage())
	w.limit = e.o.CallerTimeout
	defer w.unlimit()
	if r.Stream {
		return e.stream(c, p, w)
	}
	return e.whole(c, p, w)
}

// prompt checks the request against the configuration.
func (e *Entry) prompt(c iris.Context, r *completionRequest) (*prompt, error) {
	st := configOf(c)
	customer := st.Doc.Customers[customerOf(c)]
	m, ok := st.Doc.Models[r.Model]
	if !ok || !slices.Contains(customer.Models, r.Model) {
		return nil, apierr.New(apierr.UnknownModel, apierr.NotRun, fmt.Sprintf("no model %q for this customer", r.Model), "use a model of the subscription")
	}
	p := &prompt{
		id: requestOf(c), customer: customerOf(c), model: r.Model, text: r.text(),
		maxTokens: r.maxTokens(), sampling: r.samplingJSON(), state: st, begun: time.Now(),
	}
	// Compared one by one: the sum of a caller's number may overflow.
	if n := prefix.EstimateTokens(p.text); n > m.MaxContextTokens || p.maxTokens > m.MaxContextTokens-n {
		return nil, apierr.New(apierr.TooLarge, apierr.NotRun, fmt.Sprintf("the prompt of about %d tokens and %d tokens of answer are more than the %d that model %q takes", n, p.maxTokens, m.MaxContextTokens, r.Model), "shorten the conversation or lower max_tokens")
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
	prompt := string(r.Prompt)
	parts := []string{r.Model, prompt[:min(len(prompt), prefix.PieceBytes)]}
	for _, m := range r.Messages {
		parts = append(parts, m.Role, string(m.Content))
		if m.Role == "user" {
			break
		}
	}
	h := prefix.Derive(k, "opening", parts...)
	return hex.EncodeToString(h[:])
}

// stream answers with server-sent events.
func (e *Entry) stream(c iris.Context, p *prompt, w *answer) error {
	end, err := e.relay(c.Request().Context(), p, w)
	switch {
	case err == nil:
		w.finish(end)
	case !w.begun:
		e.fail(c, err)
	default:
		e.m.refusals.Add(string(apierr.From(err).Kind), 1)
		w.abort(err)
	}
	return err
}

// whole collects the answer and sends it in one body.
func (e *Entry) whole(c iris.Context, p *prompt, w *answer) error {
	b := &collector{}
	end, err := e.relay(c.Request().Context(), p, b)
	if err != nil {
		e.fail(c, err)
		return err
	}
	w.headers(b.started)
	c.StatusCode(http.StatusOK)
	w.body(b.b.String(), end)
	return nil
}
