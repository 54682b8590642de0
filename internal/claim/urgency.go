package claim

import (
	"context"

	"geraniumcroft/internal/config"
)

// urgencyKey is the context key of the urgency.
type urgencyKey struct{}

// WithUrgency returns a context with the urgency of a request. Rows are written in the
// order of urgency; a context without one counts as bulk.
func WithUrgency(ctx context.Context, urgency config.Urgency) context.Context {
	return context.WithValue(ctx, urgencyKey{}, urgency)
}

// urgencyOf returns the urgency of the context.
func urgencyOf(ctx context.Context) config.Urgency {
	urgency, _ := ctx.Value(urgencyKey{}).(config.Urgency)
	return urgency
}
