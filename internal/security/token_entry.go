package security

import "crypto/sha256"

type tokenEntry struct {
	author string
	role   Role
	digest [sha256.Size]byte
}
