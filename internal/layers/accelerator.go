package layers

// Accelerator is a kind of accelerator card.
type Accelerator struct {
	// MemoryMB is the card's memory in MB, for layers and requests together.
	MemoryMB float64
	// StepTimeFactor multiplies the time of a token step.
	StepTimeFactor float64
	// PrefillTimeFactor multiplies the time of reading a prompt.
	PrefillTimeFactor float64
}
