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

func (e *Entry) handleChat(c iris.Context) { e.handleGeneration(c, true) }

func (e *Entry) handleCompletion(c iris.Context) { e.handleGeneration(c, false) }

// handleGeneration serves chat completions and completions, and counts the outcome.
func (e *Entry) handleGeneration(c iris.Context, chat bool) {
	kind := "completion"
	if chat {
		kind = "chat"
	}
	outcome := "ok"
	if err := e.serveGeneration(c, chat); err != nil {
		outcome = string(apierr.From(err).Kind)
	}
	e.metrics.requests.Add(kind+"."+outcome, 1)
}

// serveGeneration answers one completion request. A returned error has already been
// sent to the client.
func (e *Entry) serveGeneration(c iris.Context, chat bool) error {
	body, err := e.readBody(c)
	var r *completionRequest
	if err == nil {
		r, err = parseCompletion(body, chat)
	}
	var p *promptRequest
	if err == nil {
		p, err = e.admit(c, r)
	}
	if err != nil {
		e.writeError(c, err)
		return err
	}
	w := newCompletionWriter(c, p, chat, r.includeUsage())
	w.writeTimeout = e.opts.CallerTimeout
	defer w.clearWriteDeadline()
	if r.Stream {
		return e.sendStream(c, p, w)
	}
	return e.sendBuffered(c, p, w)
}

// admit validates the request against the configuration in force and charges its
// tokens to the customer's limit.
func (e *Entry) admit(c iris.Context, r *completionRequest) (*promptRequest, error) {
	st := configFrom(c)
	customer := st.Doc.Customers[customerFrom(c)]
	m, ok := st.Doc.Models[r.Model]
	if !ok || !slices.Contains(customer.Models, r.Model) {
		return nil, apierr.New(apierr.UnknownModel, apierr.NotRun, fmt.Sprintf("no model %q for this customer", r.Model), "use a model of the subscription")
	}
	p := &promptRequest{
		id: requestIDFrom(c), customer: customerFrom(c), model: r.Model, text: r.promptText(),
		maxTokens: r.maxTokens(), sampling: r.samplingJSON(), config: st, receivedAt: time.Now(),
	}
	// The two are compared separately: their sum may overflow, since maxTokens is
	// set by the caller.
	if n := prefix.EstimateTokens(p.text); n > m.MaxContextTokens || p.maxTokens > m.MaxContextTokens-n {
		return nil, apierr.New(apierr.TooLarge, apierr.NotRun, fmt.Sprintf("the prompt of about %d tokens and %d tokens of answer are more than the %d that model %q takes", n, p.maxTokens, m.MaxContextTokens, r.Model), "shorten the conversation or lower max_tokens")
	}
	if err := setPriority(p, st.Doc, customer, c.GetHeader(headerPriority)); err != nil {
		return nil, err
	}
	if err := setDeadline(p, st.Doc.Priorities[p.priority], c.GetHeader(headerDeadline)); err != nil {
		return nil, err
	}
	key := prefix.DeriveCustomerKey(e.opts.CacheSecret, p.customer)
	p.conversation = conversationKey(key, r, c.GetHeader(headerConversation))
	return p, e.charge(p)
}

func setPriority(p *promptRequest, doc *config.Document, customer config.Customer, name string) error {
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

func setDeadline(p *promptRequest, class config.Priority, header string) error {
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

// maxDeadlineMs caps a caller's deadline at one hour.
const maxDeadlineMs = 3600_000

// conversationKey returns the keyed hash that identifies the conversation. It is
// derived from the caller's conversation ID if there is one, and otherwise from the
// model and the messages up to the first user message, or the start of the prompt,
// which later requests of the conversation repeat.
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

// sendStream answers with server-sent events.
func (e *Entry) sendStream(c iris.Context, p *promptRequest, w *completionWriter) error {
	end, err := e.relay(c.Request().Context(), p, w)
	switch {
	case err == nil:
		w.finish(end)
	case !w.headersSent:
		e.writeError(c, err)
	default:
		e.metrics.refusals.Add(string(apierr.From(err).Kind), 1)
		w.abort(err)
	}
	return err
}

// sendBuffered collects the complete answer and sends it in one response body.
func (e *Entry) sendBuffered(c iris.Context, p *promptRequest, w *completionWriter) error {
	b := &bufferedAnswer{}
	end, err := e.relay(c.Request().Context(), p, b)
	if err != nil {
		e.writeError(c, err)
		return err
	}
	w.setHeaders(b.startFrame)
	c.StatusCode(http.StatusOK)
	w.writeBody(b.buf.String(), end)
	return nil
}
