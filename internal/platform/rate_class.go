package platform

import "context"

// RateClass says which share of the table's rate budget an operation draws on.
type RateClass uint8

const (
	// RateClassBackground is for control and clean-up. It is the default.
	RateClassBackground RateClass = iota
	// RateClassUrgent is for operations that a caller's request waits for.
	RateClassUrgent
)

// RateClassCount sizes arrays indexed by RateClass.
const RateClassCount = 2

// String returns the lane's name as it stands in the dump.
func (l RateClass) String() string {
	if l == RateClassUrgent {
		return "urgent"
	}
	return "background"
}

type laneKey struct{}

// WithRateClass returns a context whose operations draw on the lane.
func WithRateClass(ctx context.Context, lane RateClass) context.Context {
	return context.WithValue(ctx, laneKey{}, lane)
}

// RateClassOf returns the context's lane.
func RateClassOf(ctx context.Context) RateClass {
	lane, _ := ctx.Value(laneKey{}).(RateClass)
	return lane
}
