package config

// RequestClass says how a profile's requests are served.
type RequestClass string

// The classes of requests.
const (
	// ClassGeneration requests are answered token by token by engines, over one
	// or more stages of layer ranges.
	ClassGeneration RequestClass = "generation"
	// ClassCall requests get one complete response from one target of a plain service.
	ClassCall RequestClass = "call"
)
