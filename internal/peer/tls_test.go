package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/harness/standin/pipenet"
	"github.com/cockroachdb/errors"
)

// authority is a certificate authority that signs certificates of VMs for IP addresses.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.cert = a.sign(template, template, &a.key.PublicKey)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *authority) sign(template, parent *x509.Certificate, public *ecdsa.PublicKey) *x509.Certificate {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert
}

func (a *authority) certificate(ip string) tls.Certificate {
	key := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: a.cert.NotBefore, NotAfter: a.cert.NotAfter,
		IPAddresses: []net.IP{net.ParseIP(ip)},
	}
	cert := a.sign(template, a.cert, &key.PublicKey)
	return tls.Certificate{Certificate: [][]byte{cert.Raw}, PrivateKey: key}
}

func (a *authority) pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

func (a *authority) options(vm, ip string, certificates ...tls.Certificate) Options {
	return Options{
		VM: vm, Address: ip + ":7000", Seeds: []string{"10.0.0.1:7000"}, Store: newMemoryStore(),
		TLS: &tls.Config{Certificates: certificates, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: a.pool()},
		ClientTLS: func(host string) *tls.Config {
			return &tls.Config{Certificates: certificates, RootCAs: a.pool(), ServerName: host}
		},
	}
}

// Peers use mutual TLS. A VM whose certificate was signed by the fleet's authority must join by IP
// address. A VM without a certificate, one with a certificate of another authority and one that
// does not use TLS must get no part of the configuration.
func TestOnlyPeersWithValidCertificateJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, ours, other := pipenet.NewNetwork(), newAuthority(t), newAuthority(t)
		server := ours.options("server", "10.0.0.1", ours.certificate("10.0.0.1"))
		plain := ours.options("plain", "10.0.0.5")
		plain.TLS, plain.ClientTLS = nil, nil
		node := New(server)
		defer node.Stop()
		lis := network.Listen(server.Address)
		go func() { _ = node.Serve(lis) }()
		for _, c := range []struct {
			options Options
			joins   bool
		}{
			{ours.options("known", "10.0.0.2", ours.certificate("10.0.0.2")), true},
			{ours.options("nameless", "10.0.0.3"), false},
			{ours.options("foreign", "10.0.0.4", other.certificate("10.0.0.4")), false},
			{plain, false},
		} {
			c.options.Dial = network.DialFrom(c.options.Address)
			joiner := New(c.options)
			err := joiner.Join(t.Context())
			joiner.Stop()
			if joined := !errors.Is(err, ErrNoPeer); joined != c.joins {
				t.Errorf("%s: joined is %v, want %v", c.options.VM, joined, c.joins)
			}
		}
	})
}
