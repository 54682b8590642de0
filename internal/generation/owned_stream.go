package generation

import (
	"context"

	"geraniumcroft/internal/engine"
)

// ownedStream is a stream that cancels the context it was opened with when it is
// closed.
type ownedStream struct {
	engine.Stream
	cancel context.CancelFunc
}

// Close implements engine.Stream.
func (s *ownedStream) Close() {
	s.Stream.Close()
	s.cancel()
}
