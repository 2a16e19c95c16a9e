package gateway

import (
	"net/http"

	"github.com/galenaweir/galenaweir/callerconn"
)

// abort ends the caller's connection so that a truncated response does not look complete.
func (q *request) abort(reason string) {
	q.accessLog.aborted = reason
	if !q.r.ProtoAtLeast(1, 1) {
		q.resetConnection()
	}
	panic(http.ErrAbortHandler)
}

// resetConnection resets the caller's connection: in HTTP/1.0 there are no chunks, so the regular
// end of the connection would be the end of a body without a length.
func (q *request) resetConnection() {
	conn, _, err := http.NewResponseController(q.w).Hijack()
	if err != nil {
		return // httptest.ResponseRecorder has no connection
	}
	callerconn.Reset(conn)
}
