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

// Headers of service calls.
// maxRanked bounds the replicas that a lookup tries.
const maxRanked = 8

const (
	headerKey             = "Idempotency-Key"
	headerReplayed        = "Galenaweir-Replayed"
	headerConsistency     = "Galenaweir-Consistency"
	headerResourceVersion = "Resource-Version"
)

// Limits of service calls.
const (
	defaultCallDeadline = 15 * time.Second
	maxCallDeadline     = 10 * time.Minute
	maxExecutors        = 2 // of a non-idempotent call; a lookup tries every replica
	callRetryPause      = 50 * time.Millisecond
	// answerMargin lets the executor's refusal at the deadline reach the entry
	// before the entry's own, which can't say not_run.
	answerMargin      = 20 * time.Millisecond
	retryAfterNoAgent = time.Second
)

// routeServices registers the paths of service calls and their outcomes.
func (e *Entry) routeServices(app *iris.Application) {
	app.Any("/v1/services/{service:string}/{path:path}", e.handleService)
	app.Get("/v1/outcomes/{key:string}", e.handleOutcome)
	app.Get("/v1/requests/{key:string}", e.handleOutcome)
}

// serviceCall is one call of a caller to a plain service.
type serviceCall struct {
	req       *rpc.CallRequest
	rule      config.Rule
	doc       *config.Document
	deadline  time.Time
	executors []executor // best first
}

// executor is an endpoint of the service and the agent that stands before it.
type executor struct{ endpoint, agent, address string }

// handleService runs a call of a plain service. The ID of a call with a key is
// the key, so that any entry finds its outcome by either.
func (e *Entry) handleService(c iris.Context) {
	call, err := e.serviceCall(c)
	if err != nil {
		e.fail(c, err)
		return
	}
	if call.req.IdempotencyKey != "" {
		c.Values().Set(valueRequest, call.req.IdempotencyKey)
		c.ResponseWriter().Header().Set(headerRequest, call.req.IdempotencyKey) // c.Header would add a second one
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), call.deadline)
	defer cancel()
	reply, endpoint, err := e.runCall(ctx, call)
	if err != nil {
		e.fail(c, err)
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
	_, _ = c.Write(r.Body) // the caller has gone if this fails
}

// serviceCall checks the request and chooses the order of its executors.
func (e *Entry) serviceCall(c iris.Context) (*serviceCall, error) {
	st, service := configOf(c), c.Params().Get("service")
	target, err := servicePath(c.Request().URL, service)
	if err != nil {
		return nil, err
	}
	s, known := st.Doc.Services[service]
	if !known || !slices.Contains(st.Doc.Customers[customerOf(c)].Services, service) {
		return nil, apierr.New(apierr.NotFound, apierr.NotRun, fmt.Sprintf("there is no service %q for this customer", service), "check the name, or ask the operators for access")
	}
	rule, ok := claims.MatchRule(s, c.Method(), target.Path)
	if !ok {
		return nil, apierr.New(apierr.NotFound, apierr.NotRun, fmt.Sprintf("service %q has no rule for %s %s", service, c.Method(), target.Path), "check method and path; operators: add a rule to the configuration")
	}
	key := c.GetHeader(headerKey)
	if err := checkKey(key, rule, st.Doc); err != nil {
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
		RequestId: requestOf(c), Customer: customerOf(c), Service: service, Method: c.Method(), Path: target.RequestURI(), Body: body,
		ContentType: c.GetHeader("Content-Type"), IdempotencyKey: key, NonIdempotent: !rule.Idempotent,
		Resource: target.Path, ConfigVersion: st.Version, Priority: c.GetHeader(headerPriority),
	}}
	if call.executors = e.executors(call); len(call.executors) == 0 {
		return nil, apierr.NewRetryable(apierr.NoEndpoint, apierr.NotRun, retryAfterNoAgent, fmt.Sprintf("no endpoint of service %q is live", service), "retry; operators: look at the members")
	}
	return call, nil
}

// servicePath returns path and query for the service. A path that the service
// could normalize to another one is refused, since the rule of the call is
// chosen by the path as written.
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

