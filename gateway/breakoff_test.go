package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an endpoint that is taken for ended because a connection ended, and against one
// that ended and isn't recognized, also while it closes its connections before its listener.
func TestFateOfAnEndpoint(t *testing.T) {
	alive := serveRaw(t, respondOK("ok"))
	require.Equal(t, fateAlive, checkEndpoint(alive.address))

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	require.Equal(t, fateEnded, checkEndpoint(l.Addr().String()))

	l, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		c, err := l.Accept()
		l.Close()
		if err == nil {
			c.Close()
		}
	}()
	require.Equal(t, fateEnded, checkEndpoint(l.Addr().String()))
}

// Guards against attempts that count as broken off by their endpoint because their deadline had
// passed or the endpoint refused them.
func TestAttemptsThatBrokeOff(t *testing.T) {
	for _, err := range []error{io.EOF, io.ErrUnexpectedEOF, errTruncatedEvent, syscall.ECONNRESET, &net.OpError{Op: "write", Err: syscall.EPIPE}} {
		require.True(t, (&exchangeError{sent: true, err: fmt.Errorf("read: %w", err)}).brokeOff(), err)
	}
	for _, x := range []*exchangeError{nil, {sent: true, err: context.DeadlineExceeded}, {sent: true, err: net.ErrClosed}, {err: io.EOF}, {sent: true, notRun: true, err: io.EOF}} {
		require.False(t, x.brokeOff(), x)
	}
}
