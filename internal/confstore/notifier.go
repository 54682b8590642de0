package confstore

import (
	"sync"

	"geraniumcroft/internal/config"
)

// notifier delivers snapshots to subscribers, one at a time and in the order of versions.
//
// One goroutine delivers at a time. It holds no lock during calls, so a subscriber may
// call the store. A goroutine that publishes a snapshot during a delivery leaves it to
// the delivering goroutine, which checks for newer snapshots before it returns. Of the
// versions published while a subscriber runs only the newest is delivered, so that a slow
// subscriber does not keep snapshots in memory.
type notifier struct {
	current func() *config.Snapshot

	mu          sync.Mutex // guards the fields below
	subscribers []*subscriber
	// delivering is true while a goroutine delivers.
	delivering bool
}

// add adds a subscriber and delivers the current snapshot to it.
func (n *notifier) add(call func(*config.Snapshot)) {
	n.mu.Lock()
	n.subscribers = append(n.subscribers, &subscriber{call: call})
	n.mu.Unlock()
	n.deliver()
}

// deliver calls the subscribers until all have the current snapshot. It returns without
// a call if another goroutine delivers.
func (n *notifier) deliver() {
	for {
		behind, snapshot := n.startDelivery()
		if len(behind) == 0 {
			return
		}
		for _, s := range behind {
			s.call(snapshot)
		}
		n.endDelivery(behind, snapshot.Version)
	}
}

// startDelivery starts a delivery and returns the subscribers to call and the snapshot.
// It returns no subscribers if another goroutine delivers or all have the snapshot.
func (n *notifier) startDelivery() ([]*subscriber, *config.Snapshot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delivering {
		return nil, nil
	}
	snapshot := n.current()
	var behind []*subscriber
	for _, s := range n.subscribers {
		if s.delivered < snapshot.Version {
			behind = append(behind, s)
		}
	}
	n.delivering = len(behind) > 0
	return behind, snapshot
}

// endDelivery records that the version was delivered to the subscribers.
func (n *notifier) endDelivery(called []*subscriber, version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range called {
		s.delivered = version
	}
	n.delivering = false
}

// inForce returns the newest version that was delivered to every subscriber. A delivery
// counts when the subscriber's function has returned.
func (n *notifier) inForce() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	version := n.current().Version
	for _, s := range n.subscribers {
		version = min(version, s.delivered)
	}
	return version
}
