package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"
	"google.golang.org/grpc"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/routing"
	"github.com/galenaweir/galenaweir/core/stream"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
)

// prompt is one request of a caller for generated text.
type prompt struct {
	id           string
	customer     string
	conversation string
	model        string
	text         string
	maxTokens    int
	priority     string
	deadline     time.Time
	state        *node.ConfigState
	charged      int  // tokens taken from the customer's limit
	asked        bool // the directory was asked for hints
	hints        []*rpc.ContextLocation
}

// sink receives the answer of a prompt.
type sink interface {
	start(s *rpc.Start) error
	text(t string) error
}

// Limits of the attempts for one prompt.
const (
	maxEndpointsTried = 4
	maxStreamResumes  = 6
	avoidTime         = 2 * time.Second // an endpoint that refused or failed
	cancelTimeout     = time.Second
	resumePause       = 20 * time.Millisecond // doubles with each failure in a row
)

var errSilent = errors.New("the agent's stream went silent")

// relay runs the prompt and returns its end frame. Text that was passed to the
// sink is never repeated.
func (e *Entry) relay(ctx context.Context, p *prompt, out sink) (*rpc.End, error) {
	ctx, cancel := context.WithDeadline(ctx, p.deadline)
	defer cancel()
	skip := map[string]bool{}
	var last error
	for range maxEndpointsTried {
		end, endpoint, err := e.attempt(ctx, p, out, skip)
		if err == nil {
			e.settle(p, end, nil)
			return end, nil
		}
		last = err
		ae := apierr.From(err)
		if endpoint == "" || ae.Ran != apierr.NotRun || !ae.Retryable || ctx.Err() != nil {
			break
		}
		skip[endpoint] = true
		e.view.avoidFor(endpoint, time.Now().Add(avoidTime))
	}
	e.settle(p, nil, last)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && !apierr.Is(last, apierr.DeadlineExceeded) {
		last = apierr.New(apierr.DeadlineExceeded, apierr.From(last).Ran, "the deadline passed", "allow more time with Galenaweir-Deadline-Ms").WithCause(last)
	}
	return nil, last
}

// attempt routes the prompt once and follows the attempt to its end.
func (e *Entry) attempt(ctx context.Context, p *prompt, out sink, skip map[string]bool) (*rpc.End, string, error) {
	e.lookup(ctx, p)
	endpoint, address, err := e.route(p, skip)
	if err != nil {
		return nil, "", err
	}
	a := &follower{e: e, p: p, out: out, address: address}
	a.req = &rpc.GenerateRequest{
		RequestId: p.id, AttemptId: uuid.NewString(), Customer: p.customer, Endpoint: endpoint, Model: p.model,
		Conversation: p.conversation, Prompt: p.text, MaxTokens: uint32(p.maxTokens), Priority: p.priority,
		ConfigVersion: p.state.Version,
	}
	a.check = stream.NewChecker(a.req.AttemptId, p.customer)
	end, err := a.run(ctx)
	if err != nil {
		a.cancelRemote()
	}
	return end, endpoint, err
}

// route chooses an endpoint and logs the decision with its inputs.
func (e *Entry) route(p *prompt, skip map[string]bool) (endpoint, address string, err error) {
	doc := p.state.Doc
	m := doc.Models[p.model]
	cs := e.view.candidates(doc, e.o.Members, p.model, skip, time.Now())
	req := &routing.Request{
		Customer: p.customer, Conversation: p.conversation, Priority: p.priority,
		PromptTokens: max(1, len(p.text)/4), MaxTokens: p.maxTokens, PrefillRate: m.PrefillTokensPerSecond,
		DecodeMs: m.DecodeMsPerToken, KVBytesPerToken: m.KVBytesPerToken,
	}
	applyHints(cs, p.hints, m.WeightVersion, req.PromptTokens)
	e.rngMu.Lock()
	choice := e.o.Routing.Choose(req, cs, e.rng)
	e.rngMu.Unlock()
	if choice.Index < 0 {
		return "", "", apierr.Retry(apierr.NoEndpoint, apierr.NotRun, time.Second, fmt.Sprintf("no endpoint of model %q is free to take the request", p.model), "retry; operators: look at the members and the rollout")
	}
	c := cs[choice.Index]
	mem, _ := e.o.Members.Get(c.Agent)
	e.view.chose(c.Endpoint, req.PromptTokens)
	log.Info().Str("decision", "route").Str("request", p.id).Str("customer", p.customer).Str("model", p.model).
		Int64("config_version", p.state.Version).Int("prompt_tokens", req.PromptTokens).
		Str("endpoint", c.Endpoint).Dur("estimate", choice.Estimate).Any("candidates", cs).Msg("routed")
	return c.Endpoint, mem.Address, nil
}

// follower follows one attempt over as many connections as it takes.
type follower struct {
	e       *Entry
	p       *prompt
	out     sink
	address string
	req     *rpc.GenerateRequest
	check   *stream.Checker
	end     *rpc.End
}

