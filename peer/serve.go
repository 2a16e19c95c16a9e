package peer

import (
	"errors"
	"fmt"
	"net"

	"github.com/phuslu/log"
	"google.golang.org/grpc"

	"github.com/galenaweir/galenaweir/rpc"
)

// Serve serves the peer and the process's other services on address, an IP number
// and port, until the returned server is stopped.
func Serve(address string, p *Peer, opts []grpc.ServerOption, register ...func(grpc.ServiceRegistrar)) (*grpc.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w; free the port or change rpc_address", address, err)
	}
	return ServeListener(l, p, opts, register...), nil
}

// ServeListener is like Serve, but uses an open listener and closes it when the server stops.
func ServeListener(l net.Listener, p *Peer, opts []grpc.ServerOption, register ...func(grpc.ServiceRegistrar)) *grpc.Server {
	s := grpc.NewServer(opts...)
	rpc.RegisterPeerServer(s, p)
	for _, f := range register {
		f(s)
	}
	go func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			log.Error().Str("address", l.Addr().String()).Err(err).Msg("gRPC server stopped unexpectedly")
		}
	}()
	return s
}
