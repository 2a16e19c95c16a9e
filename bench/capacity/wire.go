package capacity

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/rpc/dial"
)

const (
	loopback     = "127.0.0.1"
	anyPort      = loopback + ":0"
	certLifetime = time.Hour
)

// trafficMeter counts the bytes and writes of its connections; bytes are counted in
// both directions.
type trafficMeter struct{ bytes, writes atomic.Int64 }

type meteredConn struct {
	net.Conn
	meter *trafficMeter
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.bytes.Add(int64(n))
	c.meter.writes.Add(1)
	return n, err
}

// meteredListener counts the traffic of accepted connections.
type meteredListener struct {
	net.Listener
	meter *trafficMeter
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{c, l.meter}, nil
}

// dialer returns a dial option that counts the traffic of dialed connections.
func (m *trafficMeter) dialer() grpc.DialOption {
	return grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return meteredConn{c, m}, nil
	})
}

// echoPeer answers each exchange with the received message.
type echoPeer struct{ rpc.UnimplementedPeerServer }

// Exchange implements rpc.PeerServer.
func (echoPeer) Exchange(_ context.Context, m *rpc.GossipMessage) (*rpc.GossipMessage, error) {
	return m, nil
}

// selfSignedCertificate returns a certificate for loopback with the key type used in
// production (ECDSA P-256), and a pool that trusts it.
func selfSignedCertificate() (tls.Certificate, *x509.CertPool, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, nil, err
	}
	t := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(certLifetime), IPAddresses: []net.IP{net.ParseIP(loopback)},
		IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return tls.Certificate{}, nil, err
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		return tls.Certificate{}, nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool, nil
}

// mutualTLS returns the server and client credentials for mutual TLS.
func mutualTLS() (server, client credentials.TransportCredentials, err error) {
	cert, pool, err := selfSignedCertificate()
	if err != nil {
		return nil, nil, fmt.Errorf("create certificate: %w", err)
	}
	server = credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert})
	client = credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: pool})
	return server, client, nil
}

// measureExchanges measures unary exchanges of different message sizes over one
// connection: the bytes on the connection per message, and the CPU time per exchange.
func measureExchanges(server, client credentials.TransportCredentials) (bytes, cpu []Point, err error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, nil, err
	}
	s := grpc.NewServer(grpc.Creds(server))
	defer s.Stop()
	rpc.RegisterPeerServer(s, echoPeer{})
	go func() { _ = s.Serve(l) }()
	var m trafficMeter
	pool := dial.New(client, m.dialer())
	defer pool.Close()
	conn, err := pool.Get(l.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	c := rpc.NewPeerClient(conn)
	for _, size := range []int{100, 200, 400, 800} {
		b, t, err := measureExchange(c, &m, size)
		if err != nil {
			return nil, nil, err
		}
		bytes, cpu = append(bytes, b), append(cpu, t)
	}
	return bytes, cpu, nil
}

func measureExchange(c rpc.PeerClient, m *trafficMeter, size int) (bytes, cpu Point, err error) {
	const warmUp, calls = 100, 2000
	msg := &rpc.GossipMessage{From: "host-000", ConfigHash: make([]byte, size)}
	x := float64(proto.Size(msg))
	var before int64
	var start time.Duration
	for i := range warmUp + calls {
		if i == warmUp {
			before = m.bytes.Load()
			if start, err = processCPU(); err != nil {
				return bytes, cpu, err
			}
		}
		if _, err = c.Exchange(context.Background(), msg); err != nil {
			return bytes, cpu, fmt.Errorf("exchange with a hash of %d bytes: %w", size, err)
		}
	}
	end, err := processCPU()
	const messages = 2 * calls // request and reply
	return Point{x, float64(m.bytes.Load()-before) / messages}, Point{x, (end - start).Seconds() * microsPerSec / calls}, err
}

// maxGossipBytes is the maximum size of a gossip message; the framing is reported for
// this size.
const maxGossipBytes = 400.0

// framingSlopes measures the bytes and CPU time that gRPC and TLS add to an encoded
// message, and returns the framing with TLS of a message of maxGossipBytes.
func framingSlopes() ([]Slope, float64, error) {
	server, client, err := mutualTLS()
	if err != nil {
		return nil, 0, err
	}
	slope := func(id, text, unit string, ps []Point) Slope {
		return Slope{ID: id, Description: text, Unit: unit, XUnit: "encoded bytes", Method: methodLoopback, Points: ps, Target: maxGossipBytes}.fit()
	}
	plainBytes, plainCPU, err := measureExchanges(insecure.NewCredentials(), insecure.NewCredentials())
	if err != nil {
		return nil, 0, err
	}
	tlsBytes, tlsCPU, err := measureExchanges(server, client)
	if err != nil {
		return nil, 0, err
	}
	ss := []Slope{
		slope("wire_plain", "bytes on the connection for a message, gRPC", "bytes", plainBytes),
		slope("wire_tls", "bytes on the connection for a message, gRPC and TLS", "bytes", tlsBytes),
		slope("exchange_cpu_plain", "CPU time of an exchange, both sides, gRPC", "µs", plainCPU),
		slope("exchange_cpu_tls", "CPU time of an exchange, both sides, gRPC and TLS", "µs", tlsCPU),
	}
	return ss, ss[1].Value - maxGossipBytes, nil
}
