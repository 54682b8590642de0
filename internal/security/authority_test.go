package security

import (
	"testing"

	"geraniumcroft/internal/security/certtest"
)

// authority is a certtest.Authority that returns TLSFiles.
type authority struct{ *certtest.Authority }

func newAuthority(t *testing.T) authority {
	t.Helper()
	return authority{certtest.New(t)}
}

func (a authority) write(directory, ip string) (TLSFiles, int64) {
	files, serial := a.Write(directory, ip)
	return TLSFiles(files), serial
}
