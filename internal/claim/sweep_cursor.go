package claim

import "sync"

// sweepCursor is where the next sweep starts.
type sweepCursor struct {
	mu   sync.Mutex // guards from
	from string
}
