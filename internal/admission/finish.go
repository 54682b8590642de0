package admission

import "time"

// finished records the end of a started request. While requests wait, each end allows
// a start, so the rate of ends predicts how fast the queue will move before its first
// start.
func (p *pool) finished(took time.Duration) {
	if p.pending.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.release()
	if p.queued == 0 {
		return
	}
	p.finishMeter.observe(time.Now(), 1)
	p.counts.Service += (took - p.counts.Service) / serviceTimeWeight
}

// serviceTimeWeight is the inverse weight of the newest service time in the moving
// average.
const serviceTimeWeight = 16
