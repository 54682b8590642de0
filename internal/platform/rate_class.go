package platform

import "context"

// RateClass selects the share of the table's rate budget that an operation consumes.
type RateClass uint8

const (
	// RateClassBackground is for control and clean-up operations. It is the default.
	RateClassBackground RateClass = iota
	// RateClassUrgent is for operations that a caller's request is waiting for.
	RateClassUrgent
)

// RateClassCount is the number of rate classes, for arrays indexed by RateClass.
const RateClassCount = 2

// String returns the name of the class.
func (c RateClass) String() string {
	if c == RateClassUrgent {
		return "urgent"
	}
	return "background"
}

type rateClassKey struct{}

// WithRateClass returns a context whose operations consume the budget of the class.
func WithRateClass(ctx context.Context, class RateClass) context.Context {
	return context.WithValue(ctx, rateClassKey{}, class)
}

// RateClassOf returns the context's rate class, RateClassBackground if none is set.
func RateClassOf(ctx context.Context) RateClass {
	class, _ := ctx.Value(rateClassKey{}).(RateClass)
	return class
}
