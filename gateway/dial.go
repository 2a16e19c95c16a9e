package gateway

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/galenaweir/galenaweir/stricthttp"
)

// Timeouts of outgoing connections. Round trips take a few milliseconds; a lost SYN is
// retransmitted after about one second.
const (
	dialTimeout        = 500 * time.Millisecond
	tcpUserTimeout     = 1500 * time.Millisecond // limit for sent data that is not acknowledged
	keepAliveIdle      = time.Second
	keepAliveInterval  = time.Second
	keepAliveCount     = 2
	controlIdleTimeout = 10 * time.Second
)

// maxControlHeadBytes is the largest head of an answer to a control call. net/http's own bound of
// 10 MB for each call would use up the memory of an entry.
const maxControlHeadBytes = 64 << 10

// dialer detects dead peers with TCP keep-alive and TCP_USER_TIMEOUT: a network path may
// drop a connection without a reset.
var dialer = stricthttp.Dialer{Dialer: net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		cerr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
		})
		if cerr != nil {
			return cerr
		}
		return err
	},
}}

// NewControlClient returns an HTTP client for control calls, that is, calls other than
// forwarded requests. It sets no overall timeout: each call needs a context with a deadline.
func NewControlClient() *http.Client {
	return &http.Client{Transport: newControlTransport()}
}

// NewSingleCallClient returns a control client that opens a connection for each call. Control calls
// have no ID, so on a kept connection the answer of an earlier call that a faulty endpoint or store
// sends once more would pass for that of the next call.
func NewSingleCallClient() *http.Client {
	t := newControlTransport()
	t.DisableKeepAlives = true
	return &http.Client{Transport: t}
}

func newControlTransport() *stricthttp.Transport {
	return stricthttp.NewTransport(&http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxControlHeadBytes,
		IdleConnTimeout:        controlIdleTimeout,
		MaxIdleConnsPerHost:    2,
	})
}
