package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/admission"
	"github.com/galenaweir/galenaweir/core/admission/fair"
	_ "github.com/galenaweir/galenaweir/core/admission/fifo" // plug-in
	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/rpc"
)

const (
	maxWaitingRequests = 1000 // per endpoint
	// maxEnginePrefillTokens limits the admitted prompt tokens that an engine has not
	// prefilled yet: at this number no further request is admitted. Requests that wait
	// in the gate can be ordered fairly, those that wait in the engine can't. A lower
	// limit leaves the engine idle between two prompts.
	maxEnginePrefillTokens = 4096
)

// AdmissionGate admits prompts to the engines in the order of the admission policy. A
// nil AdmissionGate admits every prompt at once.
type AdmissionGate struct {
	now func() time.Time

	mu     sync.Mutex
	queues map[string]*endpointQueue
}

// endpointQueue is the admission queue of one endpoint.
type endpointQueue struct {
	policyID             string // the policy's plug-in ID
	policy               admission.Policy
	waiting              map[*admission.Request]*queuedRequest // requests that wait for admission
	configuredFrom       *config.Document                      // document that the policy was last configured from
	running              map[*admission.Request]*queuedRequest // admitted requests
	pendingPrefillTokens int                                   // prompt tokens of admitted requests without a first frame
}

// queuedRequest is the gate's state of one request.
type queuedRequest struct {
	attemptID     string
	prefillTokens int           // prompt tokens, zero after the first frame
	admitted      chan struct{} // closed when the request is admitted
}

// NewAdmissionGate returns a gate without requests. now is the clock for its policies.
func NewAdmissionGate(now func() time.Time) *AdmissionGate {
	return &AdmissionGate{now: now, queues: map[string]*endpointQueue{}}
}

// queue returns the queue of the endpoint, configured from the document. A queue's
// policy is replaced only while the queue is empty.
func (g *AdmissionGate) queue(doc *config.Document, endpoint string) *endpointQueue {
	q := g.queues[endpoint]
	if q == nil || q.policyID != doc.Policies.Admission && len(q.waiting)+len(q.running) == 0 {
		p, err := kernel.New[admission.Policy](kernel.ID(doc.Policies.Admission))
		if err != nil {
			p = fair.New()
		}
		q = &endpointQueue{policyID: doc.Policies.Admission, policy: p, waiting: map[*admission.Request]*queuedRequest{}, running: map[*admission.Request]*queuedRequest{}}
		g.queues[endpoint] = q
	}
	if q.configuredFrom != doc {
		q.configuredFrom = doc
		e := doc.Endpoints[endpoint]
		m := doc.Models[e.Model]
		o := admission.Options{Slots: max(1, e.Slots), MaxWaiting: maxWaitingRequests, Classes: map[string]admission.Class{}}
		// The higher of the prefill and decode rates overestimates any mix of prompt and
		// output tokens, so that no request is refused because of a low estimate before
		// the rate has been measured.
		o.TokensPerSecond = m.PrefillTokensPerSecond / float64(o.Slots)
		if m.DecodeMsPerToken > 0 {
			o.TokensPerSecond = max(o.TokensPerSecond, 1000/m.DecodeMsPerToken)
		}
		for id, c := range doc.Priorities {
			o.Classes[id] = admission.Class{Rank: c.Rank, MinShare: c.MinShare, ReservedSlots: c.ReservedSlots}
		}
		q.policy.Configure(o)
	}
	return q
}

