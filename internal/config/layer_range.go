package config

import "fmt"

// LayerRange is the half-open range [From, To) of a model's layers.
type LayerRange struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Len returns the number of layers in the range.
func (r LayerRange) Len() int { return r.To - r.From }

// Contains reports whether other lies wholly within r.
func (r LayerRange) Contains(other LayerRange) bool {
	return r.From <= other.From && other.To <= r.To
}

// String returns the range as "from-to".
func (r LayerRange) String() string { return fmt.Sprintf("%d-%d", r.From, r.To) }
