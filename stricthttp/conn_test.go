package stricthttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// upload is more than the buffers of a connection take.
var upload = make([]byte, 16<<20)

// serveConns passes each connection to handle and then closes it.
func serveConns(t *testing.T, handle func(c *net.TCPConn)) net.Addr {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr()
}

// dialWithTimeout connects with a limit for data that the peer doesn't take.
func dialWithTimeout(ctx context.Context, address net.Addr, limit time.Duration) (net.Conn, error) {
	d := Dialer{net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
	}}}
	return d.DialContext(ctx, "tcp", address.String())
}

// Guards against a connection that failed and whose reads end as if the peer had closed it, because a
// write was told of the failure.
func TestFailedConnectionDoesNotEndWithEOF(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(c *net.TCPConn)
		want error // nil for io.EOF
	}{
		"reset":                        {func(c *net.TCPConn) { _ = c.SetLinger(0) }, syscall.ECONNRESET},
		"time-out":                     {func(*net.TCPConn) { <-t.Context().Done() }, syscall.ETIMEDOUT},
		"closed for writing":           {func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }, nil},
		"closed for writing and reset": {func(c *net.TCPConn) { _ = c.CloseWrite(); _ = c.SetLinger(0) }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			address := serveConns(t, func(nc *net.TCPConn) {
				_, _ = nc.Read(make([]byte, 1)) // the client is connected
				_, _ = io.WriteString(nc, "part")
				c.end(nc)
			})
			nc, err := dialWithTimeout(t.Context(), address, 200*time.Millisecond)
			require.NoError(t, err)
			defer nc.Close()
			_, err = nc.Write(upload)
			if c.want != nil {
				require.ErrorIs(t, err, c.want, "the write has to meet the failure")
			}
			got, err := io.ReadAll(nc)
			require.Equal(t, "part", string(got))
			if c.want != nil {
				require.ErrorIs(t, err, c.want)
			} else {
				require.NoError(t, err)
			}
		})
	}
}

// Guards against a regular end that isn't seen until the peer has taken all that is written.
func TestRegularEndIsSeenDuringAWrite(t *testing.T) {
	address := serveConns(t, func(nc *net.TCPConn) {
		_, _ = io.WriteString(nc, "whole")
		_ = nc.CloseWrite()
		<-t.Context().Done()
	})
	nc, err := new(Dialer).DialContext(t.Context(), "tcp", address.String())
	require.NoError(t, err)
	written := make(chan error, 1)
	go func() {
		_, err := nc.Write(upload)
		written <- err
	}()
	got, err := io.ReadAll(nc)
	require.NoError(t, err)
	require.Equal(t, "whole", string(got))
	require.Empty(t, written, "the write is still under way")
	nc.Close()
	require.Error(t, <-written)
}

// Guards against a part of a response without a length that net/http returns as a whole one, as the
// connection was reset during the upload.
func TestCutResponseDuringAnUploadIsNotWhole(t *testing.T) {
	address := serveConns(t, func(nc *net.TCPConn) {
		_, _ = nc.Read(make([]byte, 1024))
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\n{\"a\":1}")
		_ = nc.SetLinger(0)
	})
	client := http.Client{Transport: NewTransport(&http.Transport{DisableKeepAlives: true})}
	for range 200 {
		resp, err := client.Post("http://"+address.String(), "", bytes.NewReader(upload))
		if err != nil {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		require.Error(t, err, "the part looks whole: %q", body)
	}
}
