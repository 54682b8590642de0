package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest is the same on two VMs that know of the same VMs that may serve, with
// the same incarnations and versions. It is never 0.
func (t *Table) Digest() uint64 {
	digest := digestOf(&t.self)
	for _, m := range t.members {
		if m.MayServe() && m.Incarnation != 0 {
			digest ^= digestOf(m)
		}
	}
	return max(digest, 1)
}

// Quiescent reports whether this VM has passed on nearly all that it learned. A digest
// that still differs then shows that rumours were lost.
func (t *Table) Quiescent() bool {
	const nearlyAll = 4
	return len(t.rumours) <= nearlyAll
}

func digestOf(m *Member) uint64 {
	encoded := append(make([]byte, 0, 64), m.Name...)
	encoded = binary.LittleEndian.AppendUint64(encoded, uint64(m.Incarnation))
	encoded = binary.LittleEndian.AppendUint64(encoded, m.Version)
	return xxhash.Sum64(encoded)
}
