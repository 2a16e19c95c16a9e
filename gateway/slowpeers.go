package gateway

import (
	"errors"
	"io"
	"net/http"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/forward"
)

// excusesEndpoint reports whether the end of an attempt says nothing about the endpoint: this process
// ended it, or the endpoint cut a response that was not read because of the caller.
func (q *request) excusesEndpoint(x *exchangeError) bool {
	b := q.bytes
	if b == nil || x == nil || x.notRun {
		return false
	}
	if b.isEnded() || errors.Is(x, errNoBytes) {
		return true
	}
	return x.brokeOff() && b.blocked-b.blockedBefore >= forward.MinStall
}

// bytesError returns the error of a request that can't go on because of the budget, or whose endpoint
// cut a response that the caller did not read; nil for other errors.
func (q *request) bytesError(cause error) *apierr.Error {
	b := q.bytes
	if b == nil {
		return nil
	}
	var x *exchangeError
	ended := b.isEnded()
	if !ended && q.r.Context().Err() != nil {
		return nil // the caller has left
	}
	switch {
	case ended || errors.Is(cause, errNoBytes):
	case errors.As(cause, &x) && q.excusesEndpoint(x):
		return apierr.New(apierr.OutcomeUnknown, apierr.RanUnknown, "the endpoint cut the response while the caller did not read it", "read the response without pauses").WithCause(cause)
	default:
		return nil
	}
	if !q.accessLog.bodyRead && (q.bodyBegun || q.r.Header.Get("Expect") != "") {
		q.w.Header().Set("Connection", "close") // net/http would wait for the rest of the body, or ask for it
	}
	q.w = b.plain // an ended request still gets its error
	switch {
	case !q.notRun():
		return apierr.New(apierr.OutcomeUnknown, apierr.RanUnknown, "this entry ended the request, as its memory for buffered bytes is used up", "find out whether it took effect before sending it again").WithCause(cause)
	case errors.Is(cause, errBytesTooMany):
		return apierr.New(apierr.TooLarge, apierr.NotRun, "the body is longer than one request may hold at this entry", "send a shorter body, or have the operators raise heldBytesMb").WithCause(cause)
	case ended:
		return apierr.NewRetryable(apierr.Overloaded, apierr.NotRun, busyRetryAfter, "the request made no progress and this entry's memory for buffered bytes is used up", "send the request again and its body without pauses").WithCause(cause)
	}
	return apierr.NewRetryable(apierr.Overloaded, apierr.NotRun, busyRetryAfter, "this entry's memory for buffered bytes is used up", "send the request again later").WithCause(cause)
}

// trackedWriter writes a response and records the progress of its caller.
type trackedWriter struct {
	http.ResponseWriter
	b *requestBytes
}

// Unwrap is used by http.ResponseController.
func (w *trackedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *trackedWriter) WriteHeader(status int) {
	w.b.h.mu.Lock()
	w.b.headSent = true
	w.b.h.mu.Unlock()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter. It fails if the request has been ended: a write that begins
// after that would not be woken.
func (w *trackedWriter) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(len(p), written+progressBytes)]
		var n int
		err := w.track(func() (err error) {
			n, err = w.ResponseWriter.Write(piece)
			return err
		})
		written += n
		if err != nil || written >= len(p) {
			return written, err
		}
	}
}

// FlushError is used by http.ResponseController.
func (w *trackedWriter) FlushError() error {
	return w.track(func() error { return http.NewResponseController(w.ResponseWriter).Flush() })
}

func (w *trackedWriter) track(write func() error) error {
	if w.b.isEnded() {
		return errNoBytes
	}
	startedAt := w.b.h.clock()
	w.b.beginWait()
	err := write()
	w.b.endWait(err == nil)
	w.b.blocked += w.b.h.clock() - startedAt
	return err
}

// trackedBody reads a request body and reserves room for it before it is read.
type trackedBody struct {
	r     io.Reader
	b     *requestBytes
	read  int64
	known bool // room is reserved for the stated length
}

// trackBody returns the reader of the request's body.
func (q *request) trackBody() io.Reader {
	if q.bytes == nil {
		return q.r.Body
	}
	return &trackedBody{r: q.r.Body, b: q.bytes, known: q.r.ContentLength > 0}
}

// Read implements io.Reader. The reservation includes the rest of the buffer that p is part of.
func (t *trackedBody) Read(p []byte) (int, error) {
	if !t.known {
		if err := t.b.holdBody(t.read + int64(len(p))); err != nil {
			return 0, err
		}
	}
	t.b.setReadsBody(true)
	t.b.beginWait()
	n, err := t.r.Read(p)
	t.b.endWait(n > 0)
	t.b.setReadsBody(false)
	t.read += int64(n)
	return n, err
}

func (b *requestBytes) setReadsBody(reads bool) {
	b.h.mu.Lock()
	defer b.h.mu.Unlock()
	b.readsBody = reads
}

// maxBuffered returns the size up to which a response is buffered: a buffer that grows takes up to
// twice its contents.
func (b *requestBytes) maxBuffered() int64 {
	if b == nil {
		return maxBufferedBytes
	}
	room := b.h.budget.MaxPerConnection() - b.body
	return min(maxBufferedBytes, max(room/2-progressBytes, 0))
}

// trackResponse returns a reader for a response that is read into a buffer: it reserves room for the
// buffer before it reads.
func (b *requestBytes) trackResponse(r io.Reader) io.Reader {
	if b == nil {
		return r
	}
	return &trackedResponse{r: r, b: b}
}

type trackedResponse struct {
	r    io.Reader
	b    *requestBytes
	read int
}

// Read implements io.Reader.
func (t *trackedResponse) Read(p []byte) (int, error) {
	if err := t.b.holdResponse(t.read + len(p)); err != nil {
		return 0, err
	}
	n, err := t.r.Read(p)
	t.read += n
	return n, err
}

// writeTo sends an encoded request to an endpoint, and records the endpoint's progress.
func (m *wireRequest) writeTo(w io.Writer, data []byte) (int, error) {
	if m.bytes == nil {
		return w.Write(data)
	}
	written := 0
	for {
		m.bytes.beginWait()
		n, err := w.Write(data[written:min(len(data), written+progressBytes)])
		m.bytes.endWait(n > 0)
		written += n
		if err != nil || written >= len(data) {
			return written, err
		}
	}
}
