package layers

// Kind is a kind of accelerator card.
type Kind struct {
	// MemoryMB is the card's memory in MB, for layers and requests together.
	MemoryMB float64
	// StepPace multiplies the time of a token step.
	StepPace float64
	// ReadPace multiplies the time of reading a prompt.
	ReadPace float64
}
