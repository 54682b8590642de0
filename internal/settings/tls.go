package settings

// TLS says whether a listener uses TLS, and with which files.
type TLS struct {
	// Plain is the operator's explicit choice of connections without TLS.
	Plain bool
	// Cert and Key are the files of the certificate chain and of its private key.
	Cert string
	Key  string
	// CA is the file of the authorities that must have signed a client's certificate.
	// If empty, clients need no certificate.
	CA string
}
