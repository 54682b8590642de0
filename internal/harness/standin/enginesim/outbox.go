package enginesim

import (
	"sync"

	"geraniumcroft/internal/engine"
)

// outbox buffers the events of one stream for its writer. It is safe for concurrent
// use.
type outbox struct {
	ready chan struct{}

	mu     sync.Mutex // guards the fields below
	events []engine.Event
	closed bool
}

func newOutbox() *outbox { return &outbox{ready: make(chan struct{}, 1)} }

func (o *outbox) push(events ...engine.Event) {
	o.mu.Lock()
	o.events = append(o.events, events...)
	o.mu.Unlock()
	o.signal()
}

// close ends the stream after the buffered events.
func (o *outbox) close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.signal()
}

// drain returns the buffered events and whether the outbox is closed. The buffer spare
// is reused for further events.
func (o *outbox) drain(spare []engine.Event) ([]engine.Event, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	events := o.events
	o.events = spare[:0]
	return events, o.closed
}

func (o *outbox) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}
