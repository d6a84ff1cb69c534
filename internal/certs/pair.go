package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// checkEvery bounds how often the files are looked at.
const checkEvery = time.Second

// KeyPair is a certificate and key on disk, read again when either file changes.
// A pair that cannot be read leaves the last good one in use: a half-written
// file must not take the listener down.
type KeyPair struct {
	certFile, keyFile string
	now               func() time.Time

	mu      sync.Mutex
	cert    *tls.Certificate
	stamp   [2]time.Time
	checked time.Time
}

// NewKeyPair reads the files once and fails if they are no valid pair.
func NewKeyPair(certFile, keyFile string, now func() time.Time) (*KeyPair, error) {
	p := &KeyPair{certFile: certFile, keyFile: keyFile, now: now}
	if err := p.load(); err != nil {
		return nil, err
	}
	return p, nil
}

// Certificate is the present certificate.
func (p *KeyPair) Certificate() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.now(); now.Sub(p.checked) >= checkEvery {
		p.checked = now
		_ = p.load()
	}
	return p.cert
}

// load reads the files if they changed. Callers hold mu, or are NewPair.
func (p *KeyPair) load() error {
	stamp, err := stampsOf(p.certFile, p.keyFile)
	if err != nil {
		return err
	}
	if p.cert != nil && stamp == p.stamp {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if err != nil {
		return errors.Wrapf(err, "read certificate file=%s", p.certFile)
	}
	p.cert, p.stamp = &cert, stamp
	return nil
}

func stampsOf(files ...string) (stamp [2]time.Time, err error) {
	for i, f := range files {
		info, err := os.Stat(f)
		if err != nil {
			return stamp, errors.Wrap(err, "read certificate")
		}
		stamp[i] = info.ModTime()
	}
	return stamp, nil
}

// ServerConfig is the configuration of a listener for callers.
func ServerConfig(p *KeyPair) *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.Certificate(), nil },
	}
}

// MutualConfig is the configuration of connections between peers, in both
// directions: each side's certificate must come from the authority. Host names
// are not compared, since peers talk by IP address and addresses are reused;
// the shared secret still has to be proved on top.
func MutualConfig(p *KeyPair, caFile string) (*tls.Config, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "read authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("read authority file=%s: no certificate in it", caFile)
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.Certificate(), nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.Certificate(), nil },
		ClientAuth:           tls.RequireAnyClientCert,
		InsecureSkipVerify:   true, // replaced by the check below, in both directions
		VerifyConnection:     func(s tls.ConnectionState) error { return verify(s.PeerCertificates, roots) },
	}, nil
}

// verify checks a chain against the authority, without a host name.
func verify(chain []*x509.Certificate, roots *x509.CertPool) error {
	if len(chain) == 0 {
		return errors.New("peer certificate: none")
	}
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	return errors.Wrap(err, "peer certificate")
}
