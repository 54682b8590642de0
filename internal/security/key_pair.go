package security

import (
	"crypto/tls"
	"crypto/x509"
)

// keyPair is the loaded content of TLSFiles.
type keyPair struct {
	certificate *tls.Certificate
	// authorities is nil if there is no CA file.
	authorities *x509.CertPool
}
