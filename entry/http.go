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

// Names of the HTTP headers defined by Galenaweir.
const (
	headerRequest       = "Galenaweir-Request"
	headerConversation  = "Galenaweir-Conversation"
	headerDeadline      = "Galenaweir-Deadline-Ms"
	headerPriority      = "Galenaweir-Priority"
	headerEndpoint      = "Galenaweir-Endpoint"
	headerCachedShare   = "Galenaweir-Cached-Share"
	headerConfigVersion = "Galenaweir-Config-Version"
)

// Keys of the values that prepareRequest stores in the request's context.
const (
	ctxRequestID = "request"
	ctxCustomer  = "customer"
	ctxConfig    = "config"
)

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Use(e.prepareRequest)
	app.Post("/v1/chat/completions", e.handleChat)
	app.Post("/v1/completions", e.handleCompletion)
	e.registerServiceRoutes(app)
	app.OnAnyErrorCode(func(c iris.Context) {
		if c.GetStatusCode() == http.StatusNotFound {
			e.writeError(c, apierr.New(apierr.NotFound, apierr.NotRun, "no such path: "+c.Path(), "see the README for the paths"))
		}
	})
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// maxHeaderBytes limits the size of a request's headers. They are not passed on to
// agents or logs, but are held in memory while the request runs.
const maxHeaderBytes = 32 << 10

// prepareRequest is middleware that assigns the request ID, refuses the request if
// Drain has been called, its headers are too large or the entry has no configuration,
// and authenticates the caller. After BeginDrain alone, requests are served and
// their connections closed afterwards.
func (e *Entry) prepareRequest(c iris.Context) {
	id := uuid.NewString()
	c.Values().Set(ctxRequestID, id)
	c.Header(headerRequest, id)
	if e.draining.Load() {
		c.Header("Connection", "close") // makes the client's next request go through the load balancer
	}
	if !e.inFlight.TryAdd() {
		e.writeError(c, apierr.NewRetryable(apierr.Draining, apierr.NotRun, 100*time.Millisecond, "this entry is leaving", "retry; the balancer chooses another entry"))
		return
	}
	defer e.inFlight.Done()
	defer e.trackRequest(id)()
	defer e.recoverPanic(c)
	if n := headerBytes(c.Request().Header); n > maxHeaderBytes {
		e.writeError(c, apierr.New(apierr.TooLarge, apierr.NotRun, fmt.Sprintf("the headers have %d bytes; %d are allowed", n, maxHeaderBytes), "send fewer headers"))
		return
	}
	st := e.opts.Config.Current()
	if st == nil {
		e.writeError(c, apierr.NewRetryable(apierr.NotReady, apierr.NotRun, time.Second, "this entry has no configuration yet", "retry; the balancer chooses another entry"))
		return
	}
	customer, err := authenticate(st.Doc, c.GetHeader("Authorization"))
	if err != nil {
		e.writeError(c, err)
		return
	}
	c.Header(headerConfigVersion, strconv.FormatInt(st.Version, 10))
	c.Values().Set(ctxCustomer, customer)
	c.Values().Set(ctxConfig, st)
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

// recoverPanic turns a handler's panic into an error for this request only.
func (e *Entry) recoverPanic(c iris.Context) {
	v := recover()
	if v == nil {
		return
	}
	log.Error().Str("request", requestIDFrom(c)).Str("stack", string(debug.Stack())).Msg("handler panicked")
	if c.ResponseWriter().Written() >= 0 {
		panic(http.ErrAbortHandler) // part of the answer has been sent, so abort the connection
	}
	e.writeError(c, apierr.New(apierr.Internal, apierr.RanUnknown, "unexpected error", "report the request's ID to the operators"))
}

func configFrom(c iris.Context) *node.ConfigState {
	return c.Values().Get(ctxConfig).(*node.ConfigState)
}
func requestIDFrom(c iris.Context) string { return c.Values().GetString(ctxRequestID) }
func customerFrom(c iris.Context) string  { return c.Values().GetString(ctxCustomer) }

// errorBody is an OpenAI-compatible error body with additional fields.
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

func newErrorBody(err error, request string) errorBody {
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

// writeError sends an error response. Nothing may have been sent before.
func (e *Entry) writeError(c iris.Context, err error) {
	ae := apierr.From(err)
	e.metrics.refusals.Add(string(ae.Kind), 1)
	if ae.Retryable {
		seconds := int64((ae.RetryAfter + time.Second - 1) / time.Second)
		c.Header("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if ae.Kind == apierr.Internal {
		log.Error().Str("request", requestIDFrom(c)).Err(err).Msg("internal error")
	}
	c.StatusCode(ae.Kind.Status())
	c.ContentType("application/json")
	b, _ := json.Marshal(newErrorBody(err, requestIDFrom(c))) // strings and numbers always marshal
	_, _ = c.Write(b)                                         // fails only if the client has disconnected
	c.StopExecution()
}

// readBody reads a request body of at most MaxBodyBytes within CallerTimeout. It reads
// the whole body, since net/http detects a client's disconnection only after that.
func (e *Entry) readBody(c iris.Context) ([]byte, error) {
	rc := http.NewResponseController(c.ResponseWriter().Naive())
	_ = rc.SetReadDeadline(time.Now().Add(e.opts.CallerTimeout)) // not supported by the response recorders of tests
	b, err := io.ReadAll(http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, e.opts.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = rc.SetReadDeadline(time.Time{})
		return b, nil
	}
	// The read deadline is kept, since net/http reads the rest of the body before
	// it sends the response.
	c.Header("Connection", "close")
	switch {
	case errors.As(err, &tooLarge):
		return nil, apierr.New(apierr.TooLarge, apierr.NotRun, "the body is larger than "+strconv.FormatInt(e.opts.MaxBodyBytes, 10)+" bytes", "shorten the conversation")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, apierr.New(apierr.InvalidRequest, apierr.NotRun, "the body did not arrive within "+e.opts.CallerTimeout.String(), "send the body at once")
	}
	return nil, apierr.New(apierr.InvalidRequest, apierr.NotRun, "the body ended early", "send the whole body").WithCause(err)
}
