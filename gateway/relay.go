package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Buffers of a stream.
const (
	relayBytes    = 4096
	maxEventBytes = 1 << 20
)

var errMidEvent = errors.New("the stream ended in the middle of an event")

// relay passes the events of a stream on as they come, whole events only, so that
// another endpoint can go on after the last one.
func (q *request) relay(a *answer, p *placement) *exchangeError {
	var pending []byte
	buf := make([]byte, relayBytes)
	for {
		n, err := a.Read(buf)
		pending = append(pending, buf[:n]...)
		if end := eventsEnd(pending); end > 0 {
			q.firstEvent(p)
			if werr := q.passOn(a, pending[:end]); werr != nil {
				return nil // the caller has left
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case err == io.EOF && len(pending) == 0:
			if !q.started {
				q.writeHead(a, -1)
			}
			return nil
		case err == io.EOF:
			a.whole = false
			return q.broken(errMidEvent)
		case err != nil:
			return q.broken(err)
		case len(pending) > maxEventBytes:
			return q.broken(fmt.Errorf("an event is longer than %d bytes", maxEventBytes))
		}
	}
}

func (q *request) broken(err error) *exchangeError {
	return &exchangeError{sent: true, err: fmt.Errorf("the stream broke off: %w", err)}
}

func (q *request) passOn(a *answer, events []byte) error {
	if !q.started {
		q.writeHead(a, -1)
	}
	if id := lastEventID(events); id != "" {
		q.lastID = id
	}
	q.line.bytes += int64(len(events))
	if _, err := q.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(q.w).Flush()
}

// firstEvent records that the endpoint has read the prompt.
func (q *request) firstEvent(p *placement) {
	if p.work.Started {
		return
	}
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoint(p.endpoint.ID).load.RecordFirstEvent(&p.work)
	s.observeFetch(p, s.clock())
}

// eventsEnd returns the length of the whole events at the start of b.
func eventsEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + len("\n\n")
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+len("\r\n\r\n"))
	}
	return end
}

// lastEventID returns the last ID in whole events, "" when none has one.
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
