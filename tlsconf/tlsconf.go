// Package tlsconf provides the TLS configuration of a process: mutual TLS between the
// processes of a deployment, and server TLS for callers. Certificates are reloaded
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

// PeerCredentials returns the gRPC transport credentials for connections between
// processes. Both sides present a certificate issued by the CA, and the server's
// certificate must contain its IP address.
func PeerCredentials(s settings.TLS) (credentials.TransportCredentials, error) {
	if s.Off {
		return insecure.NewCredentials(), nil
	}
	l, err := newCertLoader(time.Now, s.CertFile, s.KeyFile, s.CAFile)
	if err != nil {
		return nil, err
	}
	return peerCredentials{l}, nil
}

// CallerConfig returns the TLS configuration of the HTTP server for callers, or nil if TLS
// is off.
func CallerConfig(s settings.TLS) (*tls.Config, error) {
	if s.Off {
		return nil, nil
	}
	l, err := newCertLoader(time.Now, s.CallerCert, s.CallerKey, "")
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12, // callers may use older TLS clients than this system's processes
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certs := l.current()
			return &certs.cert, nil
		},
	}, nil
}

// peerCredentials implements credentials.TransportCredentials. Each handshake uses the
// current contents of the files.
type peerCredentials struct{ loader *certLoader }

// ClientHandshake implements credentials.TransportCredentials.
func (p peerCredentials) ClientHandshake(ctx context.Context, authority string, c net.Conn) (net.Conn, credentials.AuthInfo, error) {
	certs := p.loader.current()
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certs.cert}, RootCAs: certs.caPool,
	}).ClientHandshake(ctx, authority, c)
}

// ServerHandshake implements credentials.TransportCredentials.
func (p peerCredentials) ServerHandshake(c net.Conn) (net.Conn, credentials.AuthInfo, error) {
	certs := p.loader.current()
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certs.cert},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: certs.caPool,
	}).ServerHandshake(c)
}

// Info implements credentials.TransportCredentials.
func (p peerCredentials) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

// Clone implements credentials.TransportCredentials.
func (p peerCredentials) Clone() credentials.TransportCredentials { return p }

// OverrideServerName implements credentials.TransportCredentials.
func (p peerCredentials) OverrideServerName(string) error {
	return errors.New("server name can't be overridden: processes are identified by IP address")
}

// fileCheckInterval is the minimum time between two checks for changed files.
const fileCheckInterval = time.Second

// certificates holds the parsed contents of the certificate files.
type certificates struct {
	cert   tls.Certificate
	caPool *x509.CertPool
}

// certLoader loads a certificate, its key and an optional CA, and reloads them when
// their files change.
type certLoader struct {
	now                       func() time.Time
	certFile, keyFile, caFile string

	mu         sync.Mutex
	loaded     certificates
	checkedAt  time.Time
	fileStates [3]fileState
}

// fileState identifies a version of a file.
type fileState struct {
	modTime time.Time
	size    int64
}

func newCertLoader(now func() time.Time, certFile, keyFile, caFile string) (*certLoader, error) {
	l := &certLoader{now: now, certFile: certFile, keyFile: keyFile, caFile: caFile, checkedAt: now(), fileStates: statFiles(certFile, keyFile, caFile)}
	var err error
	l.loaded, err = loadCertificates(certFile, keyFile, caFile)
	return l, err
}

func statFiles(files ...string) (out [3]fileState) {
	for i, f := range files {
		if info, err := os.Stat(f); err == nil {
			out[i] = fileState{info.ModTime(), info.Size()}
		}
	}
	return out
}

// current returns the certificates, reloading them if a file has changed. If loading
// fails, for example because only one file of a renewed pair has been written, the
// previous certificates stay in use.
func (l *certLoader) current() certificates {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if now.Sub(l.checkedAt) < fileCheckInterval {
		return l.loaded
	}
	l.checkedAt = now
	states := statFiles(l.certFile, l.keyFile, l.caFile)
	if states == l.fileStates {
		return l.loaded
	}
	certs, err := loadCertificates(l.certFile, l.keyFile, l.caFile)
	if err != nil {
		log.Error().Err(err).Msg("failed to load changed certificate files; keeping the previous certificates")
		return l.loaded
	}
	l.loaded, l.fileStates = certs, states
	log.Info().Str("cert_file", l.certFile).Msg("certificates reloaded")
	return certs
}

func loadCertificates(certFile, keyFile, caFile string) (certs certificates, err error) {
	certs.cert, err = tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return certs, fmt.Errorf("load certificate %s and key %s: %w; check the files under tls in the settings", certFile, keyFile, err)
	}
	if caFile == "" {
		return certs, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return certs, fmt.Errorf("read CA file: %w; check tls.ca_file in the settings", err)
	}
	certs.caPool = x509.NewCertPool()
	if !certs.caPool.AppendCertsFromPEM(pem) {
		return certs, fmt.Errorf("CA file %s contains no PEM certificate; check tls.ca_file in the settings", caFile)
	}
	return certs, nil
}
