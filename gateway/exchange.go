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

// maxInlineWriteBytes is the size up to which a request is written before its response is
// read. A longer request is written concurrently, because an endpoint may respond before
// it has read the whole body.
const maxInlineWriteBytes = 16 << 10

// maxStrayResponses is the number of responses to other requests that are skipped on a
// connection before the attempt fails.
const maxStrayResponses = 2

// Bounds on a response's head. An endpoint in trouble may send bytes without end.
const (
	maxResponseHeadBytes = 64 << 10
	maxInterimResponses  = 5
	maxResponseBodyBytes = 64 << 20 // of an answer that is no stream
)

// headTooLongError is returned by a connection from which more was read than a head may have.
type headTooLongError struct{}

func (headTooLongError) Error() string {
	return fmt.Sprintf("the answer's head is longer than %d bytes", maxResponseHeadBytes)
}

// exchangeError is the failure of an attempt, with what is known about its effects.
type exchangeError struct {
	sent        bool // at least part of the request may have reached the endpoint
	notRun      bool // the endpoint stated that the request has not run and will not run
	limited     bool // the endpoint refused because of a limit, or for a time, that it named
	misdirected bool // the address belongs to another endpoint, or the endpoint does not meet the request's expectations
	status      int
	err         error

	statedEndpoint string // ID of the endpoint in a misdirected answer, "" if it states none
	statedVersion  int64  // weight version in a misdirected answer, 0 if it states none
}

func (e *exchangeError) Error() string { return e.err.Error() }
func (e *exchangeError) Unwrap() error { return e.err }

// wireRequest is a request in the form in which it is sent to an endpoint.
type wireRequest struct {
	method    string
	uri       string // as the caller sent it
	host      string
	header    http.Header
	body      []byte
	hasLength bool // send Content-Length, otherwise a body is sent in chunks
	bytes     *requestBytes
}

