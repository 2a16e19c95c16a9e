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

// countingConn counts the bytes that a connection sends and receives.
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

type echoServer struct {
	rpc.UnimplementedPeerServer
}

func (echoServer) Exchange(_ context.Context, m *rpc.GossipMessage) (*rpc.GossipMessage, error) {
	return m, nil
}

// frameExchanges is the number of measured exchanges. The first frameWarmUpExchanges of
// the connection fill the header compression tables and are not counted.
const (
	frameExchanges       = 200
	frameWarmUpExchanges = 20
	callTimeout          = time.Second
)

// measureHTTP2Overhead returns the average number of bytes that gRPC adds to one message.
func measureHTTP2Overhead() (float64, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, fmt.Errorf("listen on loopback: %w", err)
	}
	s := grpc.NewServer()
	rpc.RegisterPeerServer(s, echoServer{})
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
	for i := range frameWarmUpExchanges + frameExchanges {
		if i == frameWarmUpExchanges {
			bytes.Store(0)
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		_, err := rpc.NewPeerClient(conn).Exchange(ctx, m)
		cancel()
		if err != nil {
			return 0, fmt.Errorf("exchange on loopback: %w", err)
		}
	}
	messages := int64(2 * frameExchanges)
	return float64(bytes.Load()-messages*int64(proto.Size(m))) / float64(messages), nil
}
