// Package dial maintains one gRPC connection to each remote process.
package dial

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
)

// Connection limits and back-off.
const (
	connectTimeout  = 2 * time.Second
	baseBackoff     = 100 * time.Millisecond
	maxBackoff      = 3 * time.Second
	backoffFactor   = 1.6
	backoffJitter   = 0.2
	maxMessageBytes = 16 << 20
)

// Pool holds one connection per address. It is safe for concurrent use.
type Pool struct {
	mu          sync.Mutex
	creds       credentials.TransportCredentials
	conns       map[string]*grpc.ClientConn
	dialOptions []grpc.DialOption
}

// New returns an empty pool that dials with the credentials and the additional options.
func New(creds credentials.TransportCredentials, dialOptions ...grpc.DialOption) *Pool {
	return &Pool{creds: creds, conns: map[string]*grpc.ClientConn{}, dialOptions: dialOptions}
}

// Get returns the connection to address, an IP number and port, and creates it on first
// use. gRPC's automatic retries are disabled, so that a call is sent at most once.
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
	}, p.dialOptions...)
	c, err := grpc.NewClient("passthrough:///"+address, opts...)
	if err != nil {
		return nil, fmt.Errorf("create the connection to %s: %w", address, err)
	}
	p.conns[address] = c
	return c, nil
}

// Replace closes an unresponsive connection and returns a new one. If another caller has
// already replaced it, Replace returns the replacement.
func (p *Pool) Replace(address string, unresponsive *grpc.ClientConn) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok && c != unresponsive {
		return c, nil
	}
	delete(p.conns, address)
	if unresponsive != nil {
		defer unresponsive.Close()
	}
	return p.dial(address)
}

// Remove closes and removes the connection to an address that is no longer in use.
func (p *Pool) Remove(address string) {
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
