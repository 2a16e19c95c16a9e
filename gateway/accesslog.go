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

// refuse sends an error response that this process generates. Once the response header
// has been sent, it closes the connection to show that the response is incomplete.
func (q *request) refuse(e *apierr.Error) {
	q.accessLog.err = e
	q.g.refusals.Add(string(e.Kind), 1)
	if q.headerSent {
		q.abort(e.Message)
	}
	if e.Kind == apierr.Cancelled {
		panic(http.ErrAbortHandler)
	}
	q.discardBody()
	q.closeWhileDraining()
	body := errorBody{Kind: e.Kind, Ran: e.Ran, Message: e.Message, Remedy: e.Remedy, RetryAfterMs: e.RetryAfter.Milliseconds(), RequestID: q.call.ID}
	data, err := json.Marshal(map[string]errorBody{"error": body})
	if err != nil {
		panic(err) // every value of the type can be encoded
	}
	h := q.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	if e.Retryable {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(e.RetryAfter.Seconds()*1000)/1000, 'f', -1, 64))
	}
	if e.Kind == apierr.StaleReplica || e.Kind == apierr.NotReady {
		h.Set("Connection", "close") // a new connection may reach another entry
	}
	q.accessLog.status = e.Kind.Status()
	q.w.WriteHeader(q.accessLog.status)
	_, _ = q.w.Write(data) // the caller may have disconnected
}

// accessLog holds the fields of a request's access log line.
type accessLog struct {
	configVersion  int64
	configAge      time.Duration
	attempts       []attemptLog
	candidates     int                   // endpoints of the service at the last placement; the next seven count subsets
	usable         int                   // could accept the request
	emptying       int                   // accepted no long prompts
	outdated       int                   // had older weights than the named version
	excluded       int                   // were not allowed, other than by an earlier attempt
	overLimit      int                   // had no room in the limits that they named
	paused         int                   // had asked for no requests for some time
	tried          int                   // had an earlier attempt of this request
	held           int                   // may not get the request because of a held part of its prompt
	build          string                // of the stream that is taken up, if an endpoint of it is listed
	ofBuild        int                   // endpoints of that build
	bestWait       time.Duration         // expected at the endpoint that the last placement chose
	waited         time.Duration         // in the line
	heldParts      []forward.SuspectPart // for which the request was refused
	status         int
	bytes          int64
	firstByteDelay time.Duration
	aborted        string
	bodyRead       bool // the request has been read whole
	err            *apierr.Error
	second         secondAttemptLog
}

// countCandidates records how many candidates the last placement had, by state.
func (l *accessLog) countCandidates(cs []forward.Candidate, tried map[string]bool) {
	l.candidates, l.usable, l.emptying, l.outdated, l.excluded, l.overLimit, l.paused, l.tried = len(cs), 0, 0, 0, 0, 0, 0, 0
	for _, c := range cs {
		l.usable += boolInt(c.Usable && !c.Excluded && !c.OverLimit)
		l.overLimit += boolInt(c.OverLimit)
		l.paused += boolInt(c.PausedUntil > 0)
		l.emptying += boolInt(c.AvoidLongRunning)
		l.outdated += boolInt(c.Outdated)
		l.tried += boolInt(tried[c.Endpoint.ID])
		l.excluded += boolInt(c.Excluded && !tried[c.Endpoint.ID])
	}
}

// countBuild records the endpoints of the build that began the stream which is taken up.
func (l *accessLog) countBuild(cs []forward.Candidate, build uint64) {
	l.ofBuild = 0
	for _, c := range cs {
		if forward.BuildKey(c.Endpoint.Build) == build {
			l.build = c.Endpoint.Build
			l.ofBuild++
		}
	}
}

type attemptLog struct {
	placement *placement
	err       *exchangeError
	duration  time.Duration
}

