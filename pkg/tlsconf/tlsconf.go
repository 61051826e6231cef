// Package tlsconf builds the TLS configurations of a node from its settings: for the
// listeners of callers and operators, for mutual TLS between nodes with certificates of the
// same authority, and for connections to upstreams.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"

	"google.golang.org/grpc/credentials"

	"github.com/masticmount/masticmount/pkg/settings"
)

// Config holds a node's certificate and the certificate authority that it trusts.
type Config struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	upstreams   bool
}

// Load reads the files in the settings. It returns nil without an error if TLS is not
// configured; the node then uses plain text.
func Load(s settings.TLS) (*Config, error) {
	if s == (settings.TLS{}) {
		return nil, nil //nolint:nilnil // nil is the plain-text configuration
	}
	certificate, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, fmt.Errorf("tls.certificate and tls.key: %w; give a PEM certificate and its key", err)
	}
	pem, err := os.ReadFile(s.CA)
	if err != nil {
		return nil, fmt.Errorf("tls.ca: %w; give a file that the node can read", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return nil, errors.New("tls.ca contains no certificate; give the PEM certificate of the certificate authority")
	}
	return &Config{certificate: certificate, authority: authority, upstreams: s.Upstreams}, nil
}

// Server returns the configuration for listeners of callers and operators. It requires no
// client certificate because they authenticate by token.
func (c *Config) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{c.certificate}}
}

// Listener wraps a listener of callers or operators with TLS. A nil Config returns it
// unchanged.
func (c *Config) Listener(inner net.Listener) net.Listener {
	if c == nil {
		return inner
	}
	return tls.NewListener(inner, c.Server())
}

// PeerServer returns the credentials for the listener for other nodes, which must
// present a certificate of the authority. It returns nil for plain text.
func (c *Config) PeerServer() credentials.TransportCredentials {
	if c == nil {
		return nil
	}
	config := c.Server()
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = c.authority
	config.MinVersion = tls.VersionTLS13
	return credentials.NewTLS(config)
}

// PeerClient returns the credentials for connections to other nodes, or nil for plain
// text.
func (c *Config) PeerClient() credentials.TransportCredentials {
	if c == nil {
		return nil
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{c.certificate}, RootCAs: c.authority,
	})
}

// Upstream returns the configuration for connections to upstreams, which must present a
// certificate of the authority for their IP address. It returns nil for plain text.
func (c *Config) Upstream() *tls.Config {
	if c == nil || !c.upstreams {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{c.certificate}, RootCAs: c.authority}
}
