// Package tlsconf makes the TLS settings of a process: mutual TLS between the
// processes of the system, and TLS towards callers. Certificates are read again
// when their files change, so that they can be renewed without a restart.
package tlsconf

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/galenaweir/galenaweir/settings"
)

// Peers returns the credentials of gRPC between the processes of the system: both
// sides show a certificate of the CA, and the server's names its IP number.
func Peers(s settings.TLS) (credentials.TransportCredentials, error) {
	if s.Off {
		return insecure.NewCredentials(), nil
	}
	l, err := newLoader(time.Now, s.CertFile, s.KeyFile, s.CAFile)
	if err != nil {
		return nil, err
	}
	return peers{l}, nil
}

// Callers returns the configuration of the HTTP server for callers, nil when TLS
// is off.
func Callers(s settings.TLS) (*tls.Config, error) {
	if s.Off {
		return nil, nil
	}
	l, err := newLoader(time.Now, s.CallerCert, s.CallerKey, "")
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12, // callers' clients may be older than our own processes
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			m := l.current()
			return &m.cert, nil
		},
	}, nil
}

// peers implements credentials.TransportCredentials with the files as they are
// at each handshake.
type peers struct{ l *loader }

// ClientHandshake implements credentials.TransportCredentials.
func (p peers) ClientHandshake(ctx context.Context, authority string, c net.Conn) (net.Conn, credentials.AuthInfo, error) {
	m := p.l.current()
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.cert}, RootCAs: m.roots,
	}).ClientHandshake(ctx, authority, c)
}

// ServerHandshake implements credentials.TransportCredentials.
func (p peers) ServerHandshake(c net.Conn) (net.Conn, credentials.AuthInfo, error) {
	m := p.l.current()
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.cert},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: m.roots,
	}).ServerHandshake(c)
}

// Info implements credentials.TransportCredentials.
func (p peers) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

// Clone implements credentials.TransportCredentials.
func (p peers) Clone() credentials.TransportCredentials { return p }

// OverrideServerName implements credentials.TransportCredentials.
func (p peers) OverrideServerName(string) error {
	return errors.New("the name of a process is its IP number and can't be overridden")
}

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

// material is what the files held.
type material struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// loader keeps the material of a certificate, its key, and a CA if there is one.
type loader struct {
	now             func() time.Time
	cert, key, root string

	mu      sync.Mutex
	m       material
	checked time.Time
	stamps  [3]stamp
}

// stamp tells one state of a file from another.
type stamp struct {
	modified time.Time
	size     int64
}

func newLoader(now func() time.Time, cert, key, root string) (*loader, error) {
	l := &loader{now: now, cert: cert, key: key, root: root, checked: now(), stamps: stamps(cert, key, root)}
	var err error
	l.m, err = load(cert, key, root)
	return l, err
}

func stamps(files ...string) (out [3]stamp) {
	for i, f := range files {
		if info, err := os.Stat(f); err == nil {
			out[i] = stamp{info.ModTime(), info.Size()}
		}
	}
	return out
}

// current returns the material, read again if a file has changed. Files that
// can't be used, such as half of a renewed pair, leave the old material in use.
func (l *loader) current() material {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if now.Sub(l.checked) < checkInterval {
		return l.m
	}
	l.checked = now
	s := stamps(l.cert, l.key, l.root)
	if s == l.stamps {
		return l.m
	}
	m, err := load(l.cert, l.key, l.root)
	if err != nil {
		log.Error().Err(err).Msg("certificate files can't be used; the earlier ones stay in use")
		return l.m
	}
	l.m, l.stamps = m, s
	log.Info().Str("cert_file", l.cert).Msg("certificates read again")
	return m
}

func load(cert, key, root string) (m material, err error) {
	m.cert, err = tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return m, fmt.Errorf("read the certificate %s and its key %s: %w; check the files of tls in the settings", cert, key, err)
	}
	if root == "" {
		return m, nil
	}
	pem, err := os.ReadFile(root)
	if err != nil {
		return m, fmt.Errorf("read the CA: %w; check tls.ca_file in the settings", err)
	}
	m.roots = x509.NewCertPool()
	if !m.roots.AppendCertsFromPEM(pem) {
		return m, fmt.Errorf("%s holds no certificate in PEM form; check tls.ca_file in the settings", root)
	}
	return m, nil
}
