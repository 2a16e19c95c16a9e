package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/node"
)

// Headers of this system.
const (
	headerRequest       = "Galenaweir-Request"
	headerConversation  = "Galenaweir-Conversation"
	headerDeadline      = "Galenaweir-Deadline-Ms"
	headerPriority      = "Galenaweir-Priority"
	headerEndpoint      = "Galenaweir-Endpoint"
	headerCachedShare   = "Galenaweir-Cached-Share"
	headerConfigVersion = "Galenaweir-Config-Version"
)

// Keys of the values that the middleware leaves in the request's context.
const (
	valueRequest  = "request"
	valueCustomer = "customer"
	valueConfig   = "config"
)

// Handler returns the callers' HTTP interface.
func (e *Entry) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Use(e.begin)
	app.Post("/v1/chat/completions", e.handleChat)
	app.Post("/v1/completions", e.handleCompletion)
	e.routeServices(app)
	app.OnAnyErrorCode(func(c iris.Context) {
		if c.GetStatusCode() == http.StatusNotFound {
			fail(c, apierr.New(apierr.NotFound, apierr.NotRun, "no such path: "+c.Path(), "see the README for the paths"))
		}
	})
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// begin identifies the request, refuses it while draining or unready, and
// authenticates the caller.
func (e *Entry) begin(c iris.Context) {
	e.running.Add(1)
	defer e.running.Done()
	id := uuid.NewString()
	c.Values().Set(valueRequest, id)
	c.Header(headerRequest, id)
	if e.draining.Load() {
		fail(c, apierr.Retry(apierr.Draining, apierr.NotRun, 100*time.Millisecond, "this entry is leaving", "retry; the balancer chooses another entry"))
		return
	}
	st := e.o.Config.Current()
	if st == nil {
		fail(c, apierr.Retry(apierr.NotReady, apierr.NotRun, time.Second, "this entry has no configuration yet", "retry; the balancer chooses another entry"))
		return
	}
	customer, err := authenticate(st.Doc, c.GetHeader("Authorization"))
	if err != nil {
		fail(c, err)
		return
	}
	c.Header(headerConfigVersion, strconv.FormatInt(st.Version, 10))
	c.Values().Set(valueCustomer, customer)
	c.Values().Set(valueConfig, st)
	c.Next()
}

func configOf(c iris.Context) *node.ConfigState {
	return c.Values().Get(valueConfig).(*node.ConfigState)
}
func requestOf(c iris.Context) string  { return c.Values().GetString(valueRequest) }
func customerOf(c iris.Context) string { return c.Values().GetString(valueCustomer) }

// errorBody is the standard error body with this system's additions.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string `json:"message"`
	Type         string `json:"type"`
	Code         string `json:"code"`
	Ran          string `json:"ran"`
	Retryable    bool   `json:"retryable"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id"`
}

func bodyOf(err error, request string) errorBody {
	ae := apierr.From(err)
	message := ae.Message
	if ae.Remedy != "" {
		message += "; " + ae.Remedy
	}
	return errorBody{errorDetail{
		Message: message, Type: string(ae.Kind), Code: string(ae.Kind), Ran: string(ae.Ran),
		Retryable: ae.Retryable, RetryAfterMs: ae.RetryAfter.Milliseconds(), RequestID: request,
	}}
}

// fail answers with an error before anything else has been sent.
func fail(c iris.Context, err error) {
	ae := apierr.From(err)
	if ae.Retryable {
		seconds := int64((ae.RetryAfter + time.Second - 1) / time.Second)
		c.Header("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if ae.Kind == apierr.Internal {
		log.Error().Str("request", requestOf(c)).Err(err).Msg("internal error")
	}
	c.StatusCode(ae.Kind.Status())
	c.ContentType("application/json")
	b, _ := json.Marshal(bodyOf(err, requestOf(c))) // strings and numbers always marshal
	_, _ = c.Write(b)                               // the caller has gone if this fails
	c.StopExecution()
}

// decode reads a JSON body of at most the limit.
func (e *Entry) decode(c iris.Context, v any) error {
	body := http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, e.o.MaxBodyBytes)
	err := json.NewDecoder(body).Decode(v)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return apierr.New(apierr.TooLarge, apierr.NotRun, "the body is larger than "+strconv.FormatInt(e.o.MaxBodyBytes, 10)+" bytes", "shorten the conversation")
	}
	return apierr.New(apierr.InvalidRequest, apierr.NotRun, "the body is not valid JSON of the expected shape", "correct the body").WithCause(err)
}
