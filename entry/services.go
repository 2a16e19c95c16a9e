package entry

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/kataras/iris/v12"
	"github.com/phuslu/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/peer"

	"github.com/galenaweir/galenaweir/claimsvc"
	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/claims"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/wait"
)

// maxRankedReplicas limits how many live and how many suspect endpoints are ranked for
// a call.
const maxRankedReplicas = 8

// Names of the HTTP headers of service calls.
const (
	headerIdempotencyKey  = "Idempotency-Key"
	headerReplayed        = "Galenaweir-Replayed"
	headerConsistency     = "Galenaweir-Consistency"
	headerResourceVersion = "Resource-Version"
)

// Limits on service calls.
const (
	defaultCallDeadline       = 15 * time.Second
	maxCallDeadline           = 10 * time.Minute
	maxNonIdempotentExecutors = 2 // idempotent calls may try every ranked replica
	callRetryDelay            = 50 * time.Millisecond
	// executorDeadlineMargin lets the executor's refusal at the deadline reach the
	// entry before the entry's own deadline error, which can't say not_run.
	executorDeadlineMargin = 20 * time.Millisecond
	noEndpointRetryAfter   = time.Second
)

// registerServiceRoutes registers the routes of service calls and outcome lookups.
func (e *Entry) registerServiceRoutes(app *iris.Application) {
	app.Any("/v1/services/{service:string}/{path:path}", e.handleService)
	app.Get("/v1/outcomes/{key:string}", e.handleOutcome)
	app.Get("/v1/requests/{key:string}", e.handleOutcome)
}

// serviceCall is a caller's call to a non-LLM service.
type serviceCall struct {
	req       *rpc.CallRequest
	rule      config.Rule
	doc       *config.Document
	deadline  time.Time
	executors []executor // in the order to be tried
}

// executor is an endpoint of the service and the agent in front of it.
type executor struct{ endpoint, agent, address string }

// handleService runs a service call. If the call has an idempotency key, the key is
// also its request ID, so that any entry finds its outcome by either.
func (e *Entry) handleService(c iris.Context) {
	call, err := e.newServiceCall(c)
	if err != nil {
		e.writeError(c, err)
		return
	}
	if call.req.IdempotencyKey != "" {
		c.Values().Set(ctxRequestID, call.req.IdempotencyKey)
		c.ResponseWriter().Header().Set(headerRequest, call.req.IdempotencyKey) // c.Header would append a second value
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), call.deadline)
	defer cancel()
	reply, endpoint, err := e.runCall(ctx, call)
	if err != nil {
		e.writeError(c, err)
		return
	}
	c.Header(headerEndpoint, endpoint)
	writeReply(c, reply)
}

func writeReply(c iris.Context, r *rpc.CallReply) {
	for name, value := range map[string]string{headerResourceVersion: r.ResourceVersion, headerConsistency: r.Consistency} {
		if value != "" {
			c.Header(name, value)
		}
	}
	if r.Replayed {
		c.Header(headerReplayed, "true")
	}
	if r.ContentType != "" {
		c.ContentType(r.ContentType)
	}
	c.StatusCode(int(r.Status))
	_, _ = c.Write(r.Body) // fails only if the client has disconnected
}

// newServiceCall validates the request and ranks the executors that may run it.
func (e *Entry) newServiceCall(c iris.Context) (*serviceCall, error) {
	st, service := configFrom(c), c.Params().Get("service")
	target, err := servicePath(c.Request().URL, service)
	if err != nil {
		return nil, err
	}
	s, known := st.Doc.Services[service]
	if !known || !slices.Contains(st.Doc.Customers[customerFrom(c)].Services, service) {
		return nil, apierr.New(apierr.NotFound, apierr.NotRun, fmt.Sprintf("there is no service %q for this customer", service), "check the name, or ask the operators for access")
	}
	rule, ok := claims.MatchRule(s, c.Method(), target.Path)
	if !ok {
		return nil, apierr.New(apierr.NotFound, apierr.NotRun, fmt.Sprintf("service %q has no rule for %s %s", service, c.Method(), target.Path), "check method and path; operators: add a rule to the configuration")
	}
	key := c.GetHeader(headerIdempotencyKey)
	if err := checkIdempotencyKey(key, rule, st.Doc); err != nil {
		return nil, err
	}
	body, err := e.readBody(c)
	if err != nil {
		return nil, err
	}
	deadline, err := callDeadline(c)
	if err != nil {
		return nil, err
	}
	call := &serviceCall{rule: rule, doc: st.Doc, deadline: deadline, req: &rpc.CallRequest{
		RequestId: requestIDFrom(c), Customer: customerFrom(c), Service: service, Method: c.Method(), Path: target.RequestURI(), Body: body,
		ContentType: c.GetHeader("Content-Type"), IdempotencyKey: key, NonIdempotent: !rule.Idempotent,
		Resource: target.Path, ConfigVersion: st.Version, Priority: c.GetHeader(headerPriority),
	}}
	if call.executors = e.rankExecutors(call); len(call.executors) == 0 {
		return nil, apierr.NewRetryable(apierr.NoEndpoint, apierr.NotRun, noEndpointRetryAfter, fmt.Sprintf("no endpoint of service %q is live", service), "retry; operators: look at the members")
	}
	return call, nil
}

