// Package dial keeps one gRPC connection for each process that this one talks to.
package dial

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
)

// Limits of a connection.
const (
	connectTimeout  = 2 * time.Second
	baseBackoff     = 100 * time.Millisecond
	maxBackoff      = 3 * time.Second
	backoffFactor   = 1.6
	backoffJitter   = 0.2
	maxMessageBytes = 16 << 20
)

// Pool holds the connections by address. It is safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	creds credentials.TransportCredentials
	conns map[string]*grpc.ClientConn
	extra []grpc.DialOption
}

// New returns an empty pool that dials with the credentials.
func New(creds credentials.TransportCredentials, extra ...grpc.DialOption) *Pool {
	return &Pool{creds: creds, conns: map[string]*grpc.ClientConn{}, extra: extra}
}

// Get returns the connection to an IP number and port, made on its first use.
// Hidden retries are off: a call is sent at most once.
func (p *Pool) Get(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		return c, nil
	}
	return p.dial(address)
}

func (p *Pool) dial(address string) (*grpc.ClientConn, error) {
	opts := append([]grpc.DialOption{
		grpc.WithTransportCredentials(p.creds),
		grpc.WithNoProxy(),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: baseBackoff, Multiplier: backoffFactor, Jitter: backoffJitter, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}),
	}, p.extra...)
	c, err := grpc.NewClient("passthrough:///"+address, opts...)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	p.conns[address] = c
	return c, nil
}

// Renew closes a connection that has gone silent and returns a new one. When
// another caller has already renewed it, that connection is returned.
func (p *Pool) Renew(address string, silent *grpc.ClientConn) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok && c != silent {
		return c, nil
	}
	delete(p.conns, address)
	if silent != nil {
		defer silent.Close()
	}
	return p.dial(address)
}

// Drop closes the connection to a process that has gone.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		delete(p.conns, address)
		_ = c.Close()
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.conns {
		_ = c.Close()
		delete(p.conns, a)
	}
}
