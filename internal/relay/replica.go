package relay

import "geraniumcroft/internal/layers"

// Replica is one entry of discovery.
type Replica struct {
	layers.Replica
	Service string
	// Slots is how many requests the replica processes at once.
	Slots int
	// Heartbeat is the count of the entry among those that the present incarnation has written.
	Heartbeat uint64
}