// servicePath returns the path and query to send to the service. Paths that the
// service could normalize to another path are refused, since the call's rule is
// selected by the path as written.
func servicePath(u *url.URL, service string) (*url.URL, error) {
	escaped := strings.TrimPrefix(u.EscapedPath(), "/v1/services/"+url.PathEscape(service))
	p, err := url.ParseRequestURI(escaped)
	if err == nil {
		clean := path.Clean(p.Path)
		if p.Path != clean && p.Path != clean+"/" || strings.ContainsAny(p.Path, `\;`) || strings.Contains(strings.ToLower(escaped), "%2f") {
			err = errors.New("the path is not in its shortest form")
		}
	}
	if err != nil {
		return nil, apierr.New(apierr.InvalidRequest, apierr.NotRun, "the path is not in its shortest form", `send it without "..", ".", empty segments, backslashes, semicolons and escaped slashes`).WithCause(err)
	}
	p.RawQuery = u.RawQuery
	return p, nil
}

// checkIdempotencyKey refuses a non-idempotent call without a usable key before
// anything is sent.
func checkIdempotencyKey(key string, rule config.Rule, doc *config.Document) error {
	if key == "" && rule.Idempotent {
		return nil
	}
	t, err := claims.KeyTime(key)
	if err != nil {
		return err
	}
	return claims.CheckKeyWindow(t, time.Now(), claimsvc.KeyWindow(doc))
}

func callDeadline(c iris.Context) (time.Time, error) {
	h := c.GetHeader(headerDeadline)
	if h == "" {
		return time.Now().Add(defaultCallDeadline), nil
	}
	ms, err := strconv.ParseInt(h, 10, 64)
	d := time.Duration(ms) * time.Millisecond
	if err != nil || d <= 0 || d > maxCallDeadline {
		return time.Time{}, apierr.New(apierr.InvalidRequest, apierr.NotRun, headerDeadline+" is not a number from 1 to 600000", "give the milliseconds that the caller waits")
	}
	return time.Now().Add(d), nil
}

// rankExecutors returns the endpoints of the service in the order of rendezvous
// hashing of the idempotency key, or of the request ID if there is no key. Endpoints
// of suspect agents come last.
func (e *Entry) rankExecutors(call *serviceCall) []executor {
	byID := map[string]executor{}
	var live, suspect []string
	for id, x := range call.doc.Endpoints {
		m, ok := e.opts.Members.Get(x.Agent)
		if x.Service != call.req.Service || !ok || m.State != node.Live && m.State != node.Suspect {
			continue
		}
		byID[id] = executor{id, x.Agent, m.Address}
		if m.State == node.Live {
			live = append(live, id)
		} else {
			suspect = append(suspect, id)
		}
	}
	rankingKey := call.req.Customer + " " + call.req.IdempotencyKey
	if call.req.IdempotencyKey == "" {
		rankingKey = call.req.RequestId
	}
	var out []executor
	for _, id := range append(claimsvc.RankIDs(rankingKey, live, maxRankedReplicas), claimsvc.RankIDs(rankingKey, suspect, maxRankedReplicas)...) {
		out = append(out, byID[id])
	}
	return out
}

// runCall tries the executors in order. For a non-idempotent call, it returns a not_run
// error only if every executor that may have received the call has closed its attempt.
func (e *Entry) runCall(ctx context.Context, call *serviceCall) (*rpc.CallReply, string, error) {
	maxAttempts := len(call.executors)
	if !call.rule.Idempotent {
		maxAttempts = min(maxAttempts, maxNonIdempotentExecutors)
	}
	key := claims.KeyHash(call.req.Customer, call.req.IdempotencyKey)
	// An executor may still be running this call, or may have run an earlier one.
	_, uncertain := e.unresolvedKeys.Get(key)
	var lastErr error
	for rank, x := range call.executors[:maxAttempts] {
		reply, sent, err := e.callExecutor(ctx, call, x, rank)
		if err == nil && reply.Error == nil {
			e.unresolvedKeys.Remove(key)
			return reply, x.endpoint, nil
		}
		if err != nil {
			uncertain = uncertain || sent
			lastErr = lostExecutorError(x, sent, err)
		} else if lastErr = rpc.DecodeError(reply.Error); !canTryNextExecutor(lastErr, call.rule) {
			break
		}
		if !wait.For(ctx, callRetryDelay) {
			break
		}
	}
	lastErr = resolveRan(ctx, lastErr, uncertain && !call.rule.Idempotent)
	if !call.rule.Idempotent && apierr.From(lastErr).Ran == apierr.RanUnknown {
		e.unresolvedKeys.Add(key, struct{}{})
	}
	return nil, "", lastErr
}

