package certtest

// Files are paths of PEM files.
type Files struct {
	Cert string
	Key  string
	CA   string
}
