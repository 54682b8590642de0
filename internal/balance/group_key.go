package balance

import "geraniumcroft/internal/config"

// groupKey names a group.
type groupKey struct {
	pool   string
	layers config.LayerRange
}
