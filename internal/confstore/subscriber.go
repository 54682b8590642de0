package confstore

import "geraniumcroft/internal/config"

type subscriber struct {
	call      func(*config.Snapshot)
	delivered uint64
}
