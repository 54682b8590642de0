package plan

import "geraniumcroft/internal/config"

// Query describes the plan that one request needs.
type Query struct {
	Urgency config.Urgency
	// Usable reports whether a target has capacity for the request now.
	Usable func(target string) bool
	// Exclude names targets that the plan must not use.
	Exclude map[string]bool
	// Prefer names targets that hold part of the prompt's KV cache. They are used before others of
	// the same group. The path is still chosen by weight, so a popular prompt cannot draw the load
	// of a whole pool to one engine.
	Prefer map[string]bool
}
