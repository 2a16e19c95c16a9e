// Package process holds the start and stop of a program: command line, logs, the
// operators' address, and the graceful shutdown.
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

	"github.com/galenaweir/galenaweir/settings"
)

// Version is set at link time.
var Version = "dev"

// Flags are the command line of both programs.
type Flags struct {
	Config  string `long:"config" value-name:"FILE" description:"settings file, JSON with comments"`
	Check   bool   `long:"check" description:"check the settings and exit"`
	Version bool   `long:"version" description:"print the version and exit"`
}

// Limits of a client of the HTTP servers.
const (
	headerTimeout = 10 * time.Second // to send its headers
	idleTimeout   = 2 * time.Minute  // between two requests
)

// Parse reads the command line and the settings. It exits when there is nothing
// to run: after --help, --version, --check, a subcommand, or an error.
func Parse(program string, commands ...func(*flags.Parser) error) settings.Settings {
	var f Flags
	p := flags.NewNamedParser(program, flags.Default)
	_, err := p.AddGroup("Options", "", &f)
	for _, add := range commands {
		err = errors.Join(err, add(p))
	}
	if err != nil {
		panic(err) // a mistake in the options' tags
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

// Secret returns the cache secret of checked settings.
func Secret(s settings.Settings) []byte {
	b, _ := hex.DecodeString(s.CacheSecret)
	return b
}

// Signals returns a context that ends at the first SIGTERM or SIGINT, and one
// that ends at the second.
func Signals() (drain, stop context.Context) {
	drain, beginDrain := context.WithCancel(context.Background())
	stop, beginStop := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-ch
		beginDrain()
		<-ch
		beginStop()
	}()
	return drain, stop
}

// ServeOperators serves metrics, health and readiness.
func ServeOperators(address string, ready func() bool) (*Server, error) {
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
	s       *http.Server
	address string
}

// Address returns the IP number and port that the server listens on.
func (s *Server) Address() string { return s.address }

// Serve serves HTTP on an IP number and port, over TLS when conf isn't nil.
func Serve(address string, h http.Handler, conf *tls.Config) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w; free the port or change the address in the settings", address, err)
	}
	s := &http.Server{
		Handler: h, TLSConfig: conf, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: stdlog.New(io.Discard, "", 0), // it would log what callers sent
	}
	serve := func() error { return s.Serve(l) }
	if conf != nil {
		serve = func() error { return s.ServeTLS(l, "", "") }
	}
	go func() {
		if err := serve(); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Str("address", address).Err(err).Msg("HTTP server ended")
		}
	}()
	return &Server{s, l.Addr().String()}, nil
}

// Shutdown takes no new connection and waits until the answers are on the wire.
func (s *Server) Shutdown(ctx context.Context) error { return s.s.Shutdown(ctx) }

// Close cuts all connections.
func (s *Server) Close() { _ = s.s.Close() }

// StopGRPC takes no new call and waits until the running ones have ended, or
// cuts them when ctx ends.
func StopGRPC(ctx context.Context, s *grpc.Server) {
	ended := make(chan struct{})
	go func() {
		s.GracefulStop()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		s.Stop()
	}
}
