package mirror

import (
	"sync"

	"geraniumcroft/internal/platform"
)

// keptPacked bounds the packed changes that are kept.
const keptPacked = 64

// packedKey names a change: what a copy at one revision lacks of another.
type packedKey struct {
	table     string
	after, to uint64
}

// packedChanges keeps changes packed. The VMs that ask after a new configuration lack the
// same of it, and packing half a megabyte takes 10 ms of a core, of which the smallest VM
// has an eighth.
type packedChanges struct {
	mu   sync.Mutex // guards the field below
	kept map[packedKey][]byte
}

func newPackedChanges() *packedChanges { return &packedChanges{kept: map[packedKey][]byte{}} }

// of returns the change packed.
func (p *packedChanges) of(table string, after uint64, change platform.TableChange) ([]byte, error) {
	key := packedKey{table: table, after: after, to: change.Revision}
	p.mu.Lock()
	defer p.mu.Unlock()
	if packed, ok := p.kept[key]; ok {
		return packed, nil
	}
	packed, err := pack(change)
	if err != nil {
		return nil, err
	}
	if len(p.kept) >= keptPacked {
		clear(p.kept)
	}
	p.kept[key] = packed
	return packed, nil
}
