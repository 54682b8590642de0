package mirror

import (
	"context"
	"sync"
	"time"
)

// linkBytesPerSecond is the bandwidth of the smallest VM's link.
const linkBytesPerSecond = 20e6 / 8

// spreadLink is a link that transfers one message at a time.
type spreadLink struct {
	mu   sync.Mutex // guards the field below
	free time.Time
}

// send waits until the given number of bytes has passed. It reports false if ctx ended before
// that.
func (l *spreadLink) send(ctx context.Context, bytes int) bool {
	l.mu.Lock()
	begin := time.Now()
	if l.free.After(begin) {
		begin = l.free
	}
	l.free = begin.Add(time.Duration(float64(bytes) / linkBytesPerSecond * float64(time.Second)))
	wait := time.Until(l.free)
	l.mu.Unlock()
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}