// run returns the end frame when the answer is whole.
func (f *follower) run(ctx context.Context) (*rpc.End, error) {
	failures := 0
	for {
		before := f.check.Next()
		err := f.once(ctx)
		if f.check.Whole() {
			return f.end, nil
		}
		var ae *apierr.Error
		if errors.As(err, &ae) {
			return nil, err
		}
		if ctx.Err() != nil {
			return nil, f.gaveUp(ctx.Err())
		}
		if f.check.Next() > before {
			failures = 0
		}
		failures++
		if failures > maxStreamResumes {
			return nil, f.gaveUp(err)
		}
		f.e.resumes.Add(1)
		log.Warn().Str("request", f.p.id).Str("attempt", f.req.AttemptId).Str("endpoint", f.req.Endpoint).
			Uint64("seq", f.check.Next()).Err(err).Msg("stream resumed on a new connection")
		f.req.Resume, f.req.ResumeSeq = true, f.check.Next()
		if !sleep(ctx, resumePause<<(failures-1)) {
			return nil, f.gaveUp(ctx.Err())
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// gaveUp describes an attempt whose end is not known.
func (f *follower) gaveUp(cause error) error {
	ran := apierr.Unknown
	if f.check.Next() > 0 {
		ran = apierr.DidRun
	}
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		return apierr.New(apierr.DeadlineExceeded, ran, "the deadline passed", "allow more time with Galenaweir-Deadline-Ms").WithCause(cause)
	case errors.Is(cause, context.Canceled):
		return apierr.New(apierr.Cancelled, ran, "the caller went away", "send the request again if its answer is still wanted").WithCause(cause)
	}
	return apierr.Retry(apierr.EndpointFailed, ran, time.Second, "the agent before endpoint "+f.req.Endpoint+" can't be reached", "retry").WithCause(cause)
}

// once follows the attempt over one connection until it ends or goes silent.
func (f *follower) once(ctx context.Context) error {
	client, conn, err := f.e.agentClient(f.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(f.e.o.SilenceLimit, func() { cancel(errSilent) })
	defer watchdog.Stop()
	f.req.DeadlineMs = time.Until(f.p.deadline).Milliseconds()
	s, err := client.Generate(ctx, f.req)
	if err == nil {
		err = f.receive(s, watchdog)
	}
	if errors.Is(context.Cause(ctx), errSilent) {
		f.renew(conn)
		return errSilent
	}
	return err
}

func (f *follower) renew(silent *grpc.ClientConn) {
	if _, err := f.e.o.Pool.Renew(f.address, silent); err != nil {
		log.Error().Err(err).Str("address", f.address).Msg("new connection failed")
	}
}

func (f *follower) receive(s grpc.ServerStreamingClient[rpc.Frame], watchdog *time.Timer) error {
	for {
		fr, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return errors.New("the stream ended without its end frame")
		}
		if err != nil {
			return err
		}
		watchdog.Reset(f.e.o.SilenceLimit)
		if err := f.accept(fr); err != nil || f.check.Whole() {
			return err
		}
	}
}

// accept checks a frame and passes its text on.
func (f *follower) accept(fr *rpc.Frame) error {
	if fr.GetKeepAlive() != nil {
		return nil
	}
	if fr.AttemptId != f.req.AttemptId || fr.Customer != f.p.customer {
		f.e.foreign.Add(1)
		return nil
	}
	f.e.view.report(fr.Load, time.Now())
	var v stream.Verdict
	switch b := fr.Body.(type) {
	case *rpc.Frame_Error:
		return rpc.DecodeError(b.Error)
	case *rpc.Frame_End:
		v = f.check.End(fr.AttemptId, fr.Customer, fr.Seq, b.End.LengthBytes)
		f.end = b.End
	default:
		v = f.check.Frame(fr.AttemptId, fr.Customer, fr.Seq, len(fr.GetToken().GetText()))
	}
	switch v {
	case stream.Accept:
		return f.pass(fr)
	case stream.Gap:
		return fmt.Errorf("frame %d came, %d was expected", fr.Seq, f.check.Next())
	}
	return nil
}

func (f *follower) pass(fr *rpc.Frame) error {
	var err error
	switch b := fr.Body.(type) {
	case *rpc.Frame_Start:
		err = f.out.start(b.Start)
	case *rpc.Frame_Token:
		err = f.out.text(b.Token.Text)
	}
	if err != nil {
		return apierr.New(apierr.Cancelled, apierr.DidRun, "the caller went away", "send the request again if its answer is still wanted").WithCause(err)
	}
	return nil
}

// cancelRemote frees the engine after the attempt has been given up.
func (f *follower) cancelRemote() {
	client, _, err := f.e.agentClient(f.address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if _, err := client.Cancel(ctx, &rpc.CancelRequest{AttemptId: f.req.AttemptId, Customer: f.p.customer}); err != nil {
		log.Debug().Err(err).Str("attempt", f.req.AttemptId).Msg("cancel at the agent failed; the attempt ends by itself")
	}
}
