package follow

import (
	"bytes"

	"geraniumcroft/internal/platform"
)

// maxHistory is how many changes of a table are kept for peers, about those of a minute on a busy
// day. A peer that is further behind gets the whole table.
const maxHistory = 64

// history records which rows changed recently, so that a peer is sent only those. The whole table
// of a hundred replicas is about 60 KB; 80 VMs that copy it from a few others each second fill the
// 20 Mbit/s link of a small machine.
type history struct {
	changes []changedRows
}

// changedRows holds the keys of the rows that changed between two revisions of an era.
type changedRows struct {
	from, to uint64
	keys     []string
}

// add records the step from one view to the next.
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
	if len(h.changes) == maxHistory {
		h.changes = h.changes[1:]
	}
	h.changes = append(h.changes, changedRows{from: old.Revision, to: next.Revision, keys: keys})
}

// since returns what a copy of version after lacks compared with the view. The change may contain
// rows that the copy already has. Changes are kept within an era only.
func (h *history) since(view platform.TableView, after platform.Version) platform.TableChange {
	if !after.Before(view.Version) {
		return platform.TableChange{Version: view.Version}
	}
	if after.Era != view.Era || len(h.changes) == 0 || h.changes[0].from > after.Revision {
		return platform.TableChange{Version: view.Version, Whole: true, Written: view.Rows}
	}
	change := platform.TableChange{Version: view.Version, Written: map[string][]byte{}}
	for _, c := range h.changes {
		if c.to <= after.Revision {
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
