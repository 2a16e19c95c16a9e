package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/galenaweir/galenaweir/core/forward"
)

// inlineBodyBytes is the size up to which a request is written before its answer is
// read. A longer body is written beside, as an endpoint may answer before it has
// read all of it.
const inlineBodyBytes = 16 << 10

// maxStrayAnswers is how many answers to other requests are skipped on a connection.
const maxStrayAnswers = 2

// exchangeError tells what an attempt that brought no answer means for the request.
type exchangeError struct {
	sent   bool // a part of the request may have reached the endpoint
	notRun bool // the endpoint said that the request has not run and won't
	moved  bool // it said so as another endpoint, or as one that doesn't fit
	status int
	err    error
}

func (e *exchangeError) Error() string { return e.err.Error() }
func (e *exchangeError) Unwrap() error { return e.err }

// message is the request as it is sent to an endpoint.
type message struct {
	method string
	uri    string // as the caller sent it
	host   string
	header http.Header
	body   []byte
	hasLen bool
}

func (m *message) head() []byte {
	var b bytes.Buffer
	b.Grow(1024)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.method, m.uri, m.host)
	_ = m.header.Write(&b) // a buffer takes every write
	switch {
	case m.hasLen:
		b.WriteString("Content-Length: " + strconv.Itoa(len(m.body)) + "\r\n")
	case len(m.body) > 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func (m *message) bytes() ([]byte, error) {
	b := m.head()
	if m.hasLen || len(m.body) == 0 {
		return append(b, m.body...), nil
	}
	buf := bytes.NewBuffer(b)
	cw := httputil.NewChunkedWriter(buf)
	if _, err := cw.Write(m.body); err != nil {
		return nil, err
	}
	if err := cw.Close(); err != nil {
		return nil, err
	}
	buf.WriteString("\r\n")
	return buf.Bytes(), nil
}

// answer is an endpoint's answer whose body is still to be read.
type answer struct {
	resp    *http.Response
	reply   Reply
	conn    *endpointConn
	pool    *connPool
	key     string
	stop    func() bool
	written chan error // closed once the request is written
	whole   bool       // the body was read to its end
}

// exchange sends a request to an endpoint and reads the head of its answer. The
// connection is closed when ctx ends.
func (g *Gateway) exchange(ctx context.Context, m *message, id string, e forward.Endpoint, limit int, mayBegin func() error) (*answer, *exchangeError) {
	key := e.ID + "@" + e.Address
	data, err := m.bytes()
	if err != nil {
		return nil, &exchangeError{err: err}
	}
	conn, err := g.pool.get(ctx, key, e.Address, limit)
	if err != nil {
		return nil, &exchangeError{err: err}
	}
	if err := mayBegin(); err != nil {
		g.pool.put(key, conn, true)
		return nil, &exchangeError{err: err}
	}
	a := &answer{conn: conn, pool: g.pool, key: key, written: make(chan error, 1)}
	a.stop = context.AfterFunc(ctx, func() { conn.Close() })
	if len(data) <= inlineBodyBytes {
		n, err := conn.Write(data)
		a.written <- err
		if err != nil {
			a.close()
			return nil, &exchangeError{sent: n > 0 || conn.reused, err: fmt.Errorf("send: %w", err)}
		}
	} else {
		go func() {
			_, err := conn.Write(data)
			a.written <- err
		}()
	}
	if xerr := a.readHead(g.dialect, m, id); xerr != nil {
		a.close()
		return nil, xerr
	}
	return a, nil
}

// readHead reads the head of the answer to the request with the ID. An answer to
// another request, which came late or twice, is read over.
func (a *answer) readHead(d Dialect, m *message, id string) *exchangeError {
	for stray := 0; ; {
		resp, err := http.ReadResponse(a.conn.br, &http.Request{Method: m.method})
		if err != nil {
			return &exchangeError{sent: true, err: fmt.Errorf("read the answer: %w", err)}
		}
		if resp.StatusCode < http.StatusOK {
			continue // an interim answer
		}
		reply := d.Reply(resp.StatusCode, resp.Header)
		if reply.RequestID != "" && reply.RequestID != id {
			if stray++; stray > maxStrayAnswers || !drain(resp) {
				return &exchangeError{sent: true, err: errors.New("the answer belongs to another request")}
			}
			continue
		}
		a.resp, a.reply = resp, reply
		if reply.NotRun {
			a.discard()
			return &exchangeError{sent: true, notRun: true, moved: reply.OtherEndpoint, status: resp.StatusCode, err: fmt.Errorf("the endpoint refused with %d", resp.StatusCode)}
		}
		if resp.StatusCode < http.StatusMultipleChoices && (!reply.Signed || reply.RequestID == "" && id != "") {
			return &exchangeError{sent: true, err: errors.New("the answer has no receipt")}
		}
		return nil
	}
}

// maxDrainBytes bounds the body of an answer that nobody needs.
const maxDrainBytes = 64 << 10

func drain(resp *http.Response) bool {
	if resp.Close {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes))
	return err == nil && n < maxDrainBytes
}

func (a *answer) discard() { a.whole = drain(a.resp) }

// Read reads the body. io.EOF is only returned at its proper end.
func (a *answer) Read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// close gives the connection back when the answer was whole, else closes it, which
// ends the request at the endpoint.
func (a *answer) close() {
	alive := a.stop()
	keep := false
	if alive && a.whole && a.resp != nil && !a.resp.Close {
		select {
		case err := <-a.written:
			keep = err == nil
		default: // the endpoint still reads the request
		}
		a.conn.keepFor = keepAlive(a.resp.Header.Get("Keep-Alive"))
	}
	a.pool.put(a.key, a.conn, keep)
}

// remaining is what is left of a time budget on the clock that counts suspends.
func remaining(deadline, now time.Duration) time.Duration { return max(deadline-now, 0) }
