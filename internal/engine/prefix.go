package engine

import "github.com/cespare/xxhash/v2"

const (
	// PrefixBlockTokens is the number of prompt tokens in one cached block.
	PrefixBlockTokens = 16
	// MaxPrefixBlocks is the largest number of blocks of one prompt that are hashed.
	MaxPrefixBlocks = 256
)

// PrefixHashes returns the hashes of the prefixes of a prompt that end with a complete
// block, the longest last. The router and the engines must compute the same hashes, since
// cache events carry them. The hashes include model, version and adapter, whose caches are
// separate.
func PrefixHashes(model, version, adapter string, prompt []string) []uint64 {
	blocks := min(len(prompt)/PrefixBlockTokens, MaxPrefixBlocks)
	if blocks == 0 {
		return nil
	}
	hashes := make([]uint64, 0, blocks)
	digest := xxhash.New()
	for _, part := range []string{model, version, adapter} {
		writePart(digest, part)
	}
	for i := range blocks * PrefixBlockTokens {
		writePart(digest, prompt[i])
		if (i+1)%PrefixBlockTokens == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return hashes
}

var separator = []byte{0}

// writePart adds a part with a separator, so that parts cannot run into each other.
func writePart(digest *xxhash.Digest, part string) {
	_, _ = digest.WriteString(part)
	_, _ = digest.Write(separator)
}
