package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// PeerTLS returns how other nodes are called, or nil without TLS.
func (s *Settings) PeerTLS() (*tls.Config, error) { return ClientTLS(s.CAFile) }

// ClientTLS returns a client configuration that trusts the certificates in a file, or nil for no file.
func ClientTLS(caFile string) (*tls.Config, error) {
	if caFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%w: %s holds no certificate", ErrSettings, caFile)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
