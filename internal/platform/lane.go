package platform

import "context"

// Lane says which share of the table's rate budget an operation draws on.
type Lane uint8

const (
	// LaneBackground is for control and clean-up. It is the default.
	LaneBackground Lane = iota
	// LaneUrgent is for operations that a caller's request waits for.
	LaneUrgent
)

// LaneCount sizes arrays indexed by Lane.
const LaneCount = 2

// String returns the lane's name as it stands in the dump.
func (l Lane) String() string {
	if l == LaneUrgent {
		return "urgent"
	}
	return "background"
}

type laneKey struct{}

// WithLane returns a context whose operations draw on the lane.
func WithLane(ctx context.Context, lane Lane) context.Context {
	return context.WithValue(ctx, laneKey{}, lane)
}

// LaneOf returns the context's lane.
func LaneOf(ctx context.Context) Lane {
	lane, _ := ctx.Value(laneKey{}).(Lane)
	return lane
}
