package confstore

import "geraniumcroft/internal/config"

// history is the newest changes, without gaps, bounded by count and bytes. It
// answers peers and finds changes by id. Its user holds the store's lock.
type history struct {
	maxChanges int
	maxBytes   int

	changes []config.Change
	byID    map[string]uint64
	bytes   int
}

func newHistory(maxChanges, maxBytes int) *history {
	return &history{maxChanges: maxChanges, maxBytes: maxBytes, byID: map[string]uint64{}}
}

func (h *history) append(change config.Change) {
	h.changes = append(h.changes, change)
	h.byID[change.ID] = change.Version
	h.bytes += sizeOf(change)
	for len(h.changes) > h.maxChanges || h.bytes > h.maxBytes && len(h.changes) > 1 {
		h.dropOldest()
	}
}

func (h *history) dropOldest() {
	oldest := h.changes[0]
	h.changes[0] = config.Change{}
	h.changes = h.changes[1:]
	h.bytes -= sizeOf(oldest)
	if h.byID[oldest.ID] == oldest.Version {
		delete(h.byID, oldest.ID)
	}
}

// clear forgets everything: what follows does not join on.
func (h *history) clear() {
	*h = *newHistory(h.maxChanges, h.maxBytes)
}

// after returns up to limit changes that follow a version, and false when some
// of them are no longer kept.
func (h *history) after(version, current uint64, limit int) ([]config.Change, bool) {
	if version >= current {
		return nil, true
	}
	if len(h.changes) == 0 || h.changes[0].Version > version+1 {
		return nil, false
	}
	start := int(version + 1 - h.changes[0].Version)
	end := min(len(h.changes), start+max(limit, 0))
	return append([]config.Change(nil), h.changes[start:end]...), true
}

func (h *history) at(version uint64) (config.Change, bool) {
	if len(h.changes) == 0 || version < h.changes[0].Version {
		return config.Change{}, false
	}
	i := version - h.changes[0].Version
	if i >= uint64(len(h.changes)) {
		return config.Change{}, false
	}
	return h.changes[i], true
}

func (h *history) withID(id string) (config.Change, bool) {
	version, ok := h.byID[id]
	if !ok {
		return config.Change{}, false
	}
	return h.at(version)
}

func sizeOf(change config.Change) int {
	const fixed = 128
	return fixed + len(change.Value) + len(change.Name) + len(change.ID) + len(change.Author)
}
