package security

import "crypto/sha256"

// tokenEntry is one line of a tokens file.
type tokenEntry struct {
	author string
	role   Role
	digest [sha256.Size]byte
}
