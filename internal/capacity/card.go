package capacity

import "math"

// Card describes the accelerator card of a replica and the part of the model that it runs.
type Card struct {
	// StepTimeFactor and PrefillTimeFactor multiply the time of a decoding step and of
	// reading a prompt. They depend on the kind of card.
	StepTimeFactor    float64
	PrefillTimeFactor float64
	// Slowdown is the present step time relative to the kind of card, as the replica
	// reports it; above 1 it is slower. A value that is not a positive finite number, such
	// as the 0 of a replica that has not reported, counts as 1.
	Slowdown float64
	// Layers is how many layers the card runs. More than the model has count as all.
	Layers int
}

func (c Card) valid() bool {
	return positive(c.StepTimeFactor) && positive(c.PrefillTimeFactor) && c.Layers > 0
}

// scale returns the product of the slowdown and the fraction of the model's layers that
// the card runs.
func (c Card) scale(layers int) float64 {
	part := float64(min(c.Layers, layers)) / float64(layers)
	if positive(c.Slowdown) {
		return c.Slowdown * part
	}
	return part
}

func positive(x float64) bool { return x > 0 && !math.IsInf(x, 1) }
