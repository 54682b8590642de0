package follow

import (
	"bytes"

	"geraniumcroft/internal/platform"
)

// keptChanges is how many changes of a table are remembered for peers, about a minute's
// on a busy day. A peer that is further behind gets the whole table.
const keptChanges = 64

// history remembers which rows changed lately, so that a peer is sent those alone. A
// whole table of a hundred replicas is some 60 KB; 80 VMs that copy it each second from
// a few others fill the 20 Mbit/s of a small machine's link.
type history struct {
	changes []changed
}

// changed names the rows that changed from one revision to a later one.
type changed struct {
	from, to uint64
	keys     []string
}

// add notes the step from one view to the next.
func (h *history) add(old, next platform.TableView) {
	var keys []string
	for key, value := range next.Rows {
		if before, ok := old.Rows[key]; !ok || !bytes.Equal(before, value) {
			keys = append(keys, key)
		}
	}
	for key := range old.Rows {
		if _, ok := next.Rows[key]; !ok {
			keys = append(keys, key)
		}
	}
	if len(h.changes) == keptChanges {
		h.changes = h.changes[1:]
	}
	h.changes = append(h.changes, changed{from: old.Revision, to: next.Revision, keys: keys})
}

// since returns what a copy of a revision lacks of the view. It may hold rows that the
// copy has already.
func (h *history) since(view platform.TableView, after uint64) platform.TableChange {
	if after >= view.Revision {
		return platform.TableChange{Revision: view.Revision}
	}
	if len(h.changes) == 0 || h.changes[0].from > after {
		return platform.TableChange{Revision: view.Revision, Whole: true, Written: view.Rows}
	}
	change := platform.TableChange{Revision: view.Revision, Written: map[string][]byte{}}
	for _, c := range h.changes {
		if c.to <= after {
			continue
		}
		for _, key := range c.keys {
			if value, ok := view.Rows[key]; ok {
				change.Written[key] = value
			} else {
				change.Deleted = append(change.Deleted, key)
			}
		}
	}
	return change
}
