package enginesim

import (
	"sync"

	"geraniumcroft/internal/engine"
)

// outbox holds the events of one stream until its writer takes them.
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

// close ends the stream after the events that it holds.
func (o *outbox) close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.signal()
}

// take returns the held events and whether no more will come. It swaps in spare.
func (o *outbox) take(spare []engine.Event) ([]engine.Event, bool) {
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
