// Package certtest creates certificates for tests of TLS connections.
package certtest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Authority is a certificate authority for one test. Errors fail the test.
type Authority struct {
	t *testing.T
	// Cert is the authority's own certificate.
	Cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

// New returns an authority with a new key.
func New(t *testing.T) *Authority {
	t.Helper()
	a := &Authority{t: t, serial: 1}
	template := a.template("authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	a.key = newKey(t)
	a.Cert = a.sign(template, template, &a.key.PublicKey, a.key)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *Authority) template(name string) *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(24 * time.Hour),
	}
}

func (a *Authority) sign(template, parent *x509.Certificate, public *ecdsa.PublicKey, key *ecdsa.PrivateKey) *x509.Certificate {
	a.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, key)
	if err != nil {
		a.t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return certificate
}

// Write creates a certificate for an IP address, for servers and clients. It writes the
// certificate, its key and the authority's certificate into the directory, and returns the
// paths and the serial number.
func (a *Authority) Write(directory, ip string) (Files, int64) {
	a.t.Helper()
	template := a.template(ip)
	template.IPAddresses = []net.IP{net.ParseIP(ip)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key := newKey(a.t)
	certificate := a.sign(template, a.Cert, &key.PublicKey, a.key)
	encodedKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	files := Files{
		Cert: filepath.Join(directory, "cert.pem"),
		Key:  filepath.Join(directory, "key.pem"),
		CA:   filepath.Join(directory, "ca.pem"),
	}
	a.WritePEM(files.Key, "EC PRIVATE KEY", encodedKey)
	a.WritePEM(files.CA, "CERTIFICATE", a.Cert.Raw)
	a.WritePEM(files.Cert, "CERTIFICATE", certificate.Raw)
	return files, a.serial
}

// WritePEM writes a file with one PEM block of the given type.
func (a *Authority) WritePEM(path, blockType string, der []byte) {
	a.t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}
