package balance

import "geraniumcroft/internal/config"

// groupKey identifies a group. Layers is empty for services.
type groupKey struct {
	pool   string
	layers config.LayerRange
}
