package wholepath

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
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// writeCertificates creates a certificate authority and a certificate for 127.0.0.1
// and returns the paths of the CA certificate, the certificate and its key.
func writeCertificates(t *testing.T) (ca, cert, key string) {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	ca, cert, key = filepath.Join(dir, "ca.pem"), filepath.Join(dir, "node.pem"), filepath.Join(dir, "node.key")
	root := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	rootKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "node"}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	leafKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	rootDER, err := x509.CreateCertificate(rand.Reader, root, root, &rootKey.PublicKey, rootKey)
	is.NoErr(err)
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, root, &leafKey.PublicKey, rootKey)
	is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(leafKey)
	is.NoErr(err)
	for file, block := range map[string]*pem.Block{
		ca:   {Type: "CERTIFICATE", Bytes: rootDER},
		cert: {Type: "CERTIFICATE", Bytes: leafDER},
		key:  {Type: "EC PRIVATE KEY", Bytes: keyDER},
	} {
		is.NoErr(os.WriteFile(file, pem.EncodeToMemory(block), 0o600))
	}
	return ca, cert, key
}

// With TLS for callers and peers, the instances find each other and issue the
// whole rate. A caller that trusts the authority gets an answer, one that uses plain HTTP
// doesn't.
func TestCallersAndPeersOverTLS(t *testing.T) {
	is := is.New(t)
	ca, cert, key := writeCertificates(t)
	f := newFleet(t, fleetSpec{entries: 3, engines: 1, entryFlags: []string{
		"--caller-tls-cert", cert, "--caller-tls-key", key,
		"--peer-tls-cert", cert, "--peer-tls-key", key, "--peer-tls-ca", ca,
	}})
	roots := x509.NewCertPool()
	raw, err := os.ReadFile(ca)
	is.NoErr(err)
	is.True(roots.AppendCertsFromPEM(raw))
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
	for _, e := range f.entries {
		req, err := http.NewRequest(http.MethodPost, "https://"+f.addressOf(e)+"/v1/chat/completions", strings.NewReader(chatBody("hello", 3)))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+f.keys["office"])
		resp, err := client.Do(req)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		resp.Body.Close()
	}
	is.True(f.send("entry0", "office", "/v1/chat/completions", chatBody("hello", 3)).status != http.StatusOK)
}
