package config

import (
	"encoding/hex"
	"fmt"
)

const (
	digestBytes   = 32
	allowedDigest = "64 hexadecimal digits of a SHA-256 digest"
)

func (v *validator) workspace(w *Workspace) {
	path := "workspace." + w.Name
	v.notNegative(int64(w.Weight), path+".weight")
	v.notNegative(int64(w.MaxInFlight), path+".maxInFlight")
	for i, digest := range w.KeyDigests {
		decoded, err := hex.DecodeString(digest)
		v.require(err == nil && len(decoded) == digestBytes,
			fmt.Sprintf("%s.keyDigests[%d]", path, i), "is not a key's digest", allowedDigest)
	}
}
