package confstore

import "geraniumcroft/internal/config"

// history holds the newest changes without gaps, bounded by their number and size. It
// serves the requests of peers and lookups by id. The caller of its methods holds the
// store's lock.
type history struct {
	maxChanges int
	maxBytes   int

	changes []config.Change
	byID    map[string]uint64
	bytes   int
}

// newHistory returns an empty history.
func newHistory(maxChanges, maxBytes int) *history {
	return &history{maxChanges: maxChanges, maxBytes: maxBytes, byID: map[string]uint64{}}
}

// append adds the change, which must be the successor of the newest one, and drops the
// oldest changes above the bounds. The newest change is kept even if it is larger than
// maxBytes.
func (h *history) append(change config.Change) {
	h.changes = append(h.changes, change)
	h.byID[change.ID] = change.Version
	h.bytes += sizeOf(change)
	for len(h.changes) > h.maxChanges || h.bytes > h.maxBytes && len(h.changes) > 1 {
		h.dropOldest()
	}
}

// dropOldest removes the oldest change.
func (h *history) dropOldest() {
	oldest := h.changes[0]
	h.changes[0] = config.Change{}
	h.changes = h.changes[1:]
	h.bytes -= sizeOf(oldest)
	if h.byID[oldest.ID] == oldest.Version {
		delete(h.byID, oldest.ID)
	}
}

// clear removes all changes. It is called when the next change is not the successor of
// the newest one.
func (h *history) clear() {
	*h = *newHistory(h.maxChanges, h.maxBytes)
}

// after returns up to limit changes after the version. It returns false if some of them
// are no longer in memory. current is the version in force.
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

// at returns the change with the version.
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

// withID returns the change with the id.
func (h *history) withID(id string) (config.Change, bool) {
	version, ok := h.byID[id]
	if !ok {
		return config.Change{}, false
	}
	return h.at(version)
}

// sizeOf returns the approximate size of the change in memory, in bytes.
func sizeOf(change config.Change) int {
	const fixed = 128
	return fixed + len(change.Value) + len(change.Name) + len(change.ID) + len(change.Author)
}
