package dispatch

// Observer receives events of a Dispatcher. Its methods must not block.
type Observer interface {
	// Retry is called for each attempt after the first. kind is "retry" or "hedge".
	Retry(kind string)
}
