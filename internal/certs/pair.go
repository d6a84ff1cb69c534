package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// minCheckInterval limits how often the files are checked for changes.
const minCheckInterval = time.Second

// KeyPair is a certificate and private key on disk that is reloaded when either
// file changes. If that fails the last valid pair stays in use: a half-written
// file must not take the listener down.
type KeyPair struct {
	certFile, keyFile string
	now               func() time.Time

	mu        sync.Mutex
	cert      *tls.Certificate
	modTimes  [2]time.Time
	lastCheck time.Time
}

// NewKeyPair loads the files and fails if they are not a valid pair.
func NewKeyPair(certFile, keyFile string, now func() time.Time) (*KeyPair, error) {
	p := &KeyPair{certFile: certFile, keyFile: keyFile, now: now}
	if err := p.load(); err != nil {
		return nil, err
	}
	return p, nil
}

// Certificate returns the current certificate.
func (p *KeyPair) Certificate() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.now(); now.Sub(p.lastCheck) >= minCheckInterval {
		p.lastCheck = now
		_ = p.load()
	}
	return p.cert
}

// load reads the files if they changed. Callers other than NewKeyPair hold mu.
func (p *KeyPair) load() error {
	modTimes, err := readModTimes(p.certFile, p.keyFile)
	if err != nil {
		return err
	}
	if p.cert != nil && modTimes == p.modTimes {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if err != nil {
		return errors.Wrapf(err, "read certificate file=%s", p.certFile)
	}
	p.cert, p.modTimes = &cert, modTimes
	return nil
}

// readModTimes returns the modification times of the files.
func readModTimes(files ...string) (modTimes [2]time.Time, err error) {
	for i, f := range files {
		info, err := os.Stat(f)
		if err != nil {
			return modTimes, errors.Wrap(err, "read modification time of certificate")
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

// ServerConfig returns the TLS configuration of a listener for callers.
func ServerConfig(p *KeyPair) *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.Certificate(), nil },
	}
}

// MutualConfig returns the TLS configuration of connections between peers, for
// both sides: each side's certificate must be signed by the CA. Host names are
// not verified, since peers connect by IP address and addresses are reused; in
// addition, peers must prove that they know the shared secret.
func MutualConfig(p *KeyPair, caFile string) (*tls.Config, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "read CA certificates")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("read CA certificates file=%s: no certificate found", caFile)
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.Certificate(), nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.Certificate(), nil },
		ClientAuth:           tls.RequireAnyClientCert,
		InsecureSkipVerify:   true, // VerifyConnection verifies the chain on both sides
		VerifyConnection:     func(s tls.ConnectionState) error { return verifyChain(s.PeerCertificates, roots) },
	}, nil
}

// verifyChain verifies a certificate chain against the CA, without a host name.
func verifyChain(chain []*x509.Certificate, roots *x509.CertPool) error {
	if len(chain) == 0 {
		return errors.New("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	return errors.Wrap(err, "verify peer certificate")
}
