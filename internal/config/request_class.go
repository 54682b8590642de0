package config

// RequestClass says which path a profile's requests take.
type RequestClass string

const (
	// ClassGeneration requests are answered token by token by engines, over one
	// or more stages of layer ranges.
	ClassGeneration RequestClass = "generation"
	// ClassCall requests are answered whole by one target of a plain service.
	ClassCall RequestClass = "call"
)
