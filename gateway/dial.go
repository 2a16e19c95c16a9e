package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of connections. Round trips take a few ms; a first packet that is lost is
// sent again after about one second.
const (
	dialTimeout    = 500 * time.Millisecond
	userTimeout    = 1500 * time.Millisecond // data that stays unacknowledged
	keepAliveIdle  = time.Second
	keepAliveProbe = time.Second
	keepAliveCount = 2
	controlIdle    = 10 * time.Second
)

// dialer finds a silent peer by itself: a path may lose a connection without a reset.
var dialer = net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveProbe, Count: keepAliveCount},
	Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		cerr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		if cerr != nil {
			return cerr
		}
		return err
	},
}

// NewControlClient returns an HTTP client for calls of the system's own. Each call
// needs a context with a deadline.
func NewControlClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, address)
		},
		DisableCompression:  true,
		IdleConnTimeout:     controlIdle,
		MaxIdleConnsPerHost: 2,
	}}
}
