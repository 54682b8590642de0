package security

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

// authority signs certificates for the tests.
type authority struct {
	t      *testing.T
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, serial: 1}
	template := a.template("authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	a.key = newKey(t)
	a.cert = a.sign(template, template, &a.key.PublicKey, a.key)
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

func (a *authority) template(name string) *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(24 * time.Hour),
	}
}

func (a *authority) sign(template, parent *x509.Certificate, public *ecdsa.PublicKey, key *ecdsa.PrivateKey) *x509.Certificate {
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

// write makes a certificate for an IP number, writes it, its key and the
// authority's certificate, and returns the files and the serial number.
func (a *authority) write(directory, ip string) (TLSFiles, int64) {
	a.t.Helper()
	template := a.template(ip)
	template.IPAddresses = []net.IP{net.ParseIP(ip)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key := newKey(a.t)
	certificate := a.sign(template, a.cert, &key.PublicKey, a.key)
	encodedKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	files := TLSFiles{
		Cert: filepath.Join(directory, "cert.pem"),
		Key:  filepath.Join(directory, "key.pem"),
		CA:   filepath.Join(directory, "ca.pem"),
	}
	a.writePEM(files.Key, "EC PRIVATE KEY", encodedKey)
	a.writePEM(files.CA, "CERTIFICATE", a.cert.Raw)
	a.writePEM(files.Cert, "CERTIFICATE", certificate.Raw)
	return files, a.serial
}

func (a *authority) writePEM(path, kind string, der []byte) {
	a.t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}
