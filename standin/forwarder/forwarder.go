// Package forwarder is a stand-in for a TCP middlebox. It relays bytes between
// clients and a server, and can simulate the loss of its connection state: the
// connections that are open at that time stay open but relay nothing more, while
// new connections work.
package forwarder

import (
	"fmt"
	"net"
	"sync"
)

// Forwarder relays TCP connections to one server. Use New to create it.
type Forwarder struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	conns map[*conn]bool
}

// conn is a client connection and the server connection that it is relayed to.
type conn struct {
	client, server   net.Conn
	dropToServer     bool
	dropToClient     bool
	clientClosed     bool
	activeDirections int // number of directions that are still relayed
}

// New starts a forwarder to target that listens on a free loopback port.
func New(target string) (*Forwarder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback to forward to %s: %w", target, err)
	}
	f := &Forwarder{target: target, listener: l, conns: map[*conn]bool{}}
	go f.accept()
	return f, nil
}

// Address returns the IP address and port that clients connect to.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Blackhole makes all currently open connections drop further bytes in the given
// directions. The connections stay open. It returns their number.
func (f *Forwarder) Blackhole(toServer, toClient bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.dropToServer = c.dropToServer || toServer
		c.dropToClient = c.dropToClient || toClient
	}
	return len(f.conns)
}

// Blackholed returns the number of connections that drop bytes and that the client
// has not closed.
func (f *Forwarder) Blackholed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for c := range f.conns {
		if (c.dropToServer || c.dropToClient) && !c.clientClosed {
			n++
		}
	}
	return n
}

// Close closes the listener and all connections.
func (f *Forwarder) Close() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.close()
	}
}

func (c *conn) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

func (f *Forwarder) accept() {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", f.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &conn{client: client, server: server, activeDirections: 2}
		f.mu.Lock()
		f.conns[c] = true
		f.mu.Unlock()
		go f.forward(c, server, client, &c.dropToServer)
		go f.forward(c, client, server, &c.dropToClient)
	}
}

const copyBufferBytes = 32 << 10

// forward relays bytes in one direction until either end closes. It also reads the
// bytes that it drops, so that it detects when the sender closes.
func (f *Forwarder) forward(c *conn, to, from net.Conn, drop *bool) {
	b := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(b)
		if err != nil {
			break
		}
		f.mu.Lock()
		dropping := *drop
		f.mu.Unlock()
		if dropping {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			break
		}
	}
	f.closeDirection(c, to, from, drop)
}

// closeDirection ends one direction after either end has closed. It closes the
// sending end, and also the receiving end unless this direction drops its bytes, since
// a middlebox without the connection's state does not relay the close either.
func (f *Forwarder) closeDirection(c *conn, to, from net.Conn, drop *bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = from.Close()
	c.clientClosed = c.clientClosed || from == c.client
	if !*drop {
		_ = to.Close()
	}
	if c.activeDirections--; c.activeDirections == 0 {
		c.close()
		delete(f.conns, c)
	}
}
