package settings

// TLS is a listener's choice of TLS or plain connections.
type TLS struct {
	// Plain is the operator's explicit choice of connections without TLS.
	Plain bool
	Cert  string
	Key   string
	// CA is the file of authorities whose client certificates are demanded; empty
	// demands none.
	CA string
}
