package generation

import (
	"context"

	"geraniumcroft/internal/engine"
)

// ownedStream frees the context of its open when it is closed.
type ownedStream struct {
	engine.Stream
	cancel context.CancelFunc
}

// Close implements engine.Stream.
func (s *ownedStream) Close() {
	s.Stream.Close()
	s.cancel()
}