// writeAccessLog writes the access log line of the request and records its durations.
func (q *request) writeAccessLog() {
	if q.shed {
		return // requests_shed counts it; a line for each would take the time that is lacking
	}
	total := q.g.clock() - q.arrivedAt
	if q.route != nil {
		q.g.durations.Observe(q.route.Name, total)
		if q.accessLog.firstByteDelay > 0 {
			q.g.firstByteDurations.Observe(q.route.Name, q.accessLog.firstByteDelay)
		}
	}
	e := log.Info().Str("event", "request").Str("request", q.call.ID).Int("status", q.accessLog.status).Dur("total_ms", total).
		Dur("first_byte_ms", q.accessLog.firstByteDelay).Int64("config", q.accessLog.configVersion).Dur("config_age_ms", q.accessLog.configAge).Int64("bytes", q.accessLog.bytes)
	if q.route != nil {
		e = e.Str("route", q.route.Name)
	}
	if q.customer != nil {
		e = e.Str("customer", q.customer.Name)
	}
	if q.call.Prompt != nil {
		e = e.Int("prompt_tokens", q.call.Prompt.Tokens)
		if q.scheduling.RankedQueues || q.scheduling.WaitingLine {
			e = e.Int("rank", q.rank)
		}
	}
	if q.call.LastEventID != "" {
		e = e.Str("resumes", q.call.Resumes).Str("last_event", q.call.LastEventID).Str("build", q.accessLog.build).Int("of_build", q.accessLog.ofBuild)
	}
	if l := q.accessLog; l.candidates > 0 {
		e = e.Int("endpoints", l.candidates).Int("usable", l.usable).Int("emptying", l.emptying).Int("outdated", l.outdated).Int("excluded", l.excluded).Int("over_limit", l.overLimit).Int("paused", l.paused).Int("tried", l.tried)
	}
	if q.accessLog.waited > 0 {
		e = e.Dur("waited_ms", q.accessLog.waited)
	}
	if q.accessLog.held > 0 {
		e = e.Int("held", q.accessLog.held)
	}
	for i := range q.accessLog.heldParts {
		p, n := &q.accessLog.heldParts[i], strconv.Itoa(i+1)
		crashes, witnesses := describeTrials(p)
		e = e.Str("held_part_"+n, p.Name).Str("held_key_"+n, partKeyText(p.Key)).Strs("held_crashes_"+n, crashes).Strs("held_entries_"+n, witnesses)
	}
	for i, a := range q.accessLog.attempts {
		n := strconv.Itoa(i + 1)
		e = e.Str("endpoint_"+n, a.placement.endpoint.ID).Str("build_"+n, a.placement.endpoint.Build).Dur("expected_ms_"+n, a.placement.choice.ExpectedWait).Int("cached_"+n, a.placement.choice.CachedTokens).Int("fetched_"+n, a.placement.choice.FetchedTokens).Int("read_"+n, a.placement.choice.RecomputedTokens).
			Bool("suspect_"+n, a.placement.choice.Suspect).Dur("took_ms_"+n, a.duration)
		if a.placement.choice.Version > 0 {
			e = e.Int64("weights_"+n, a.placement.choice.Version)
		}
		if a.placement.outcome.Late() {
			e = e.Str("late_"+n, lateReasons[a.placement.outcome])
		}
		if a.placement.outdatedFor > 0 {
			e = e.Dur("outdated_ms_"+n, a.placement.outdatedFor)
		}
		if a.placement.limit != forward.Unlimited {
			e = e.Float64("limit_"+n, a.placement.limit)
		}
		if a.placement.second {
			e = e.Bool("second_"+n, true)
		}
		if a.err != nil {
			e = e.Bool("not_run_"+n, a.err.notRun).Bool("sent_"+n, a.err.sent).Str("failure_"+n, a.err.Error())
		}
	}
	e = q.accessLog.second.write(e)
	e = q.bytes.logFields(e)
	if q.accessLog.aborted != "" {
		e = e.Str("aborted", q.accessLog.aborted)
	}
	if x := q.accessLog.err; x != nil {
		e = e.Str("kind", string(x.Kind)).Str("ran", string(x.Ran)).Dur("retry_after_ms", x.RetryAfter).Dur("best_wait_ms", q.accessLog.bestWait).Str("reason", x.Message)
		if x.Kind == apierr.Cancelled { // ends without an answer
			e = e.Str("caller", q.r.RemoteAddr).Bool("body_read", q.accessLog.bodyRead).Dur("time_left_ms", remaining(q.deadline, q.g.clock())).AnErr("cause", x.Cause)
		}
	}
	e.Msg("request ended")
}
