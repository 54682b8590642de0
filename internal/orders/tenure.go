package orders

import (
	"time"

	"golang.org/x/time/rate"

	"geraniumcroft/internal/lease"
)

// firstFencing is the fencing number of a lease's first holder, which has no predecessor.
const firstFencing = 1

// tenure is the controller's state under one fencing number. A new number starts with an empty
// one, because what was known under the old number may be out of date.
type tenure struct {
	lease       lease.Lease
	loadLimiter *rate.Limiter
	tasks       map[string]*task
	// adoptedAt is when the drains left by earlier holders were last read, zero before the first
	// time.
	adoptedAt time.Time
}

func newTenure(l lease.Lease, s Settings) *tenure {
	t := &tenure{
		lease:       l,
		loadLimiter: rate.NewLimiter(rate.Every(s.LoadInterval), 1),
		tasks:       map[string]*task{},
	}
	if l.Fencing > firstFencing {
		// The old holder may have started a load a moment ago, which is not counted in this
		// limiter: the first load waits for a whole interval.
		t.loadLimiter.AllowN(time.Now(), 1)
	}
	return t
}

// adoptDrain records that the target is drained. The caller holds the controller's mutex. A task
// whose step is running is left as it is, as its state is newer than the list of drains.
func (t *tenure) adoptDrain(target string) {
	known, ok := t.tasks[target]
	switch {
	case !ok:
		t.tasks[target] = newTask(target, true)
	case !known.busy:
		known.drained = true
	}
}
