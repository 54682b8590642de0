package loads

import (
	"encoding/json"
	"time"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
)

// part is the part of a snapshot for the replicas of one data centre.
type part struct {
	revision uint64
	encoded  []byte
	madeAt   time.Time
	// loads are nil until this VM has read the part.
	loads map[incarnation.Key]layers.Load
	// wasRead says that the loads were passed on.
	wasRead bool
}

// decode sets the loads, with the earliest time at which this VM could know them.
func (p *part) decode() error {
	if p.loads == nil {
		if err := json.Unmarshal(p.encoded, &p.loads); err != nil {
			return err
		}
	}
	for k, load := range p.loads {
		load.At = p.madeAt
		p.loads[k] = load
	}
	return nil
}
