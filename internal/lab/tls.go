package lab

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
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// TLSFiles are the files of one certificate that signs itself.
type TLSFiles struct {
	Cert, Key, CA string
	pool          *x509.CertPool
}

// NewTLSFiles writes a certificate for the IP numbers of a lab into a directory.
func NewTLSFiles(dir string) (*TLSFiles, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	cert := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "lab"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1), net.IPv4(127, 0, 1, 1), net.IPv4(127, 0, 1, 2), net.IPv4(127, 0, 1, 3)},
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, err
	}
	f := &TLSFiles{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), pool: x509.NewCertPool()}
	f.CA = f.Cert
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	f.pool.AppendCertsFromPEM(certPEM)
	if err := os.WriteFile(f.Cert, certPEM, 0o600); err != nil {
		return nil, err
	}
	return f, os.WriteFile(f.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600)
}

// UseTLS makes every node that is started from now on speak TLS.
func (l *Lab) UseTLS(f *TLSFiles) { l.tls = f }

// URL returns the address of a process with its scheme.
func (p *Process) URL() string {
	if p.tls != nil {
		return "https://" + p.Addr.String()
	}
	return "http://" + p.Addr.String()
}

// Client returns a client that trusts the process's certificate and keeps no connection.
func (p *Process) Client() *http.Client {
	t := &http.Transport{DisableKeepAlives: true}
	if p.tls != nil {
		t.TLSClientConfig = &tls.Config{RootCAs: p.tls.pool, MinVersion: tls.VersionTLS12}
	}
	return &http.Client{Timeout: 30 * time.Second, Transport: t}
}
