package engine

import "github.com/cespare/xxhash/v2"

const (
	// PrefixBlockTokens is the number of prompt tokens in one cached block.
	PrefixBlockTokens = 16
	// MaxPrefixBlocks bounds the blocks of one prompt that are hashed.
	MaxPrefixBlocks = 256
)

// PrefixHashes returns the hash of each whole block's prefix of a prompt, the
// longest last. Router and engines must agree on it, as cache events carry these
// hashes. Model, version and adapter are part of it: their caches do not mix.
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

func writePart(digest *xxhash.Digest, part string) {
	_, _ = digest.WriteString(part)
	_, _ = digest.Write(separator)
}
