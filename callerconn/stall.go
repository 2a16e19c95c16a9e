package callerconn

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"github.com/phuslu/log"
)

// Progress that a caller has to make while an answer waits for it. A caller that stops reading, or
// takes a byte now and then, would hold its answer's buffers, and the endpoint's connection, for as
// long as it likes.
const (
	Pause         = 15 * time.Second // a caller may read nothing for so long: it was suspended, or its link was lost
	MinRate       = 1 << 10          // bytes a second that it has to take otherwise
	MaxWriteBytes = 16 << 10         // bytes that are written under one deadline
)

// SetWriteDeadline implements net.Conn. A deadline replaces the limits on the caller's progress.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.hasWriteDeadline.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn. It fails if the caller takes less than MinRate for longer than
// Pause, and then resets the connection: the kernel would go on sending what it has.
func (c *conn) Write(p []byte) (int, error) {
	if c.hasWriteDeadline.Load() {
		return c.Conn.Write(p)
	}
	written := 0
	for {
		piece := p[written:min(len(p), written+MaxWriteBytes)]
		limit := Pause + time.Duration(len(piece))*time.Second/MinRate
		if err := c.Conn.SetWriteDeadline(time.Now().Add(limit)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			log.Info().Str("event", "caller_stalled").Str("caller", c.RemoteAddr().String()).Dur("waited_ms", limit).Int("taken", n).Int("of", len(piece)).Msg("a caller stopped reading its answer; its connection is reset")
			resetConn(c.Conn)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Reset closes a connection so that the other side doesn't take it for a regular end.
func Reset(nc net.Conn) {
	if c, ok := nc.(*conn); ok {
		nc = c.Conn
	}
	resetConn(nc)
}

// ResetCaller resets the connection of the request with the given context, also while a goroutine
// reads or writes it. It reports whether the context names one.
func ResetCaller(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if ok {
		resetConn(c.Conn)
	}
	return ok
}

func resetConn(nc net.Conn) {
	if c, ok := nc.(*net.TCPConn); ok {
		_ = c.SetLinger(0) // the connection may have ended
	}
	nc.Close()
}
