package admission

import "time"

// finished records the end of one request's service. While requests wait, each
// end makes room for a start, so ends show how fast the queue will move before
// it has moved.
func (p *pool) finished(took time.Duration) {
	if p.interested.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.release()
	if p.queued == 0 {
		return
	}
	p.ends.started(time.Now(), 1)
	p.counts.Service += (took - p.counts.Service) / serviceWeight
}

// serviceWeight is the inverse weight of the newest service time in the average.
const serviceWeight = 16
