package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/cockroachdb/errors"
)

// DigestSize is the length of a digest.
const DigestSize = 16

// Digest identifies what a request asks for, whatever its id: method, host, path and query,
// workspace and body. It is a truncated SHA-256, so that nobody can construct a request with the
// digest of another; the workspace is part of it, so that callers can't affect each other.
type Digest [DigestSize]byte

// Content is what a digest is made of.
type Content struct {
	Method, Host, URI string
	// Workspace is the owner of the caller's key, "" on profiles that need none.
	Workspace string
	Body      []byte
}

// DigestOf returns the digest of a request's content.
func DigestOf(c Content) Digest {
	hash := sha256.New()
	for _, part := range []string{c.Method, c.Host, c.URI, c.Workspace} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:]) // a hash never fails to write
		_, _ = io.WriteString(hash, part)
	}
	_, _ = hash.Write(c.Body)
	var d Digest
	copy(d[:], hash.Sum(nil))
	return d
}

// ParseDigest reads what String wrote.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != DigestSize {
		return d, errors.Newf("%q is not a digest of %d hexadecimal digits", text, 2*DigestSize)
	}
	copy(d[:], raw)
	return d, nil
}

// String returns the digest in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	parsed, err := ParseDigest(string(text))
	if err == nil {
		*d = parsed
	}
	return err
}
