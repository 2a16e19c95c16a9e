package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/claims"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/stricthttp"
)

// Limits of service calls.
const (
	defaultServiceTimeout = 10 * time.Second
	maxServiceAnswerBytes = 8 << 20
	maxServiceHeadBytes   = 64 << 10               // net/http would read 10 MB
	serviceRetryAfter     = 200 * time.Millisecond // retry delay that errors advise to entries
)

// Headers between agents and services. The idempotency key is not sent as
// Idempotency-Key, because net/http automatically retries requests with that header.
const (
	headerResourceVersion = "Resource-Version"
	headerServiceKey      = "Galenaweir-Key"
)

// serviceCalls sends service calls and tracks the claimed ones. It belongs to one
// incarnation of the agent.
type serviceCalls struct {
	incarnation string
	transport   *stricthttp.Transport

	mu   sync.Mutex
	held map[string]bool // IDs of attempts whose outcome or release is not recorded yet

	// dispatched holds the keys of the calls that this incarnation has sent to a
	// service. While the log is unavailable, a repeat with one of these keys must not
	// be answered with not_run. The least recently used keys are evicted first.
	dispatched *lru.Cache[claims.Hash, struct{}]
}

const maxDispatchedKeys = 50_000

// newServiceCalls returns the calls of a new incarnation. Keep-alives are disabled,
// because net/http automatically retries requests on reused connections.
func newServiceCalls() *serviceCalls {
	dispatched, err := lru.New[claims.Hash, struct{}](maxDispatchedKeys)
	if err != nil {
		panic(err) // lru.New fails only if the size isn't positive
	}
	return &serviceCalls{
		incarnation: uuid.NewString(), held: map[string]bool{}, dispatched: dispatched,
		transport: stricthttp.NewTransport(&http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxServiceHeadBytes}),
	}
}

// serviceResponse is a service's HTTP response.
type serviceResponse struct {
	status          int
	body            []byte
	contentType     string
	resourceVersion string // Resource-Version header, empty if there is none
}

// errServiceUnreachable means that no part of the request reached the service.
var errServiceUnreachable = errors.New("could not connect to the service")

// errAnswerTooLarge means that the response body exceeds maxServiceAnswerBytes.
var errAnswerTooLarge = fmt.Errorf("the answer is larger than %d bytes", maxServiceAnswerBytes)

// nonRewindableBody hides the reader's type, so that net/http can't rewind the body
// and send it again.
type nonRewindableBody struct{ io.Reader }

// roundTrip sends the request to the service once and reads the response.
func (c *serviceCalls) roundTrip(ctx context.Context, e config.Endpoint, req *rpc.CallRequest) (*serviceResponse, error) {
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, "http://"+e.Address+req.Path, nonRewindableBody{bytes.NewReader(req.Body)})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errServiceUnreachable, err)
	}
	httpReq.ContentLength = int64(len(req.Body))
	if len(req.Body) == 0 {
		httpReq.Body = http.NoBody
	}
	if req.ContentType != "" {
		httpReq.Header.Set("Content-Type", req.ContentType)
	}
	if req.IdempotencyKey != "" {
		httpReq.Header.Set(headerServiceKey, req.IdempotencyKey)
	}
	resp, err := c.transport.RoundTrip(httpReq) // unlike a client, doesn't follow redirects
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, fmt.Errorf("%w: %w", errServiceUnreachable, err)
		}
		return nil, fmt.Errorf("call service at %s: %w", e.Address, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceAnswerBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("read response of service at %s: %w", e.Address, err)
	case len(body) > maxServiceAnswerBytes:
		return nil, fmt.Errorf("%s: %w", e.Address, errAnswerTooLarge)
	}
	return &serviceResponse{resp.StatusCode, body, resp.Header.Get("Content-Type"), resp.Header.Get(headerResourceVersion)}, nil
}

func (s *serviceResponse) reply() *rpc.CallReply {
	return &rpc.CallReply{Status: uint32(s.status), Body: s.body, ContentType: s.contentType, ResourceVersion: s.resourceVersion}
}

// Call implements rpc.AgentServer.
func (a *Agent) Call(ctx context.Context, req *rpc.CallRequest) (*rpc.CallReply, error) {
	reply, err := a.handleCall(ctx, req)
	if err != nil {
		reply = &rpc.CallReply{Error: rpc.EncodeError(err)}
	}
	reply.AttemptId, reply.Customer, reply.Load = req.AttemptId, req.Customer, a.loadReport(req.Endpoint, "")
	return reply, nil
}

// handleCall admits the call and runs it according to the rule for its service and
// path. A call is idempotent only if both the entry and this agent's configuration say
// so.
func (a *Agent) handleCall(ctx context.Context, req *rpc.CallRequest) (*rpc.CallReply, error) {
	e, doc, err := a.servedEndpoint(req.Endpoint)
	if err != nil {
		return nil, err
	}
	rule, ok := ruleFor(doc.Services[req.Service], req)
	if e.Service != req.Service || !ok {
		return nil, apierr.NewRetryable(apierr.NoEndpoint, apierr.NotRun, serviceRetryAfter, fmt.Sprintf("endpoint %q does not serve this path of %q", req.Endpoint, req.Service), "retry; the configuration is being updated")
	}
	if err := a.beginWork(); err != nil {
		return nil, err
	}
	defer a.endWork()
	a.running.Add(1)
	defer a.running.Add(-1)
	if req.DeadlineMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(req.DeadlineMs)*time.Millisecond)
		defer cancel()
	}
	if rule.Idempotent && !req.NonIdempotent {
		return a.callIdempotent(ctx, e, doc, rule, req)
	}
	call, err := newClaimedCall(a, e, doc, rule, req)
	if err != nil {
		return nil, err
	}
	return call.run(ctx)
}