// Acquire waits until the request is admitted. If it returns no error, the caller must
// call release with the number of tokens that the request took; after an error,
// nothing has run. A resumed request, which already runs on the engine, is admitted at
// once.
func (g *AdmissionGate) Acquire(ctx context.Context, doc *config.Document, req *rpc.GenerateRequest) (release func(tokens int), err error) {
	if g == nil {
		return func(int) {}, nil
	}
	r := &admission.Request{
		Customer: req.Customer, Weight: max(doc.Customers[req.Customer].Weight, 0), Class: req.Priority,
		Tokens: prefix.EstimateTokens(req.Prompt) + int(req.MaxTokens),
	}
	if d, ok := ctx.Deadline(); ok {
		r.Deadline = g.now().Add(time.Until(d))
	}
	admitted, q, err := g.enqueue(doc, req, r)
	if err != nil {
		return nil, err
	}
	release = func(tokens int) { g.releaseRequest(q, r, tokens) }
	select {
	case <-admitted:
		return release, nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	delete(q.waiting, r)
	waiting := q.policy.Cancel(r)
	g.mu.Unlock()
	if !waiting { // admitted just before the cancellation
		release(0)
	}
	return nil, context.Cause(ctx)
}

// enqueue offers the request to the policy and returns a channel that is closed when the
// request is admitted.
func (g *AdmissionGate) enqueue(doc *config.Document, req *rpc.GenerateRequest, r *admission.Request) (<-chan struct{}, *endpointQueue, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queue(doc, req.Endpoint)
	queued := &queuedRequest{attemptID: req.AttemptId, prefillTokens: int(req.PrefillTokens), admitted: make(chan struct{})}
	if req.Resume {
		q.policy.ForceStart(r, g.now())
		queued.prefillTokens = 0
		q.running[r] = queued
		close(queued.admitted)
		return queued.admitted, q, nil
	}
	o := q.policy.Enqueue(r, g.now())
	if o.Outcome != admission.Accepted {
		load := q.policy.Load()
		log.Info().Str("decision", "refuse").Str("request", req.RequestId).Str("customer", r.Customer).Str("endpoint", req.Endpoint).
			Str("class", r.Class).Int("tokens", r.Tokens).Int("running", load.Running).Int("waiting", load.Waiting).
			Int("queued_tokens", load.QueuedTokens).Dur("start", o.EstimatedWait).Dur("retry_after", o.RetryAfter).Msg("admission")
		return nil, nil, rejectionError(o, req.Endpoint, load)
	}
	q.waiting[r] = queued
	q.admitReady(g.now())
	return queued.admitted, q, nil
}

// rejectionError returns the error for a request that the policy rejected.
func rejectionError(o admission.Decision, endpoint string, load admission.Load) error {
	if o.Outcome == admission.RejectedLate {
		return apierr.NewRetryable(apierr.DeadlineUnmet, apierr.NotRun, o.RetryAfter, fmt.Sprintf("endpoint %s would start the request in %s, after its deadline", endpoint, o.EstimatedWait.Round(time.Millisecond)), "retry later, or allow more time with Galenaweir-Deadline-Ms")
	}
	return apierr.NewRetryable(apierr.Overloaded, apierr.NotRun, o.RetryAfter, fmt.Sprintf("%d requests are waiting for endpoint %s", load.Waiting, endpoint), "retry later; another endpoint is tried")
}

// admitReady admits requests until the policy has none to admit or
// maxEnginePrefillTokens is reached.
func (q *endpointQueue) admitReady(now time.Time) {
	for q.pendingPrefillTokens < maxEnginePrefillTokens {
		r := q.policy.Next(now)
		if r == nil {
			return
		}
		queued, ok := q.waiting[r]
		if !ok {
			queued = &queuedRequest{}
		}
		q.running[r] = queued
		q.pendingPrefillTokens += queued.prefillTokens
		if ok {
			delete(q.waiting, r)
			close(queued.admitted)
		}
	}
}

// FirstFrameReceived must be called when the engine has sent the attempt's first frame:
// its prompt no longer counts towards maxEnginePrefillTokens.
func (g *AdmissionGate) FirstFrameReceived(endpoint, attempt string) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queues[endpoint]
	if q == nil {
		return
	}
	for _, queued := range q.running {
		if queued.attemptID == attempt {
			q.pendingPrefillTokens -= queued.prefillTokens
			queued.prefillTokens = 0
		}
	}
	q.admitReady(g.now())
}

// releaseRequest releases an admitted request. Further calls for the same request have no
// effect.
func (g *AdmissionGate) releaseRequest(q *endpointQueue, r *admission.Request, tokens int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	queued, ok := q.running[r]
	if !ok {
		return
	}
	delete(q.running, r)
	q.pendingPrefillTokens -= queued.prefillTokens
	q.policy.Done(r, tokens, g.now())
	q.admitReady(g.now())
}

// Load returns the endpoint's load, or false if the gate has seen no request for it.
func (g *AdmissionGate) Load(endpoint string) (admission.Load, bool) {
	if g == nil {
		return admission.Load{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queues[endpoint]
	if q == nil {
		return admission.Load{}, false
	}
	return q.policy.Load(), true
}
