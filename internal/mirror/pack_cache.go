package mirror

import (
	"sync"

	"geraniumcroft/internal/platform"
)

// maxPackedChanges bounds the number of cached changes.
const maxPackedChanges = 64

// packKey identifies the change of a table from one version to another. A copy keeps its version when
// it takes over a later content from a copy of an earlier era.
type packKey struct {
	table     string
	after, to platform.Version
	content   uint64
	whole     bool
}

// packCache caches packed changes. The VMs that ask for a new configuration need the same change,
// and packing half a megabyte takes 10 ms of a core; the smallest VM has an eighth of a core.
type packCache struct {
	mu   sync.Mutex // guards the field below
	kept map[packKey][]byte
}

func newPackCache() *packCache { return &packCache{kept: map[packKey][]byte{}} }

// get returns the packed change, from the cache if possible. A whole table is the same whatever
// revision the peer has.
func (p *packCache) get(table string, after platform.Version, change platform.TableChange) ([]byte, error) {
	key := packKey{table: table, after: after, to: change.Version, content: change.Content, whole: change.Whole}
	if change.Whole {
		key.after = platform.Version{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if packed, ok := p.kept[key]; ok {
		return packed, nil
	}
	packed, err := pack(change)
	if err != nil {
		return nil, err
	}
	if len(p.kept) >= maxPackedChanges {
		clear(p.kept)
	}
	p.kept[key] = packed
	return packed, nil
}
