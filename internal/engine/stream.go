package engine

// Stream is the router's end of one stage. Recv is called by one goroutine.
type Stream interface {
	// Recv returns the next event. It returns a *StreamError when the stream broke,
	// and when nothing, not even a heartbeat, arrived within the client's bound.
	Recv() (Event, error)
	// Close gives up the stream; the engine cancels the stage.
	Close()
}
