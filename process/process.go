// Package process starts and stops a program: command line, settings, logs, the
// operators' HTTP address, and graceful shutdown.
package process

import (
	"context"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"expvar"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/phuslu/log"
	"google.golang.org/grpc"

	"github.com/galenaweir/galenaweir/callerconn"
	"github.com/galenaweir/galenaweir/settings"
)

// Version is set at link time.
var Version = "dev"

// Flags are the command-line options that all programs share.
type Flags struct {
	Config  string `long:"config" value-name:"FILE" description:"settings file, JSON with comments"`
	Check   bool   `long:"check" description:"check the settings and exit"`
	Version bool   `long:"version" description:"print the version and exit"`
}

// Timeouts of the HTTP servers.
const (
	headerTimeout = 10 * time.Second // for a client to send its request headers
	idleTimeout   = 2 * time.Minute  // between two requests on a connection
)

// ParseCommandLine parses the command line, loads the settings and sets the default logger.
// It exits the process after --help, --version, --check, a subcommand, or an error.
func ParseCommandLine(program string, commands ...func(*flags.Parser) error) settings.Settings {
	var f Flags
	p := flags.NewNamedParser(program, flags.Default)
	_, err := p.AddGroup("Options", "", &f)
	for _, addCommand := range commands {
		err = errors.Join(err, addCommand(p))
	}
	if err != nil {
		panic(err) // invalid struct tags, a programming error
	}
	p.SubcommandsOptional = true
	if _, err := p.Parse(); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			os.Exit(0)
		}
		os.Exit(2)
	}
	switch {
	case p.Active != nil:
		os.Exit(0)
	case f.Version:
		fmt.Println(program, Version)
		os.Exit(0)
	}
	s, err := settings.Load(f.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if f.Check {
		fmt.Println("the settings are valid")
		os.Exit(0)
	}
	log.DefaultLogger = log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: os.Stderr}, Context: log.NewContext(nil).Str("process", s.ID).Value()}
	return s
}

// CacheSecret returns the decoded cache secret of validated settings.
func CacheSecret(s settings.Settings) []byte {
	b, _ := hex.DecodeString(s.CacheSecret)
	return b
}

// ShutdownSignals returns two contexts: drain is cancelled by the first SIGTERM or SIGINT,
// stop by the second.
func ShutdownSignals() (drain, stop context.Context) {
	drain, cancelDrain := context.WithCancel(context.Background())
	stop, cancelStop := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancelDrain()
		<-signals
		cancelStop()
	}()
	return drain, stop
}

// ServeOperatorHTTP serves metrics (/debug/vars), health (/healthz) and readiness
// (/readyz) over HTTP.
func ServeOperatorHTTP(address string, ready func() bool) (*Server, error) {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return Serve(address, mux, nil)
}

// Server is a running HTTP server.
type Server struct {
	srv      *http.Server
	listener net.Listener
	conns    *callerconn.Conns
}

// Address returns the IP address and port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve serves HTTP on an IP address and port, over TLS if conf isn't nil.
func Serve(address string, h http.Handler, conf *tls.Config) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w; free the port or change the address in the settings", address, err)
	}
	return serveOn(l, h, conf), nil
}

// serveOn serves requests from a listener until the returned server is shut down or closed.
func serveOn(l net.Listener, h http.Handler, conf *tls.Config) *Server {
	conns := callerconn.New()
	conns.SetTimeouts(idleTimeout, headerTimeout)
	s := &http.Server{
		Handler: h, TLSConfig: conf, ConnState: conns.State,
		IdleTimeout: idleTimeout,                   // of HTTP/2 connections
		ErrorLog:    stdlog.New(io.Discard, "", 0), // the server's own log could contain callers' data
	}
	accepted := conns.Listen(l)
	serve := func() error { return s.Serve(accepted) }
	if conf != nil {
		serve = func() error { return s.ServeTLS(accepted, "", "") }
	}
	go func() {
		if err := serve(); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			log.Error().Str("address", l.Addr().String()).Err(err).Msg("HTTP server ended")
		}
	}()
	return &Server{s, l, conns}
}

// Shutdown stops accepting connections and waits until all responses have been sent
// or ctx ends. A request of which a byte has arrived is still answered; http.Server.Shutdown
// would drop it.
func (s *Server) Shutdown(ctx context.Context) error {
	_ = s.listener.Close() // closed already in a second call
	if err := s.conns.Drain(ctx); err != nil {
		return err
	}
	err := s.srv.Shutdown(ctx) // HTTP/2 connections
	if errors.Is(err, net.ErrClosed) {
		return nil // of the listener: the server hadn't noticed yet that it is closed
	}
	return err
}

// Close closes all connections at once.
func (s *Server) Close() { _ = s.srv.Close() }

// StopGRPC stops accepting calls and waits for the running ones; when ctx ends, it
// aborts them.
func StopGRPC(ctx context.Context, s *grpc.Server) {
	stopped := make(chan struct{})
	go func() {
		s.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
		s.Stop()
	}
}
