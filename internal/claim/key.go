package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

const (
	rowPrefix = "claims/"
	// rowPrefixEnd is the first key after all keys that start with rowPrefix.
	rowPrefixEnd = "claims0"
	claimSuffix  = "/claim"
	endSuffix    = "/end"
)

// Key identifies a caller's request within its workspace and profile.
type Key struct {
	Workspace string
	Profile   string
	// Key is the caller's idempotency key. It is neither stored nor logged.
	Key string
}

// hash returns the hex SHA-256 of the key. Each part is preceded by its length, so
// that moving characters from one part to another yields another hash.
func (k Key) hash() string {
	digest := sha256.New()
	for _, part := range []string{k.Workspace, k.Profile, k.Key} {
		digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		digest.Write([]byte(part))
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// claimRow returns the key of the claim row.
func (k Key) claimRow() string { return rowPrefix + k.hash() + claimSuffix }

// endRow returns the key of the end row.
func (k Key) endRow() string { return rowPrefix + k.hash() + endSuffix }
