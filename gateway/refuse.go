package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/forward"
)

type errorBody struct {
	Kind         apierr.Kind `json:"kind"`
	Ran          apierr.Ran  `json:"ran"`
	Message      string      `json:"message"`
	Remedy       string      `json:"remedy,omitempty"`
	RetryAfterMs int64       `json:"retry_after_ms,omitempty"`
	RequestID    string      `json:"request_id,omitempty"`
}

// refuse sends an error of this process's own. Once the answer has begun, only the
// end of the connection shows that it is not complete.
func (q *request) refuse(e *apierr.Error) {
	q.line.err = e
	q.g.refusals.Add(string(e.Kind), 1)
	if q.started {
		q.abort(e.Message)
	}
	if e.Kind == apierr.Cancelled {
		panic(http.ErrAbortHandler)
	}
	body := errorBody{Kind: e.Kind, Ran: e.Ran, Message: e.Message, Remedy: e.Remedy, RetryAfterMs: e.RetryAfter.Milliseconds(), RequestID: q.call.ID}
	data, err := json.Marshal(map[string]errorBody{"error": body})
	if err != nil {
		panic(err) // the type has no value that can't be encoded
	}
	h := q.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	if e.Retryable {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(e.RetryAfter.Seconds()*1000)/1000, 'f', -1, 64))
	}
	if e.Kind == apierr.StaleReplica || e.Kind == apierr.NotReady {
		h.Set("Connection", "close") // a new connection reaches another entry
	}
	q.line.status = e.Kind.Status()
	q.w.WriteHeader(q.line.status)
	_, _ = q.w.Write(data) // the caller may have left
}

// line collects the decision line of a request.
type line struct {
	configVersion int64
	configAge     time.Duration
	attempts      []attemptLine
	candidates    int // endpoints of the service at the last placement, and how many of them
	usable        int // could take the request
	emptying      int // got no long prompts
	outdated      int // had older weights than were named
	excluded      int // were not allowed to take it
	tried         int // had been asked before
	status        int
	bytes         int64
	firstByte     time.Duration
	aborted       string
	err           *apierr.Error
}

// count records the endpoints that the last placement could choose from.
func (l *line) count(cs []forward.Candidate, tried map[string]bool) {
	l.candidates, l.usable, l.emptying, l.outdated, l.excluded, l.tried = len(cs), 0, 0, 0, 0, 0
	for _, c := range cs {
		l.usable += boolInt(c.Usable && !c.Excluded)
		l.emptying += boolInt(c.AvoidLongRunning)
		l.outdated += boolInt(c.Outdated)
		l.tried += boolInt(tried[c.Endpoint.ID])
		l.excluded += boolInt(c.Excluded && !tried[c.Endpoint.ID])
	}
}

type attemptLine struct {
	p    *placement
	err  *exchangeError
	took time.Duration
}

// log writes the decision line of the request.
func (q *request) log() {
	total := q.g.clock() - q.arrived
	if q.route != nil {
		q.g.durations.Observe(q.route.Name, total)
		if q.line.firstByte > 0 {
			q.g.firstBytes.Observe(q.route.Name, q.line.firstByte)
		}
	}
	e := log.Info().Str("event", "request").Str("request", q.call.ID).Int("status", q.line.status).Dur("total_ms", total).
		Dur("first_byte_ms", q.line.firstByte).Int64("config", q.line.configVersion).Dur("config_age_ms", q.line.configAge).Int64("bytes", q.line.bytes)
	if q.route != nil {
		e = e.Str("route", q.route.Name)
	}
	if q.customer != nil {
		e = e.Str("customer", q.customer.Name)
	}
	if q.call.Prompt != nil {
		e = e.Int("prompt_tokens", q.call.Prompt.Tokens)
	}
	if l := q.line; l.candidates > 0 {
		e = e.Int("endpoints", l.candidates).Int("usable", l.usable).Int("emptying", l.emptying).Int("outdated", l.outdated).Int("excluded", l.excluded).Int("tried", l.tried)
	}
	for i, a := range q.line.attempts {
		n := strconv.Itoa(i + 1)
		e = e.Str("endpoint_"+n, a.p.endpoint.ID).Dur("expected_ms_"+n, a.p.choice.ExpectedWait).Int("cached_"+n, a.p.choice.CachedTokens).Int("fetched_"+n, a.p.choice.FetchedTokens).Int("read_"+n, a.p.choice.Read).
			Bool("suspect_"+n, a.p.choice.Suspect).Dur("took_ms_"+n, a.took)
		if a.err != nil {
			e = e.Bool("not_run_"+n, a.err.notRun).Bool("sent_"+n, a.err.sent).Str("failure_"+n, a.err.Error())
		}
	}
	if q.line.aborted != "" {
		e = e.Str("aborted", q.line.aborted)
	}
	if x := q.line.err; x != nil {
		e = e.Str("kind", string(x.Kind)).Str("ran", string(x.Ran)).Dur("retry_after_ms", x.RetryAfter).Str("reason", x.Message)
	}
	e.Msg("request ended")
}
