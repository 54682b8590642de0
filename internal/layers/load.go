package layers

import (
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/incarnation"
)

// reportLag is by how much a report may be older than the board that it stands on: the
// round in which the replicas were asked, and the few hundred ms by which replicas say
// that their reports lag.
const reportLag = time.Second

// downMaxAge is for how long after a board shows a replica as down it is avoided. The next
// boards come each second and renew it.
const downMaxAge = 3 * time.Second

// loadMaxAge is how long a reported load is believed. Boards come each second and take
// one or two more to reach every VM.
const loadMaxAge = 4 * time.Second

// Load is what a replica reports of itself.
type Load struct {
	// Used and Total are its memory for requests, in tokens times layers.
	Used  float64 `json:"u"`
	Total float64 `json:"t"`
	// Pace above 1 means that the replica is slower than its kind.
	Pace float64 `json:"p"`
	// EntryRequests is how many requests run or wait here as the first replica of their paths.
	EntryRequests int `json:"n,omitempty"`
	// Sequence is how many orders the incarnation has begun.
	Sequence uint64 `json:"s,omitempty"`
	// Held are the layers that the replica has loaded.
	Held config.LayerRange `json:"h"`
	// Born is the start of the incarnation that reported; see incarnation.BornMissing. A
	// board has it in its keys.
	Born int64 `json:"-"`
	// Down says that the replica did not answer.
	Down bool `json:"d,omitempty"`
	// At is when this VM could first know it.
	At time.Time `json:"-"`
}

// SetLoads takes over what the replicas reported. What an incarnation reported that is not
// listed any more, or not yet, says nothing of the one that is.
func (t *Table) SetLoads(loads map[incarnation.Key]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, load := range loads {
		s := t.replicas[k]
		if s == nil {
			continue
		}
		if load.Down {
			s.downUntil = load.At.Add(downMaxAge)
			continue
		}
		s.downUntil = time.Time{}
		s.applyReportedRange(t.spec, load)
		s.load, s.reservedAtReport, s.entryRequestsAtReport = load, s.reserved, s.entryRequests
		if load.Pace > 0 {
			s.pace, s.paceAt = load.Pace, load.At
		}
	}
}