// canTryNextExecutor reports whether the call may be tried on another executor. A
// log_unavailable error is final: every executor needs the same log to record a claim.
func canTryNextExecutor(err error, rule config.Rule) bool {
	ae := apierr.From(err)
	if !ae.Retryable || ae.Kind == apierr.LogUnavailable {
		return false
	}
	return ae.Ran == apierr.NotRun || rule.Idempotent
}

// resolveRan replaces a not_run error if an executor whose connection was lost may have
// run the call, and reports the deadline if it has passed.
func resolveRan(ctx context.Context, err error, uncertain bool) error {
	ae := apierr.From(err)
	if uncertain && ae.Ran == apierr.NotRun {
		return apierr.New(apierr.OutcomeUnknown, apierr.RanUnknown, "an executor was lost while it had this request or an earlier one with the key", "repeat with the same key, or check with the service; don't send it again with a new key").WithCause(err)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && ae.Kind != apierr.DeadlineExceeded {
		return apierr.NewRetryable(apierr.DeadlineExceeded, ae.Ran, callRetryDelay, "the deadline passed", "repeat with the same key and allow more time with "+headerDeadline).WithCause(err)
	}
	return err
}

// lostExecutorError returns the error for a call to which the executor's agent gave no
// valid reply.
func lostExecutorError(x executor, sent bool, err error) error {
	if !sent {
		return apierr.NewRetryable(apierr.NoEndpoint, apierr.NotRun, noEndpointRetryAfter, "agent "+x.agent+" could not be reached", "retry with the same key").WithCause(err)
	}
	return apierr.New(apierr.OutcomeUnknown, apierr.RanUnknown, "agent "+x.agent+" was lost while it had the request", "repeat with the same key, or check with the service; don't send it again with a new key").WithCause(err)
}

// callExecutor calls one executor. If it returns an error, sent reports whether the
// executor may have received the call.
func (e *Entry) callExecutor(ctx context.Context, call *serviceCall, x executor, rank int) (reply *rpc.CallReply, sent bool, err error) {
	req := call.req
	log.Info().Str("decision", "executor").Str("request", req.RequestId).Str("customer", req.Customer).Str("service", req.Service).
		Int64("config_version", req.ConfigVersion).Str("endpoint", x.endpoint).Str("agent", x.agent).Int("rank", rank).Int("candidates", len(call.executors)).Msg("executor chosen")
	client, _, err := e.agentClient(x.address)
	if err != nil {
		return nil, false, err
	}
	attemptReq := &rpc.CallRequest{
		RequestId: req.RequestId, AttemptId: uuid.NewString(), Customer: req.Customer, Service: req.Service, Endpoint: x.endpoint,
		Method: req.Method, Path: req.Path, Body: req.Body, ContentType: req.ContentType, IdempotencyKey: req.IdempotencyKey,
		NonIdempotent: req.NonIdempotent, DeadlineMs: max(1, (time.Until(call.deadline) - executorDeadlineMargin).Milliseconds()),
		Resource: req.Resource, ConfigVersion: req.ConfigVersion, Priority: req.Priority,
	}
	var p peer.Peer // set once the call has been assigned to a connection
	reply, err = client.Call(ctx, attemptReq, grpc.Peer(&p))
	if err == nil && (reply.AttemptId != attemptReq.AttemptId || reply.Customer != attemptReq.Customer) {
		e.metrics.foreignFrames.Add(1)
		return nil, true, fmt.Errorf("agent %s replied for a different attempt or customer", x.agent)
	}
	if err == nil {
		e.view.recordLoad(reply.Load)
	}
	return reply, p.Addr != nil, err
}

// unresolvedKeys holds the keys whose last answer was outcome_unknown. Later refusals of
// such a key are not reported as not_run, since the earlier request may have run. The
// keys are known to this entry only; docs/callers.md explains what not_run covers.
type unresolvedKeys = lru.Cache[claims.Hash, struct{}]

const maxUnresolvedKeys = 10_000

func newUnresolvedKeys() *unresolvedKeys {
	c, err := lru.New[claims.Hash, struct{}](maxUnresolvedKeys)
	if err != nil {
		panic(err) // only if the size is not positive
	}
	return c
}
