package security

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// DigestOf returns the hex SHA-256 of a key or token, the form that tokens files and a
// workspace's keyDigests use.
func DigestOf(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// CheckKey reports whether the hex SHA-256 of a bearer key is one of the digests. It compares
// with all of them in constant time. Without digests it returns false; whether a key is
// required is up to the caller.
func CheckKey(key string, digests []string) bool {
	var encoded [2 * sha256.Size]byte
	sum := sha256.Sum256([]byte(key))
	hex.Encode(encoded[:], sum[:])
	match := 0
	for _, digest := range digests {
		match |= subtle.ConstantTimeCompare(encoded[:], []byte(strings.ToLower(digest)))
	}
	return match == 1
}
