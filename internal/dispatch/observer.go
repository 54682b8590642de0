package dispatch

// Observer is told of attempts beyond the first; it must not block.
type Observer interface {
	// Retry counts an extra attempt; kind is "retry" or "hedge".
	Retry(kind string)
}
