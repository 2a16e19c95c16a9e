// Package forwarder is a stand-in for a middlebox on a TCP connection: it passes
// bytes between its clients and a server, and can lose the state of the open
// connections, which then stay open and pass nothing, while new ones work.
package forwarder

import (
	"fmt"
	"net"
	"sync"
)

// Forwarder passes connections on to one server. Create it with New.
type Forwarder struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	conns map[*conn]bool
}

// conn is one connection of a client with its counterpart to the server.
type conn struct {
	client, server net.Conn
	loseToServer   bool
	loseToClient   bool
	clientClosed   bool
	running        int // directions that are still copied
}

// New listens on a free loopback port.
func New(target string) (*Forwarder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("forward to %s: %w", target, err)
	}
	f := &Forwarder{target: target, listener: l, conns: map[*conn]bool{}}
	go f.accept()
	return f, nil
}

// Address returns the IP number and port that clients connect to.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Silence makes the connections open now lose all further bytes in the given
// directions. They stay open. It returns their number.
func (f *Forwarder) Silence(toServer, toClient bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.loseToServer = c.loseToServer || toServer
		c.loseToClient = c.loseToClient || toClient
	}
	return len(f.conns)
}

// Silent returns the number of silenced connections that the client has not
// closed.
func (f *Forwarder) Silent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for c := range f.conns {
		if (c.loseToServer || c.loseToClient) && !c.clientClosed {
			n++
		}
	}
	return n
}

// Close stops listening and closes all connections.
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
		c := &conn{client: client, server: server, running: 2}
		f.mu.Lock()
		f.conns[c] = true
		f.mu.Unlock()
		go f.copy(c, server, client, &c.loseToServer)
		go f.copy(c, client, server, &c.loseToClient)
	}
}

const bufferBytes = 32 << 10

// copy passes bytes on until one end closes. Lost bytes are read all the same, so
// that the close of an end is seen.
func (f *Forwarder) copy(c *conn, to, from net.Conn, lose *bool) {
	b := make([]byte, bufferBytes)
	for {
		n, err := from.Read(b)
		if err != nil {
			break
		}
		f.mu.Lock()
		lost := *lose
		f.mu.Unlock()
		if lost {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			break
		}
	}
	f.ended(c, to, from, lose)
}

// ended passes the close of one end on, unless that direction is lost.
func (f *Forwarder) ended(c *conn, to, from net.Conn, lose *bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = from.Close()
	c.clientClosed = c.clientClosed || from == c.client
	if !*lose {
		_ = to.Close()
	}
	if c.running--; c.running == 0 {
		c.close()
		delete(f.conns, c)
	}
}
