package claim

import (
	"context"

	"geraniumcroft/internal/config"
)

type urgencyKey struct{}

// WithUrgency returns a context whose claims and ends are written in the order of
// their requests' urgency. Without one they count as bulk.
func WithUrgency(ctx context.Context, urgency config.Urgency) context.Context {
	return context.WithValue(ctx, urgencyKey{}, urgency)
}

func urgencyOf(ctx context.Context) config.Urgency {
	urgency, _ := ctx.Value(urgencyKey{}).(config.Urgency)
	return urgency
}
