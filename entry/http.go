package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime/debug"
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
			e.fail(c, apierr.New(apierr.NotFound, apierr.NotRun, "no such path: "+c.Path(), "see the README for the paths"))
		}
	})
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// maxHeaderBytes bounds the headers of a request; gRPC metadata and logs carry
// none of them, but each one is held in memory while its request runs.
const maxHeaderBytes = 32 << 10

// begin identifies the request, refuses it while draining or unready, and
// authenticates the caller.
func (e *Entry) begin(c iris.Context) {
	id := uuid.NewString()
	c.Values().Set(valueRequest, id)
	c.Header(headerRequest, id)
	if e.leaving.Load() {
		c.Header("Connection", "close") // so that the caller's next request goes through the balancer
	}
	if !e.work.TryAdd() {
		e.fail(c, apierr.NewRetryable(apierr.Draining, apierr.NotRun, 100*time.Millisecond, "this entry is leaving", "retry; the balancer chooses another entry"))
		return
	}
	defer e.work.Done()
	defer e.track(id)()
	defer e.recovered(c)
	if n := headerBytes(c.Request().Header); n > maxHeaderBytes {
		e.fail(c, apierr.New(apierr.TooLarge, apierr.NotRun, fmt.Sprintf("the headers have %d bytes; %d are allowed", n, maxHeaderBytes), "send fewer headers"))
		return
	}
	st := e.o.Config.Current()
	if st == nil {
		e.fail(c, apierr.NewRetryable(apierr.NotReady, apierr.NotRun, time.Second, "this entry has no configuration yet", "retry; the balancer chooses another entry"))
		return
	}
	customer, err := authenticate(st.Doc, c.GetHeader("Authorization"))
	if err != nil {
		e.fail(c, err)
		return
	}
	c.Header(headerConfigVersion, strconv.FormatInt(st.Version, 10))
	c.Values().Set(valueCustomer, customer)
	c.Values().Set(valueConfig, st)
	c.Next()
}

func headerBytes(h http.Header) int {
	n := 0
	for k, vs := range h {
		for _, v := range vs {
			n += len(k) + len(v)
		}
	}
	return n
}

// recovered turns a panic of a handler into an error for this caller only.
func (e *Entry) recovered(c iris.Context) {
	v := recover()
	if v == nil {
		return
	}
	log.Error().Str("request", requestOf(c)).Str("stack", string(debug.Stack())).Msg("handler panicked")
	if c.ResponseWriter().Written() >= 0 {
		panic(http.ErrAbortHandler) // the answer has begun: break the connection
	}
	e.fail(c, apierr.New(apierr.Internal, apierr.RanUnknown, "unexpected error", "report the request's ID to the operators"))
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
func (e *Entry) fail(c iris.Context, err error) {
	ae := apierr.From(err)
	e.m.refusals.Add(string(ae.Kind), 1)
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

// readBody reads a body of at most the limit within the callers' timeout. The
// whole body is read, since the server notices only then that a caller leaves.
func (e *Entry) readBody(c iris.Context) ([]byte, error) {
	rc := http.NewResponseController(c.ResponseWriter().Naive())
	_ = rc.SetReadDeadline(time.Now().Add(e.o.CallerTimeout)) // a recorder in a test has none
	b, err := io.ReadAll(http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, e.o.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = rc.SetReadDeadline(time.Time{})
		return b, nil
	}
	// The deadline stays, since the server reads the rest of the body before it
	// sends the answer.
	c.Header("Connection", "close")
	switch {
	case errors.As(err, &tooLarge):
		return nil, apierr.New(apierr.TooLarge, apierr.NotRun, "the body is larger than "+strconv.FormatInt(e.o.MaxBodyBytes, 10)+" bytes", "shorten the conversation")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, apierr.New(apierr.InvalidRequest, apierr.NotRun, "the body did not arrive within "+e.o.CallerTimeout.String(), "send the body at once")
	}
	return nil, apierr.New(apierr.InvalidRequest, apierr.NotRun, "the body ended early", "send the whole body").WithCause(err)
}
