package layers

// Accelerator describes a kind of accelerator card.
type Accelerator struct {
	// MemoryMB is the card's memory in MB, shared by the weights and the requests.
	MemoryMB float64
	// StepTimeFactor multiplies the time of a decoding step.
	StepTimeFactor float64
	// PrefillTimeFactor multiplies the time of prefill.
	PrefillTimeFactor float64
}
