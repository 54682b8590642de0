package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/cockroachdb/errors"
)

// DigestSize is the size of a Digest in bytes.
const DigestSize = 16

// Digest identifies the content of a request, independent of its request ID: method, host, path and
// query, workspace and body; or a part of prompts. It is a truncated SHA-256 sum, so that a caller cannot
// construct a request with the digest of another one. The workspace is included in that of a request, so
// that one workspace cannot have the requests of another one quarantined.
type Digest [DigestSize]byte

// Content is the part of a request that its Digest covers.
type Content struct {
	Method, Host, URI string
	// Workspace owns the API key of the caller. It is empty on profiles that need no key.
	Workspace string
	Body      []byte
}

// DigestOf returns the digest of c.
func DigestOf(c Content) Digest {
	return digest([]string{c.Method, c.Host, c.URI, c.Workspace}, c.Body)
}

// digest hashes each string with its length, so that moving a byte from one field to the next changes the
// digest.
func digest(fields []string, body []byte) Digest {
	hash := sha256.New()
	for _, field := range fields {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:]) // hash.Hash.Write never returns an error
		_, _ = io.WriteString(hash, field)
	}
	_, _ = hash.Write(body)
	var d Digest
	copy(d[:], hash.Sum(nil))
	return d
}

// ParseDigest parses the hexadecimal form that Digest.String returns.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != DigestSize {
		return d, errors.Newf("%q is not a digest of %d hexadecimal digits", text, 2*DigestSize)
	}
	copy(d[:], raw)
	return d, nil
}

// String returns the digest as hexadecimal digits.
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
