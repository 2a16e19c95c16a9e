package main

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/rpc/dial"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

type echo struct {
	rpc.UnimplementedPeerServer
}

func (echo) Exchange(_ context.Context, m *rpc.GossipMessage) (*rpc.GossipMessage, error) {
	return m, nil
}

// frameTrials is the number of exchanges of the measurement; the connection's
// first ones fill the header tables and aren't counted.
const (
	frameTrials = 200
	frameWarmup = 20
	callTimeout = time.Second
)

// measureHTTP2 returns the bytes that gRPC adds to one message.
func measureHTTP2() (float64, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, fmt.Errorf("listen on loopback: %w", err)
	}
	s := grpc.NewServer()
	rpc.RegisterPeerServer(s, echo{})
	go func() { _ = s.Serve(l) }()
	defer s.Stop()
	var bytes atomic.Int64
	pool := dial.New(insecure.NewCredentials(), grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		return countingConn{c, &bytes}, err
	}))
	defer pool.Close()
	conn, err := pool.Get(l.Addr().String())
	if err != nil {
		return 0, err
	}
	m := &rpc.GossipMessage{From: "host-000", Incarnation: 1_800_000_000_000, ConfigVersion: 1000, ConfigHash: make([]byte, 8)}
	for i := range frameWarmup + frameTrials {
		if i == frameWarmup {
			bytes.Store(0)
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		_, err := rpc.NewPeerClient(conn).Exchange(ctx, m)
		cancel()
		if err != nil {
			return 0, fmt.Errorf("exchange on loopback: %w", err)
		}
	}
	messages := int64(2 * frameTrials)
	return float64(bytes.Load()-messages*int64(proto.Size(m))) / float64(messages), nil
}
