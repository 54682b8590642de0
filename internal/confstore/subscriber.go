package confstore

import "geraniumcroft/internal/config"

// subscriber is a function that receives snapshots, and the newest version delivered to
// it.
type subscriber struct {
	call      func(*config.Snapshot)
	delivered uint64
}
