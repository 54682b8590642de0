package resilient

import (
	"context"

	"golang.org/x/time/rate"

	"geraniumcroft/internal/platform"
)

// budget is one VM's share of the table's rate, divided into lanes so that an
// urgent operation never waits behind background ones.
type budget struct {
	lanes [platform.LaneCount]*rate.Limiter
}

func newBudget(perSecond, urgentShare float64, burst int) *budget {
	b := &budget{}
	b.lanes[platform.LaneUrgent] = rate.NewLimiter(rate.Limit(perSecond*urgentShare), burst)
	b.lanes[platform.LaneBackground] = rate.NewLimiter(rate.Limit(perSecond*(1-urgentShare)), burst)
	return b
}

// wait takes one operation from the context's lane. It fails at once when the
// context would end before the operation's turn.
func (b *budget) wait(ctx context.Context) error {
	return b.lanes[platform.LaneOf(ctx)].Wait(ctx)
}

func (b *budget) setRate(perSecond, urgentShare float64) {
	b.lanes[platform.LaneUrgent].SetLimit(rate.Limit(perSecond * urgentShare))
	b.lanes[platform.LaneBackground].SetLimit(rate.Limit(perSecond * (1 - urgentShare)))
}
