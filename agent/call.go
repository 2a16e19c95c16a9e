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
)

// Limits of service calls.
const (
	defaultServiceTimeout = 10 * time.Second
	maxServiceAnswerBytes = 8 << 20
	retryPause            = 200 * time.Millisecond // told to entries
)

// Headers between agents and services. The key has a name of its own, since
// net/http repeats a request by itself when it has the header Idempotency-Key.
const (
	headerResourceVersion = "Resource-Version"
	headerServiceKey      = "Galenaweir-Key"
)

// calls holds the claimed attempts of one incarnation of the agent.
type calls struct {
	incarnation string
	transport   *http.Transport

	mu   sync.Mutex
	held map[string]bool // attempts whose outcome or release is not recorded yet

	// dispatched are the keys that this incarnation has sent to a service, so
	// that a repeat isn't told not_run while the log can't tell what became of
	// them. The least recent ones are forgotten first.
	dispatched *lru.Cache[claims.Hash, struct{}]
}

const maxDispatchedKeys = 50_000

// newCalls returns an incarnation without attempts. Without keep-alive every
// request has a connection of its own: net/http repeats a request by itself only
// on a connection that was used before.
func newCalls() *calls {
	dispatched, err := lru.New[claims.Hash, struct{}](maxDispatchedKeys)
	if err != nil {
		panic(err) // only for a size that isn't positive
	}
	return &calls{
		incarnation: uuid.NewString(), held: map[string]bool{}, dispatched: dispatched,
		transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}
}

// serviceAnswer is what a service answered.
type serviceAnswer struct {
	status      int
	body        []byte
	contentType string
	version     string // Resource-Version, empty when there is none
}

// errNotReached means that the service did not receive a byte of the request.
var errNotReached = errors.New("the service could not be reached")

// errAnswerTooLarge means that the service answered with too much.
var errAnswerTooLarge = fmt.Errorf("the answer is larger than %d bytes", maxServiceAnswerBytes)

// streamBody hides the body's type, so that net/http can't rewind it.
type streamBody struct{ io.Reader }

// exchange sends the request to the service once.
func (c *calls) exchange(ctx context.Context, e config.Endpoint, req *rpc.CallRequest) (*serviceAnswer, error) {
	h, err := http.NewRequestWithContext(ctx, req.Method, "http://"+e.Address+req.Path, streamBody{bytes.NewReader(req.Body)})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotReached, err)
	}
	h.ContentLength = int64(len(req.Body))
	if len(req.Body) == 0 {
		h.Body = http.NoBody
	}
	if req.ContentType != "" {
		h.Header.Set("Content-Type", req.ContentType)
	}
	if req.IdempotencyKey != "" {
		h.Header.Set(headerServiceKey, req.IdempotencyKey)
	}
	resp, err := c.transport.RoundTrip(h) // follows no redirect
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, fmt.Errorf("%w: %w", errNotReached, err)
		}
		return nil, fmt.Errorf("call %s: %w", e.Address, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceAnswerBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("read the answer of %s: %w", e.Address, err)
	case len(body) > maxServiceAnswerBytes:
		return nil, fmt.Errorf("%s: %w", e.Address, errAnswerTooLarge)
	}
	return &serviceAnswer{resp.StatusCode, body, resp.Header.Get("Content-Type"), resp.Header.Get(headerResourceVersion)}, nil
}

func (s *serviceAnswer) reply() *rpc.CallReply {
	return &rpc.CallReply{Status: uint32(s.status), Body: s.body, ContentType: s.contentType, ResourceVersion: s.version}
}

// Call implements rpc.AgentServer.
func (a *Agent) Call(ctx context.Context, req *rpc.CallRequest) (*rpc.CallReply, error) {
	reply, err := a.serve(ctx, req)
	if err != nil {
		reply = &rpc.CallReply{Error: rpc.EncodeError(err)}
	}
	reply.AttemptId, reply.Customer, reply.Load = req.AttemptId, req.Customer, a.load(req.Endpoint, "")
	return reply, nil
}

// serve admits the call and runs it by the rule of its service and path. Both
// the entry's and this agent's configuration can make a call non-idempotent.
func (a *Agent) serve(ctx context.Context, req *rpc.CallRequest) (*rpc.CallReply, error) {
	e, doc, err := a.endpoint(req.Endpoint)
	if err != nil {
		return nil, err
	}
	rule, ok := ruleOf(doc.Services[req.Service], req)
	if e.Service != req.Service || !ok {
		return nil, apierr.NewRetryable(apierr.NoEndpoint, apierr.NotRun, retryPause, fmt.Sprintf("endpoint %q does not serve this path of %q", req.Endpoint, req.Service), "retry; the configuration is being updated")
	}
	if err := a.enter(); err != nil {
		return nil, err
	}
	defer a.leave()
	a.active.Add(1)
	defer a.active.Add(-1)
	if req.DeadlineMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(req.DeadlineMs)*time.Millisecond)
		defer cancel()
	}
	if rule.Idempotent && !req.NonIdempotent {
		return a.repeatable(ctx, e, doc, rule, req)
	}
	p, err := newPayment(a, e, doc, rule, req)
	if err != nil {
		return nil, err
	}
	return p.run(ctx)
}

