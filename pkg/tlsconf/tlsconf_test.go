package tlsconf

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/credentials"

	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/settings"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	raw         []byte
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(raw)
	require.NoError(t, err)
	return &authority{certificate, key, raw}
}

// files writes a node's certificate, its key and the certificate of the trusted
// authority, and returns the settings that name them.
func (a *authority) files(t *testing.T, trusts *authority) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	rawKey, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	folder := t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(folder, name)
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	return settings.TLS{
		Certificate: write("cert.pem", "CERTIFICATE", raw), Key: write("key.pem", "EC PRIVATE KEY", rawKey),
		CA: write("ca.pem", "CERTIFICATE", trusts.raw),
	}
}

func load(t *testing.T, s settings.TLS) *Config {
	c, err := Load(s)
	require.NoError(t, err)
	return c
}

// handshake performs a handshake, sends one byte and returns the errors of both sides.
func handshake(t *testing.T, server, client credentials.TransportCredentials) (serverErr, clientErr error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	served := make(chan error, 1)
	go func() {
		raw, err := listener.Accept()
		if err != nil {
			served <- err
			return
		}
		defer func() { _ = raw.Close() }()
		conn, _, err := server.ServerHandshake(raw)
		if err == nil {
			_, err = conn.Write([]byte("x"))
		}
		served <- err
	}()
	raw, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = raw.Close() }()
	conn, _, err := client.ClientHandshake(t.Context(), "127.0.0.1", raw)
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	return <-served, err
}

func TestPeersRequireCertificateOfAuthority(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	node, other := load(t, ours.files(t, ours)), load(t, ours.files(t, ours))
	serverErr, clientErr := handshake(t, node.PeerServer(), other.PeerClient())
	require.NoError(t, serverErr)
	require.NoError(t, clientErr)

	untrusted := load(t, theirs.files(t, ours))
	serverErr, _ = handshake(t, node.PeerServer(), untrusted.PeerClient())
	require.Error(t, serverErr, "a certificate of another authority")
	withoutCertificate := credentials.NewTLS(&tls.Config{RootCAs: node.authority, MinVersion: tls.VersionTLS13})
	serverErr, _ = handshake(t, node.PeerServer(), withoutCertificate)
	require.Error(t, serverErr, "no certificate")

	distrusting := load(t, ours.files(t, theirs))
	_, clientErr = handshake(t, node.PeerServer(), distrusting.PeerClient())
	require.Error(t, clientErr, "a server of another authority")
}

func TestLoadErrorsNameKey(t *testing.T) {
	plain, err := Load(settings.TLS{})
	require.NoError(t, err)
	require.Nil(t, plain.PeerServer())
	require.Nil(t, plain.PeerClient())

	a := newAuthority(t)
	s := a.files(t, a)
	missing := s
	missing.Key = s.CA
	_, err = Load(missing)
	require.ErrorContains(t, err, "tls.key")
	empty := s
	empty.CA = s.Key
	_, err = Load(empty)
	require.ErrorContains(t, err, "tls.ca")
}

func TestUpstreamsRequireCertificateOfAuthority(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	files := ours.files(t, ours)
	require.Nil(t, load(t, files).Upstream(), "plain text unless the setting enables TLS")
	files.Upstreams = true
	node := load(t, files)
	for issuer, trusted := range map[*authority]bool{ours: true, theirs: false} {
		upstream := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "whole")
		}))
		upstream.TLS = load(t, issuer.files(t, issuer)).Server()
		upstream.Config.ErrorLog = log.New(io.Discard, "", 0)
		upstream.StartTLS()
		client := dispatch.NewClientWith(dispatch.Options{TLS: node.Upstream()})
		answer, err := client.Do(t.Context(), dispatch.Call{
			RequestID: "r", Address: upstream.Listener.Addr().String(), Method: http.MethodGet, Path: "/", Deadline: time.Now().Add(time.Minute),
		})
		client.Close()
		upstream.Close()
		if trusted {
			require.NoError(t, err)
			require.Equal(t, "whole", string(answer.Body))
			continue
		}
		failure, ok := dispatch.CallErrorOf(err)
		require.True(t, ok)
		require.True(t, failure.NotRun(), "no byte of the request was sent")
	}
}
