package tlsconf

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/rpc/dial"
	"github.com/galenaweir/galenaweir/settings"
)

// testCA is a certificate authority created for a test.
type testCA struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &testCA{t, cert, key}
}

// issue writes a certificate for the IP address, its key and the CA to the files.
func (ca *testCA) issue(f settings.TLS, ip string, serial int64) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(ca.t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{net.ParseIP(ip)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, &key.PublicKey, ca.key)
	require.NoError(ca.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(ca.t, err)
	write := func(file, kind string, der []byte) {
		require.NoError(ca.t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		// The file system's timestamps may be coarse, so each version gets a distinct one.
		at := time.Now().Add(time.Duration(serial) * time.Minute)
		require.NoError(ca.t, os.Chtimes(file, at, at))
	}
	write(f.CertFile, "CERTIFICATE", der)
	write(f.KeyFile, "EC PRIVATE KEY", keyDER)
	write(f.CAFile, "CERTIFICATE", ca.cert.Raw)
}

func testFiles(t *testing.T) settings.TLS {
	d := t.TempDir()
	f := settings.TLS{CertFile: filepath.Join(d, "cert"), KeyFile: filepath.Join(d, "key"), CAFile: filepath.Join(d, "ca")}
	f.CallerCert, f.CallerKey = f.CertFile, f.KeyFile
	return f
}

// handshake returns the serial numbers of the certificates that each side received.
func handshake(t *testing.T, client, server credentials.TransportCredentials) (seenByClient, seenByServer int64, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	type result struct {
		serial int64
		err    error
	}
	served := make(chan result, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			served <- result{0, err}
			return
		}
		defer c.Close()
		_, info, err := server.ServerHandshake(c)
		served <- result{serial(info), err}
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, info, err := client.ClientHandshake(t.Context(), l.Addr().String(), c)
	if err != nil {
		_ = c.Close()
	}
	s := <-served
	if err == nil {
		err = s.err
	}
	return serial(info), s.serial, err
}

func serial(info credentials.AuthInfo) int64 {
	t, ok := info.(credentials.TLSInfo)
	if !ok {
		return 0
	}
	return t.State.PeerCertificates[0].SerialNumber.Int64()
}

// Guards against accepting a peer that has no certificate of the CA or whose
// certificate names another address, and against not reloading renewed files.
func TestPeerCredentials(t *testing.T) {
	ca := newTestCA(t)
	entry, agent := testFiles(t), testFiles(t)
	ca.issue(entry, "127.0.0.1", 2)
	ca.issue(agent, "127.0.0.1", 3)
	client, err := PeerCredentials(entry)
	require.NoError(t, err)
	l, err := newCertLoader(time.Now, agent.CertFile, agent.KeyFile, agent.CAFile)
	require.NoError(t, err)
	now := time.Now()
	l.now = func() time.Time { return now }
	server := peerCredentials{l}
	a, b, err := handshake(t, client, server)
	require.NoError(t, err)
	require.Equal(t, []int64{3, 2}, []int64{a, b})

	foreignFiles := testFiles(t)
	newTestCA(t).issue(foreignFiles, "127.0.0.1", 4)
	require.NoError(t, copyFile(agent.CAFile, foreignFiles.CAFile)) // the foreign peer accepts the CA of the others, but its own certificate is of another CA
	foreign, err := PeerCredentials(foreignFiles)
	require.NoError(t, err)
	_, _, err = handshake(t, foreign, server)
	require.Error(t, err, "a client of another CA")
	_, _, err = handshake(t, client, foreign)
	require.Error(t, err, "a server of another CA")
	_, _, err = handshake(t, credentials.NewTLS(&tls.Config{RootCAs: l.loaded.caPool}), server)
	require.Error(t, err, "a client without a certificate")

	ca.issue(agent, "127.0.0.9", 5)
	a, _, err = handshake(t, client, server)
	require.NoError(t, err)
	require.EqualValues(t, 3, a, "the files are checked at most once per second")
	now = now.Add(fileCheckInterval)
	_, _, err = handshake(t, client, server)
	require.ErrorContains(t, err, "127.0.0.9", "the certificate names another IP address")

	require.NoError(t, os.WriteFile(agent.KeyFile, []byte("half a"), 0o600))
	now = now.Add(fileCheckInterval)
	require.EqualValues(t, 5, l.current().cert.Leaf.SerialNumber.Int64(), "an invalid pair leaves the previous one in use")
	ca.issue(agent, "127.0.0.1", 6)
	now = now.Add(fileCheckInterval)
	a, _, err = handshake(t, client, server)
	require.NoError(t, err)
	require.EqualValues(t, 6, a)
}

func copyFile(from, to string) error {
	b, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, b, 0o600)
}

// Guards against TLS being off without the setting, and against missing files that are
// detected only at the first handshake.
func TestTLSOffAndMissingFiles(t *testing.T) {
	c, err := PeerCredentials(settings.TLS{Off: true})
	require.NoError(t, err)
	require.Equal(t, "insecure", c.Info().SecurityProtocol)
	f := testFiles(t)
	_, err = PeerCredentials(f)
	require.ErrorContains(t, err, "check the files under tls")
	_, err = CallerConfig(f)
	require.Error(t, err)
	newTestCA(t).issue(f, "127.0.0.1", 2)
	conf, err := CallerConfig(f)
	require.NoError(t, err)
	cert, err := conf.GetCertificate(nil)
	require.NoError(t, err)
	require.EqualValues(t, 2, cert.Leaf.SerialNumber.Int64())
}

// Guards against credentials that complete a handshake but don't work with gRPC.
func TestPeerCredentialsUnderGRPC(t *testing.T) {
	f := testFiles(t)
	newTestCA(t).issue(f, "127.0.0.1", 2)
	creds, err := PeerCredentials(f)
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := grpc.NewServer(grpc.Creds(creds))
	rpc.RegisterAgentServer(s, rpc.UnimplementedAgentServer{})
	go func() { _ = s.Serve(l) }()
	defer s.Stop()
	call := func(c credentials.TransportCredentials) codes.Code {
		pool := dial.New(c)
		defer pool.Close()
		conn, err := pool.Get(l.Addr().String())
		require.NoError(t, err)
		_, err = rpc.NewAgentClient(conn).Cancel(t.Context(), &rpc.CancelRequest{})
		return status.Code(err)
	}
	require.Equal(t, codes.Unimplemented, call(creds))
	require.Equal(t, codes.Unavailable, call(insecure.NewCredentials()))
}
