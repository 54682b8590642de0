package claim

import "sync"

// sweepCursor holds the row key at which the next sweep starts. An empty key means the
// first row.
type sweepCursor struct {
	mu   sync.Mutex // guards from
	from string
}
