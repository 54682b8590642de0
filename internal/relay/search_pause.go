package relay

import (
	"sync"
	"time"

	"geraniumcroft/internal/overload"
)

// maxSearchPause is the time after a search without result in which no other one is made for the same
// class, unless capacity becomes free. In an overload, hundreds of requests a second arrive at an
// allocator, and a search over hundreds of replicas takes up to a millisecond of a small VM.
const maxSearchPause = 50 * time.Millisecond

// searchKey are the requests that find the same capacity.
type searchKey struct {
	service string
	class   overload.Class
}

// searchPause remembers for which requests there was no capacity a moment ago. It is safe for concurrent
// use.
type searchPause struct {
	mu     sync.Mutex // guards the field below
	failed map[searchKey]time.Time
}

func newSearchPause() *searchPause { return &searchPause{failed: map[searchKey]time.Time{}} }

// end makes searches due for all requests, because capacity may have become free.
func (p *searchPause) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.failed)
}

// due reports whether a search may find capacity.
func (p *searchPause) due(key searchKey, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.failed[key]) >= maxSearchPause
}

// recordFailure records a search without result.
func (p *searchPause) recordFailure(key searchKey, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed[key] = now
}
