package engine

// Stream is the router's end of one stage. Only one goroutine may call Recv.
type Stream interface {
	// Recv returns the next event. It returns a *StreamError if the stream broke, or if
	// nothing, not even a heartbeat, arrived within the client's time limit.
	Recv() (Event, error)
	// Close closes the stream, upon which the engine cancels the stage.
	Close()
}
