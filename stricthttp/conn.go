// Package stricthttp keeps HTTP clients from taking a broken response for a whole one. It makes
// checks that net/http leaves to its users.
package stricthttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a connection that its peer has closed for writing, see
// include/net/tcp_states.h of Linux.
const tcpCloseWait = 8

// Dialer makes connections whose reads return io.EOF only if the peer has closed the connection for
// writing. A response without a length ends with its connection, so that any other end must not look
// like that.
type Dialer struct{ net.Dialer }

// DialContext connects to the address.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
}

// conn tells the regular end of a TCP connection from a failure. Linux reports a failure, such as a
// reset or a time-out, to the first system call after it only. If that is a write, the reads after it
// return the end of the stream without an error.
type conn struct {
	net.Conn
	writing  sync.Mutex
	writeErr error // of the first write that failed; guarded by writing
}

// newConn returns nc itself if it isn't a socket.
func newConn(nc net.Conn) net.Conn {
	if _, ok := nc.(syscall.Conn); !ok {
		return nc
	}
	return &conn{Conn: nc}
}

// NetConn returns the connection itself.
func (c *conn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// endError returns the error of a read that has found the end of the connection: io.EOF if the peer
// has sent it.
func (c *conn) endError() error {
	if c.closedByPeer() {
		return io.EOF
	}
	// The connection is over, so that a write under way ends at once.
	c.writing.Lock()
	defer c.writing.Unlock()
	// A reset that follows the peer's end is reported to writes as a broken pipe.
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return fmt.Errorf("the connection broke while the request was written: %w", c.writeErr)
}

// closedByPeer reports whether the peer has closed the connection for writing and nothing has failed
// since.
func (c *conn) closedByPeer() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == tcpCloseWait
	})
	return err == nil && closed
}