// ruleFor returns the service's rule for the request's method and path. It returns false
// if the path is invalid or no rule applies.
func ruleFor(s config.Service, req *rpc.CallRequest) (config.Rule, bool) {
	u, err := url.ParseRequestURI(req.Path)
	if err != nil {
		return config.Rule{}, false
	}
	return claims.MatchRule(s, req.Method, u.Path)
}

// serviceTimeout returns the rule's timeout, or the default if it has none.
func serviceTimeout(r config.Rule) time.Duration {
	if r.TimeoutMs <= 0 {
		return defaultServiceTimeout
	}
	return time.Duration(r.TimeoutMs) * time.Millisecond
}

// callIdempotent runs an idempotent call. If it has an idempotency key, its first answer
// is recorded like that of a claimed call, so that a repeat gets the same answer. If
// the log is unavailable or the outcome of an earlier attempt is unknown, the call runs
// unrecorded, because it may be repeated.
func (a *Agent) callIdempotent(ctx context.Context, e config.Endpoint, doc *config.Document, rule config.Rule, req *rpc.CallRequest) (*rpc.CallReply, error) {
	if req.IdempotencyKey == "" {
		return a.callUnclaimed(ctx, e, doc, rule, req)
	}
	call, err := newClaimedCall(a, e, doc, rule, req)
	if err != nil {
		return nil, err
	}
	reply, err := call.run(ctx)
	if !apierr.Is(err, apierr.LogUnavailable) && !apierr.Is(err, apierr.OutcomeUnknown) {
		return reply, err
	}
	if reply, err = a.callUnclaimed(ctx, e, doc, rule, req); err == nil {
		reply.Consistency = consistencyMemory
	}
	return reply, err
}

// callUnclaimed sends an idempotent call to the service without a claim.
func (a *Agent) callUnclaimed(ctx context.Context, e config.Endpoint, doc *config.Document, rule config.Rule, req *rpc.CallRequest) (*rpc.CallReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, serviceTimeout(rule))
	defer cancel()
	resp, err := a.calls.roundTrip(callCtx, e, req)
	switch {
	case errors.Is(err, errServiceUnreachable):
		return nil, serviceUnreachableError(req.Endpoint, err)
	case errors.Is(err, errAnswerTooLarge):
		return nil, apierr.New(apierr.EndpointFailed, apierr.DidRun, err.Error(), "ask for less at once")
	case errors.Is(err, context.DeadlineExceeded):
		return nil, apierr.NewRetryable(apierr.DeadlineExceeded, apierr.RanUnknown, serviceRetryAfter, "endpoint "+req.Endpoint+" did not answer in time", "retry; the call may be repeated").WithCause(err)
	case err != nil:
		return nil, apierr.NewRetryable(apierr.EndpointFailed, apierr.RanUnknown, serviceRetryAfter, "endpoint "+req.Endpoint+" failed", "retry; the call may be repeated").WithCause(err)
	}
	reply := resp.reply()
	if rule.Lookup {
		return reply, a.checkVersionFloor(ctx, doc, req, reply)
	}
	return reply, nil
}

// serviceUnreachableError returns the error for an endpoint that received nothing of
// the request.
func serviceUnreachableError(endpoint string, err error) error {
	return apierr.NewRetryable(apierr.EndpointFailed, apierr.NotRun, serviceRetryAfter, "endpoint "+endpoint+" could not be reached", "retry with the same key; if it persists, look at the endpoint's host").WithCause(err)
}

// consistencyMemory marks an answer whose version floor is kept only in memory, or
// that is not recorded in the log.
const consistencyMemory = "memory"

// checkVersionFloor returns an error if the reply's resource version is older than one
// that the customer has already been shown, and records it otherwise.
func (a *Agent) checkVersionFloor(ctx context.Context, doc *config.Document, req *rpc.CallRequest, reply *rpc.CallReply) error {
	version, err := strconv.ParseUint(reply.ResourceVersion, 10, 64)
	if err != nil || a.opts.ClaimClient == nil {
		return nil // the service reports no version
	}
	resource := claims.ResourceHash(req.Customer, req.Service+" "+req.Resource)
	o, err := a.opts.ClaimClient.ObserveVersion(ctx, claimPartition(resource, doc), resource, version)
	switch {
	case err != nil:
		return apierr.NewRetryable(apierr.StaleReplica, apierr.DidRun, serviceRetryAfter, "the answer's version could not be compared with those shown before", "retry; if it persists, look at the claim keepers").WithCause(err)
	case o.Result == rpc.ObserveVersionReply_RESULT_STALE:
		return apierr.NewRetryable(apierr.StaleReplica, apierr.DidRun, serviceRetryAfter, fmt.Sprintf("endpoint %s shows version %d, but version %d was shown before", req.Endpoint, version, o.Floor), "retry; another replica is read")
	case o.Result == rpc.ObserveVersionReply_RESULT_MEMORY_ONLY:
		reply.Consistency = consistencyMemory
	}
	return nil
}