// checkKey refuses a payment without a usable key before anything is sent.
func checkKey(key string, rule config.Rule, doc *config.Document) error {
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

// executors returns the live endpoints of the service, ordered by rendezvous
// hashing of the key, or of the request's ID when it has none. Suspect ones come
// last.
func (e *Entry) executors(call *serviceCall) []executor {
	byID := map[string]executor{}
	var live, suspect []string
	for id, x := range call.doc.Endpoints {
		m, ok := e.o.Members.Get(x.Agent)
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
	key := call.req.Customer + " " + call.req.IdempotencyKey
	if call.req.IdempotencyKey == "" {
		key = call.req.RequestId
	}
	var out []executor
	for _, id := range append(claimsvc.RankIDs(key, live, maxRanked), claimsvc.RankIDs(key, suspect, maxRanked)...) {
		out = append(out, byID[id])
	}
	return out
}

// runCall asks one executor after another. A refusal says not_run only when
// every executor that may have received the call has closed its attempt.
func (e *Entry) runCall(ctx context.Context, call *serviceCall) (*rpc.CallReply, string, error) {
	tries := len(call.executors)
	if !call.rule.Idempotent {
		tries = min(tries, maxExecutors)
	}
	key := claims.KeyHash(call.req.Customer, call.req.IdempotencyKey)
	// An executor may still run the call, or may have run an earlier one.
	_, uncertain := e.openKeys.Get(key)
	var last error
	for i, x := range call.executors[:tries] {
		reply, sent, err := e.callOnce(ctx, call, x, i)
		if err == nil && reply.Error == nil {
			e.openKeys.Remove(key)
			return reply, x.endpoint, nil
		}
		if err != nil {
			uncertain = uncertain || sent
			last = lostExecutor(x, sent, err)
		} else if last = rpc.DecodeError(reply.Error); !mayTryNext(last, call.rule) {
			break
		}
		if !wait.For(ctx, callRetryPause) {
			break
		}
	}
	last = settleRan(ctx, last, uncertain && !call.rule.Idempotent)
	if !call.rule.Idempotent && apierr.From(last).Ran == apierr.RanUnknown {
		e.openKeys.Add(key, struct{}{})
	}
	return nil, "", last
}

// mayTryNext reports whether another executor can do better.
func mayTryNext(err error, rule config.Rule) bool {
	ae := apierr.From(err)
	if !ae.Retryable || ae.Kind == apierr.LogUnavailable {
		return false
	}
	return ae.Ran == apierr.NotRun || rule.Idempotent
}

// settleRan corrects the refusal when an executor that was lost may have run the
// call, or the deadline has passed.
func settleRan(ctx context.Context, err error, uncertain bool) error {
	ae := apierr.From(err)
	if uncertain && ae.Ran == apierr.NotRun {
		return apierr.New(apierr.OutcomeUnknown, apierr.RanUnknown, "an executor was lost while it had this request or an earlier one with the key", "repeat with the same key, or check with the service; don't send it again with a new key").WithCause(err)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && ae.Kind != apierr.DeadlineExceeded {
		return apierr.NewRetryable(apierr.DeadlineExceeded, ae.Ran, callRetryPause, "the deadline passed", "repeat with the same key and allow more time with "+headerDeadline).WithCause(err)
	}
	return err
}

func lostExecutor(x executor, sent bool, err error) error {
	if !sent {
		return apierr.NewRetryable(apierr.NoEndpoint, apierr.NotRun, retryAfterNoAgent, "agent "+x.agent+" could not be reached", "retry with the same key").WithCause(err)
	}
	return apierr.New(apierr.OutcomeUnknown, apierr.RanUnknown, "agent "+x.agent+" was lost while it had the request", "repeat with the same key, or check with the service; don't send it again with a new key").WithCause(err)
}

// callOnce asks one executor. When it returns an error, sent tells whether the
// executor may have received the call.
func (e *Entry) callOnce(ctx context.Context, call *serviceCall, x executor, rank int) (reply *rpc.CallReply, sent bool, err error) {
	req := call.req
	log.Info().Str("decision", "executor").Str("request", req.RequestId).Str("customer", req.Customer).Str("service", req.Service).
		Int64("config_version", req.ConfigVersion).Str("endpoint", x.endpoint).Str("agent", x.agent).Int("rank", rank).Int("candidates", len(call.executors)).Msg("executor chosen")
	client, _, err := e.agentClient(x.address)
	if err != nil {
		return nil, false, err
	}
	one := &rpc.CallRequest{
		RequestId: req.RequestId, AttemptId: uuid.NewString(), Customer: req.Customer, Service: req.Service, Endpoint: x.endpoint,
		Method: req.Method, Path: req.Path, Body: req.Body, ContentType: req.ContentType, IdempotencyKey: req.IdempotencyKey,
		NonIdempotent: req.NonIdempotent, DeadlineMs: max(1, (time.Until(call.deadline) - answerMargin).Milliseconds()),
		Resource: req.Resource, ConfigVersion: req.ConfigVersion, Priority: req.Priority,
	}
	var p peer.Peer // set once the call was given to a connection
	reply, err = client.Call(ctx, one, grpc.Peer(&p))
	if err == nil && (reply.AttemptId != one.AttemptId || reply.Customer != one.Customer) {
		e.m.foreign.Add(1)
		return nil, true, fmt.Errorf("agent %s answered another attempt", x.agent)
	}
	if err == nil {
		e.view.report(reply.Load)
	}
	return reply, p.Addr != nil, err
}

// openKeys are the keys whose last answer was unknown. A later refusal of the same
// key isn't told as not_run, since an earlier request may have run. Another entry
// doesn't know them; docs/callers.md says what not_run speaks of.
type openKeys = lru.Cache[claims.Hash, struct{}]

const maxOpenKeys = 10_000

func newOpenKeys() *openKeys {
	c, err := lru.New[claims.Hash, struct{}](maxOpenKeys)
	if err != nil {
		panic(err) // only for a size that isn't positive
	}
	return c
}