func ruleOf(s config.Service, req *rpc.CallRequest) (config.Rule, bool) {
	u, err := url.ParseRequestURI(req.Path)
	if err != nil {
		return config.Rule{}, false
	}
	return claims.MatchRule(s, req.Method, u.Path)
}

func serviceTimeout(r config.Rule) time.Duration {
	if r.TimeoutMs <= 0 {
		return defaultServiceTimeout
	}
	return time.Duration(r.TimeoutMs) * time.Millisecond
}

// repeatable runs an idempotent call. With a key its first answer is recorded
// like a payment's, so that a repeat gets the same; while the log is unavailable
// it runs without.
func (a *Agent) repeatable(ctx context.Context, e config.Endpoint, doc *config.Document, rule config.Rule, req *rpc.CallRequest) (*rpc.CallReply, error) {
	if req.IdempotencyKey == "" {
		return a.plain(ctx, e, doc, rule, req)
	}
	p, err := newPayment(a, e, doc, rule, req)
	if err != nil {
		return nil, err
	}
	reply, err := p.run(ctx)
	if !apierr.Is(err, apierr.LogUnavailable) && !apierr.Is(err, apierr.OutcomeUnknown) {
		return reply, err
	}
	if reply, err = a.plain(ctx, e, doc, rule, req); err == nil {
		reply.Consistency = consistencyMemory
	}
	return reply, err
}

// plain sends an idempotent call straight to the service.
func (a *Agent) plain(ctx context.Context, e config.Endpoint, doc *config.Document, rule config.Rule, req *rpc.CallRequest) (*rpc.CallReply, error) {
	one, cancel := context.WithTimeout(ctx, serviceTimeout(rule))
	defer cancel()
	s, err := a.calls.exchange(one, e, req)
	switch {
	case errors.Is(err, errNotReached):
		return nil, notReached(req.Endpoint, err)
	case errors.Is(err, errAnswerTooLarge):
		return nil, apierr.New(apierr.EndpointFailed, apierr.DidRun, err.Error(), "ask for less at once")
	case errors.Is(err, context.DeadlineExceeded):
		return nil, apierr.NewRetryable(apierr.DeadlineExceeded, apierr.RanUnknown, retryPause, "endpoint "+req.Endpoint+" did not answer in time", "retry; the call may be repeated").WithCause(err)
	case err != nil:
		return nil, apierr.NewRetryable(apierr.EndpointFailed, apierr.RanUnknown, retryPause, "endpoint "+req.Endpoint+" failed", "retry; the call may be repeated").WithCause(err)
	}
	reply := s.reply()
	if rule.Lookup {
		return reply, a.observe(ctx, doc, req, reply)
	}
	return reply, nil
}

func notReached(endpoint string, err error) error {
	return apierr.NewRetryable(apierr.EndpointFailed, apierr.NotRun, retryPause, "endpoint "+endpoint+" could not be reached", "retry with the same key; if it persists, look at the endpoint's host").WithCause(err)
}

// consistencyMemory tells that a floor is kept in memory only.
const consistencyMemory = "memory"

// observe keeps the customer from being shown an older version than before.
func (a *Agent) observe(ctx context.Context, doc *config.Document, req *rpc.CallRequest, reply *rpc.CallReply) error {
	version, err := strconv.ParseUint(reply.ResourceVersion, 10, 64)
	if err != nil || a.o.ClaimClient == nil {
		return nil // the service reports no version
	}
	resource := claims.ResourceHash(req.Customer, req.Service+" "+req.Resource)
	o, err := a.o.ClaimClient.ObserveVersion(ctx, claimsvcPartition(resource, doc), resource, version)
	switch {
	case err != nil:
		return apierr.NewRetryable(apierr.StaleReplica, apierr.DidRun, retryPause, "the answer's version could not be compared with those shown before", "retry; if it persists, look at the claim keepers").WithCause(err)
	case o.Result == rpc.ObserveVersionReply_RESULT_STALE:
		return apierr.NewRetryable(apierr.StaleReplica, apierr.DidRun, retryPause, fmt.Sprintf("endpoint %s shows version %d, but version %d was shown before", req.Endpoint, version, o.Floor), "retry; another replica is read")
	case o.Result == rpc.ObserveVersionReply_RESULT_MEMORY_ONLY:
		reply.Consistency = consistencyMemory
	}
	return nil
}
