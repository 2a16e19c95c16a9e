package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"unicode"

	"github.com/galenaweir/galenaweir/core/forward"
)

// Buffer sizes for relaying a stream.
const (
	relayBufferBytes = 4096
	maxEventBytes    = 1 << 20

	maxSeparatorBytes = len("\r\n\r\n") // between two events
)

var errTruncatedEvent = errors.New("the stream ended in the middle of an event")

// isEventStream reports whether a response is a stream of events. One of a stream's route without a
// content type counts as such.
func (q *request) isEventStream(resp *response) bool {
	if q.route.Kind != forward.Stream || resp.httpResp.StatusCode != http.StatusOK {
		return false
	}
	stated := resp.httpResp.Header.Get("Content-Type")
	mediaType, _, _ := strings.Cut(stated, ";")
	return stated == "" || strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// relay forwards the events of a stream as they arrive. It forwards only complete events,
// so that another endpoint can resume after the last one.
func (q *request) relay(resp *response, p *placement) *exchangeError {
	events := eventBuffer{held: q.g.buffers.newBuffer()}
	defer events.held.release()
	resumes := q.headerSent
	q.relays = true
	buf := make([]byte, relayBufferBytes)
	for {
		if err := q.bytes.holdResponse(relayBufferBytes + cap(events.pending)); err != nil {
			return q.streamError(err)
		}
		n, err := resp.Read(buf)
		complete, full := events.add(buf[:n])
		if full != nil {
			return q.streamError(full)
		}
		if len(complete) > 0 {
			if resumes {
				begun, err := checkContinuation(complete, q.lastEventID)
				if err != nil {
					return q.streamError(err)
				}
				resumes = !begun
			}
			if p.events == 0 {
				q.recordSound(p)
			}
			p.events += countEvents(complete)
			q.recordFirstEvent(p)
			if err := q.bindTo(p); err != nil {
				return &exchangeError{sent: true, err: err}
			}
			if werr := q.forwardEvents(resp, complete); werr != nil {
				return nil // the caller has disconnected
			}
			events.remove(len(complete))
		}
		switch {
		case err == io.EOF && len(events.pending) == 0:
			if !q.headerSent {
				q.writeHeader(resp, -1)
			}
			return nil
		case err == io.EOF:
			resp.bodyComplete = false
			return q.streamError(errTruncatedEvent)
		case err != nil:
			return q.streamError(err)
		case len(events.pending) > maxEventBytes:
			return q.streamError(fmt.Errorf("an event is longer than %d bytes", maxEventBytes))
		}
	}
}

func (q *request) streamError(err error) *exchangeError {
	return &exchangeError{sent: true, err: fmt.Errorf("the stream broke off: %w", err)}
}

func (q *request) forwardEvents(resp *response, events []byte) error {
	if !q.headerSent {
		q.writeHeader(resp, -1)
	}
	if id := lastEventID(events); id != "" {
		q.lastEventID = id
	}
	q.accessLog.bytes += int64(len(events))
	if _, err := q.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(q.w).Flush()
}

// recordFirstEvent records at the first event that the endpoint has finished the prefill.
func (q *request) recordFirstEvent(p *placement) {
	if p.work.Started {
		return
	}
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpointState(p.endpoint.ID).load.RecordFirstEvent(&p.work)
	s.recordBeginning(p)
	s.observeFetch(p, s.clock())
}

// eventBuffer holds the bytes of a stream until their event is complete.
type eventBuffer struct {
	pending []byte
	held    *responseBuffer // nil for no bound
}

// add appends bytes and returns the complete events. It searches only the new bytes, and those
// before in which a separator may have begun: an event may arrive in many pieces. It returns an error
// if there is no room for the bytes.
func (b *eventBuffer) add(p []byte) ([]byte, error) {
	if err := b.grow(len(b.pending) + len(p)); err != nil {
		return nil, err
	}
	searched := max(len(b.pending)-maxSeparatorBytes+1, 0)
	b.pending = append(b.pending, p...)
	end := completeEventsLen(b.pending[searched:])
	if end == 0 {
		return nil, nil
	}
	return b.pending[:searched+end], nil
}

// grow makes room for n bytes in all.
func (b *eventBuffer) grow(n int) error {
	if n <= cap(b.pending) {
		return nil
	}
	size := max(2*cap(b.pending), n)
	if !b.held.resize(size) {
		return errResponseBuffersFull
	}
	b.pending = append(make([]byte, 0, size), b.pending...)
	return nil
}

// remove removes events that were returned by add. A buffer that has grown for a long event isn't kept.
func (b *eventBuffer) remove(n int) {
	if n == len(b.pending) && cap(b.pending) > freeResponseBytes {
		b.pending = nil
		b.held.release()
		return
	}
	b.pending = append(b.pending[:0], b.pending[n:]...)
}

// completeEventsLen returns the length of the complete events at the start of b.
func completeEventsLen(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + len("\n\n")
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+len("\r\n\r\n"))
	}
	return end
}

// lastEventID returns the last ID in complete events, "" if no event has one.
func lastEventID(events []byte) string {
	i := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case i >= 0:
		events = events[i+len("\nid:"):]
	case bytes.HasPrefix(events, []byte("id:")):
		events = events[len("id:"):]
	default:
		return ""
	}
	value, _, _ := bytes.Cut(events, []byte("\n"))
	return string(bytes.TrimSpace(value))
}

// checkContinuation returns an error unless events that another endpoint has sent can follow the event
// with the ID last: the first of them must have a later ID. A faulty endpoint may send any text in
// place of events, or begin anew. It also reports whether there was an event: comments may come before.
func checkContinuation(events []byte, last string) (begun bool, err error) {
	id, begun := firstEventID(events)
	if !begun {
		return false, nil
	}
	if id == "" {
		return true, errors.New("the stream can't be resumed: what the endpoint sent doesn't begin with an event that has an ID")
	}
	n, err := strconv.ParseUint(id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	if err == nil && lastErr == nil && n <= lastNumber || id == last {
		return true, fmt.Errorf("the stream can't be resumed: the endpoint began with event %q, and the caller has had %q", id, last)
	}
	return true, nil
}

// firstEventID returns the ID of the first event, "" if that has none or isn't an event, and false if
// there are only comments.
func firstEventID(events []byte) (id string, begun bool) {
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 && begun {
			return id, true
		}
		name, value, isField := bytes.Cut(line, []byte(":"))
		if len(line) == 0 || isField && len(name) == 0 {
			continue // a comment, or the line after it
		}
		if !isField || bytes.ContainsFunc(name, func(r rune) bool { return r != '-' && !unicode.IsLower(r) }) {
			return "", true
		}
		begun = true
		if string(name) == "id" {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id, begun
}
