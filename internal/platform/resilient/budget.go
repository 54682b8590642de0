package resilient

import (
	"context"
	"math"

	"golang.org/x/time/rate"

	"geraniumcroft/internal/platform"
)

// budget is one VM's share of the fleet's rate. Each rate class has its own limiter, so
// that an urgent operation never waits behind background ones.
type budget struct {
	limiters    [platform.RateClassCount]*rate.Limiter
	urgentShare float64
	maxBurst    int
}

func newBudget(perSecond, urgentShare float64, maxBurst int) *budget {
	b := &budget{urgentShare: urgentShare, maxBurst: maxBurst}
	for class := range b.limiters {
		// A new limiter starts with its full burst; setRate sets the rate.
		b.limiters[class] = rate.NewLimiter(rate.Inf, maxBurst)
	}
	b.setRate(perSecond)
	return b
}

// wait waits until the context's rate class has budget for one operation, and consumes
// it. It fails immediately when the context would end first.
func (b *budget) wait(ctx context.Context) error {
	return b.limiters[platform.RateClassOf(ctx)].Wait(ctx)
}

func (b *budget) setRate(perSecond float64) {
	b.setClassRate(platform.RateClassUrgent, perSecond*b.urgentShare)
	b.setClassRate(platform.RateClassBackground, perSecond*(1-b.urgentShare))
}

// setClassRate sets the rate of a class, with a burst of one second's operations but at
// most maxBurst. If the burst did not shrink with the rate, a large idle fleet could send
// many seconds' worth of the table's rate at once.
func (b *budget) setClassRate(class platform.RateClass, perSecond float64) {
	burst := min(int(math.Ceil(perSecond)), b.maxBurst)
	b.limiters[class].SetLimit(rate.Limit(perSecond))
	b.limiters[class].SetBurst(max(burst, 1))
}
