package security

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// DigestOf returns the hex SHA-256 of a key or token, as it stands in a tokens
// file and in a workspace's keyDigests.
func DigestOf(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// CheckKey reports whether a bearer key is one of those with the hex SHA-256
// digests. It compares with all of them. Without any digest no key fits; whether
// one is needed is the caller's to know.
func CheckKey(key string, digests []string) bool {
	var encoded [2 * sha256.Size]byte
	sum := sha256.Sum256([]byte(key))
	hex.Encode(encoded[:], sum[:])
	found := 0
	for _, digest := range digests {
		found |= subtle.ConstantTimeCompare(encoded[:], []byte(strings.ToLower(digest)))
	}
	return found == 1
}
