package certtest

// Files are the paths of PEM files. The type converts to security.TLSFiles.
type Files struct {
	Cert string
	Key  string
	CA   string
}