func (m *wireRequest) encodeHeader() []byte {
	var b bytes.Buffer
	b.Grow(1024)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.method, m.uri, m.host)
	_ = m.header.Write(&b) // writes to a bytes.Buffer do not fail
	switch {
	case m.hasLength:
		b.WriteString("Content-Length: " + strconv.Itoa(len(m.body)) + "\r\n")
	case len(m.body) > 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func (m *wireRequest) encode() ([]byte, error) {
	b := m.encodeHeader()
	if m.hasLength || len(m.body) == 0 {
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

// response is an endpoint's response whose body has not been read yet.
type response struct {
	httpResp     *http.Response
	info         ResponseInfo
	sentAt       time.Duration // clock time at which the request was sent
	conn         *endpointConn
	pool         *connPool
	key          string
	stopCancel   func() bool
	writeResult  chan error // receives the result of writing the request
	bodyComplete bool       // the body has been read to its end
	identified   bool       // the response states the ID of the request
	ahead        readAhead  // bytes of the body that were read before the response won against another
}

// exchange sends a request to an endpoint and reads the header of the response. It calls
// beforeSend once the connection is established, and sends nothing if that fails. The
// connection is closed when ctx is done.
func (g *Gateway) exchange(ctx context.Context, m *wireRequest, id string, e forward.Endpoint, limit int, beforeSend func() error) (*response, *exchangeError) {
	key := e.ID + "@" + e.Address
	data, err := m.encode()
	if err != nil {
		return nil, &exchangeError{err: err}
	}
	conn, err := g.pool.get(ctx, key, e.Address, limit)
	if err != nil {
		return nil, &exchangeError{err: err}
	}
	if err := beforeSend(); err != nil {
		g.pool.put(key, conn, true)
		return nil, &exchangeError{err: err}
	}
	resp := &response{sentAt: g.clock(), conn: conn, pool: g.pool, key: key, writeResult: make(chan error, 1)}
	resp.stopCancel = context.AfterFunc(ctx, func() { conn.Close() })
	if len(data) <= maxInlineWriteBytes {
		n, err := m.writeTo(conn, data)
		resp.writeResult <- err
		if err != nil {
			resp.close()
			return nil, &exchangeError{sent: n > 0 || conn.reused, err: fmt.Errorf("send: %w", err)}
		}
	} else {
		go func() {
			_, err := m.writeTo(conn, data)
			resp.writeResult <- err
		}()
	}
	if xerr := resp.readHeader(g, e, m, id); xerr != nil {
		resp.close()
		return nil, xerr
	}
	return resp, nil
}

// readHeader reads the header of the response to the request with the given ID. A late or
// duplicate response to another request is skipped.
func (r *response) readHeader(g *Gateway, e forward.Endpoint, m *wireRequest, id string) *exchangeError {
	for stray, interim := 0, 0; ; {
		resp, err := r.conn.readResponse(m.method)
		if err != nil {
			return &exchangeError{sent: true, err: fmt.Errorf("read the answer: %w", err)}
		}
		if resp.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimResponses {
				return &exchangeError{sent: true, err: fmt.Errorf("more than %d interim answers", maxInterimResponses)}
			}
			continue
		}
		reply := g.headerCodec.ParseResponse(resp.StatusCode, resp.Header)
		g.observeStatements(e, reply)
		if !reply.Misdirected {
			g.observeLimit(e.ID, reply, id, r.sentAt)
		}
		if reply.RequestID != "" && reply.RequestID != id {
			if stray++; stray > maxStrayResponses || !drainBody(resp) {
				return &exchangeError{sent: true, err: errors.New("the answer belongs to another request")}
			}
			continue
		}
		r.httpResp, r.info = resp, reply
		r.identified = id != "" && reply.RequestID == id
		if reply.NotRun && reply.RequestID == "" && id != "" && r.conn.reused {
			// It may be the copy of a refusal of an earlier request on this connection, and the
			// endpoint may be at work on this one.
			return &exchangeError{sent: true, err: fmt.Errorf("a refusal with %d on a used connection doesn't state which request it refuses", resp.StatusCode)}
		}
		if reply.NotRun {
			r.discardBody()
			return &exchangeError{sent: true, notRun: true, limited: refusesForNow(resp.StatusCode, reply), misdirected: reply.Misdirected, status: resp.StatusCode, err: fmt.Errorf("the endpoint refused with %d", resp.StatusCode), statedEndpoint: reply.Endpoint, statedVersion: reply.WeightVersion}
		}
		if resp.StatusCode < http.StatusMultipleChoices && (!reply.HasReceipt || reply.RequestID == "" && id != "") {
			return &exchangeError{sent: true, err: errors.New("the answer has no receipt")}
		}
		return nil
	}
}

// Bounds on an unneeded response body that is read so that the connection can be reused.
const (
	maxDrainBytes = 64 << 10
	drainTimeout  = 50 * time.Millisecond
)

// drainBody reads and discards the body. It reports whether the connection can be reused.
func drainBody(resp *http.Response) bool {
	if resp.Close {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes))
	return err == nil && n < maxDrainBytes
}

// discardBody reads the body of a refusal. It waits only briefly, as the request can be placed
// elsewhere.
func (r *response) discardBody() {
	if r.conn.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return // the connection is closed
	}
	r.bodyComplete = drainBody(r.httpResp)
	if r.conn.SetReadDeadline(time.Time{}) != nil {
		r.bodyComplete = false
	}
}

// Read implements io.Reader for the body. It returns io.EOF only at the framed end of
// the body.
func (r *response) Read(p []byte) (int, error) {
	if r.ahead.remains() {
		return r.ahead.read(p)
	}
	n, err := r.httpResp.Body.Read(p)
	if err == io.EOF {
		r.bodyComplete = true
	}
	return n, err
}

// close returns the connection to the pool if the request and the response are complete.
// Otherwise it closes the connection, which cancels the request at the endpoint. A connection on
// which a response stated no ID is not used again: a late second copy of the response would pass
// for that of the next request. Nor is one whose endpoint hasn't taken the whole request: one that
// answers without reading that is likely to reset the connection, and the next request with it.
func (r *response) close() {
	alive := r.stopCancel()
	keep := false
	if alive && r.bodyComplete && r.identified && r.httpResp != nil && !r.httpResp.Close {
		select {
		case err := <-r.writeResult:
			keep = err == nil && r.conn.hasSentAll()
		default: // the request is still being written
		}
		r.conn.idleTimeout = keepAliveTimeout(r.httpResp.Header.Get("Keep-Alive"))
	}
	r.pool.put(r.key, r.conn, keep)
}

// remaining returns the time until the deadline, at least 0. Both times are on a Clock,
// which includes time while suspended.
func remaining(deadline, now time.Duration) time.Duration { return max(deadline-now, 0) }
