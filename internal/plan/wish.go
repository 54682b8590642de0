package plan

import "geraniumcroft/internal/config"

// Query is what one request asks of its plan.
type Query struct {
	Urgency config.Urgency
	// Usable reports whether a target has room now.
	Usable func(target string) bool
	// Exclude names targets to do without.
	Exclude map[string]bool
	// Prefer names targets that hold part of the prompt's KV cache. They go before
	// others that hold the same layers; which path is taken stays a matter of the
	// weights, so a popular prompt cannot pull a whole pool's work to one engine.
	Prefer map[string]bool
}
