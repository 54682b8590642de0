package resilient

import (
	"context"
	"math"

	"golang.org/x/time/rate"

	"geraniumcroft/internal/platform"
)

// budget is one VM's share of the table's rate, divided into lanes so that an
// urgent operation never waits behind background ones.
type budget struct {
	lanes       [platform.RateClassCount]*rate.Limiter
	urgentShare float64
	maxBurst    int
}

func newBudget(perSecond, urgentShare float64, maxBurst int) *budget {
	b := &budget{urgentShare: urgentShare, maxBurst: maxBurst}
	for lane := range b.lanes {
		// A new limiter starts with its whole burst; the rate is set next.
		b.lanes[lane] = rate.NewLimiter(rate.Inf, maxBurst)
	}
	b.setRate(perSecond)
	return b
}

// wait takes one operation from the context's lane. It fails at once when the
// context would end before the operation's turn.
func (b *budget) wait(ctx context.Context) error {
	return b.lanes[platform.RateClassOf(ctx)].Wait(ctx)
}

func (b *budget) setRate(perSecond float64) {
	b.setLane(platform.RateClassUrgent, perSecond*b.urgentShare)
	b.setLane(platform.RateClassBackground, perSecond*(1-b.urgentShare))
}

// setLane allows a burst of one second's operations. With a burst that did not fall
// with the rate, a large fleet that has been quiet could send many seconds' worth of
// the table's rate at one moment.
func (b *budget) setLane(lane platform.RateClass, perSecond float64) {
	burst := min(int(math.Ceil(perSecond)), b.maxBurst)
	b.lanes[lane].SetLimit(rate.Limit(perSecond))
	b.lanes[lane].SetBurst(max(burst, 1))
}
