package relay

import "geraniumcroft/internal/layers"

// Replica is one entry of discovery.
type Replica struct {
	layers.Replica
	Service string
	// Slots is how many requests the replica processes at once.
	Slots int
}
