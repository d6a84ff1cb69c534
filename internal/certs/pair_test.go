package certs

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

	"github.com/matryer/is"
)

type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T, file string) testCA {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	is.NoErr(err)
	cert, err := x509.ParseCertificate(der)
	is.NoErr(err)
	is.NoErr(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	return testCA{cert, key}
}

// issue writes a certificate and key, and sets the modification time of both
// files to at.
func (a testCA) issue(t *testing.T, dir, name string, serial int64, at time.Time) (certFile, keyFile string) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	certFile, keyFile = filepath.Join(dir, name+".crt"), filepath.Join(dir, name+".key")
	is.NoErr(os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	is.NoErr(os.Chtimes(certFile, at, at))
	is.NoErr(os.Chtimes(keyFile, at, at))
	return certFile, keyFile
}

// An operator replaces the certificate files of a running process. New
// connections get the new certificate; an invalid file leaves the last valid one
// in use.
func TestKeyPairIsReloaded(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca := newTestCA(t, filepath.Join(dir, "ca.pem"))
	now := time.Unix(1000, 0)
	cert, key := ca.issue(t, dir, "node", 2, now)
	p, err := NewKeyPair(cert, key, func() time.Time { return now })
	is.NoErr(err)
	first := p.Certificate().Certificate[0]

	ca.issue(t, dir, "node", 3, now.Add(time.Minute))
	now = now.Add(2 * time.Second)
	second := p.Certificate().Certificate[0]
	is.True(string(first) != string(second))

	is.NoErr(os.WriteFile(cert, []byte("half"), 0o600))
	now = now.Add(2 * time.Second)
	is.Equal(p.Certificate().Certificate[0], second)
}

// A process with a certificate of another CA connects to a peer. The handshake
// must fail.
func TestMutualConfigRejectsOtherCA(t *testing.T) {
	dir := t.TempDir()
	ours := newTestCA(t, filepath.Join(dir, "ours.pem"))
	theirs := newTestCA(t, filepath.Join(dir, "theirs.pem"))
	tests := []struct {
		name   string
		dialer testCA
		ok     bool
	}{{"same CA", ours, true}, {"another CA", theirs, false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := mutualConfig(t, ours, dir, "server")
			client := mutualConfig(t, tt.dialer, dir, "client")
			is.Equal(handshake(server, client) == nil, tt.ok)
		})
	}
}

func mutualConfig(t *testing.T, a testCA, dir, name string) *tls.Config {
	t.Helper()
	is := is.New(t)
	cert, key := a.issue(t, dir, name, 5, time.Now())
	p, err := NewKeyPair(cert, key, time.Now)
	is.NoErr(err)
	c, err := MutualConfig(p, filepath.Join(dir, "ours.pem"))
	is.NoErr(err)
	return c
}

// handshake returns the result of the handshake on the server's side.
func handshake(server, client *tls.Config) error {
	a, b := net.Pipe()
	defer a.Close()
	go func() {
		defer b.Close()
		_ = tls.Client(b, client).Handshake()
	}()
	return tls.Server(a, server).Handshake()
}
