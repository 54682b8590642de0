package orders

import (
	"time"

	"golang.org/x/time/rate"

	"geraniumcroft/internal/lease"
)

// firstFencing is the number of a lease's first holder, which has no predecessor.
const firstFencing = 1

// tenure is all that the controller knows under one fencing number. It is thrown
// away with the number: what an earlier tenure believed may be long out of date.
type tenure struct {
	lease lease.Lease
	loads *rate.Limiter
	tasks map[string]*task
	// adopted is when the drains left by earlier holders were last looked for; zero
	// before the first time.
	adopted time.Time
}

func newTenure(l lease.Lease, s Settings) *tenure {
	t := &tenure{
		lease: l,
		loads: rate.NewLimiter(rate.Every(s.LoadInterval), 1),
		tasks: map[string]*task{},
	}
	if l.Fencing > firstFencing {
		// The old holder may have started a load a moment ago, of which this one's
		// limiter knows nothing: the first load waits for a whole interval.
		t.loads.AllowN(time.Now(), 1)
	}
	return t
}

// adoptDrain is called under the controller's mutex. A task whose step runs knows
// better than the list, which was read before.
func (t *tenure) adoptDrain(target string) {
	known, ok := t.tasks[target]
	switch {
	case !ok:
		t.tasks[target] = newTask(target, true)
	case !known.busy:
		known.drained = true
	}
}
