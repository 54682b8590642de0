package confstore

import (
	"sync"

	"geraniumcroft/internal/config"
)

// notifier hands snapshots to subscribers, one at a time and in order of versions.
//
// One goroutine delivers at a time, without a lock held, so a subscriber may call
// the store. Whoever publishes meanwhile leaves the delivery to that goroutine,
// which looks again before it ends. Versions that came while a subscriber ran are
// left out but for the newest, so a slow subscriber holds back no memory.
type notifier struct {
	current func() *config.Snapshot

	mu          sync.Mutex // guards the fields below
	subscribers []*subscriber
	running     bool
}

func (n *notifier) add(call func(*config.Snapshot)) {
	n.mu.Lock()
	n.subscribers = append(n.subscribers, &subscriber{call: call})
	n.mu.Unlock()
	n.deliver()
}

func (n *notifier) deliver() {
	for {
		behind, snapshot := n.take()
		if len(behind) == 0 {
			return
		}
		for _, s := range behind {
			s.call(snapshot)
		}
		n.done(behind, snapshot.Version)
	}
}

// take claims the delivery and returns whom to call; none when another goroutine
// delivers or nothing is left.
func (n *notifier) take() ([]*subscriber, *config.Snapshot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.running {
		return nil, nil
	}
	snapshot := n.current()
	var behind []*subscriber
	for _, s := range n.subscribers {
		if s.delivered < snapshot.Version {
			behind = append(behind, s)
		}
	}
	n.running = len(behind) > 0
	return behind, snapshot
}

func (n *notifier) done(called []*subscriber, version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range called {
		s.delivered = version
	}
	n.running = false
}

// inForce returns the newest version that every subscriber has taken in.
func (n *notifier) inForce() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	version := n.current().Version
	for _, s := range n.subscribers {
		version = min(version, s.delivered)
	}
	return version
}
