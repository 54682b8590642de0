package pushback

import "math"

// Limit is the number of requests per second that a replica accepts from all VMs together. The zero value
// means no limit.
type Limit struct {
	// Set reports whether there is a limit. If so, PerSecond may still be 0.
	Set       bool
	PerSecond float64
}

// notableChange is the relative change of a limit from which on it is logged and sent to other VMs.
const notableChange = 0.25

// differsNotably reports whether the change from other to l is worth a log line and a message to other
// VMs. A replica may name a slightly different limit in each answer.
func (l Limit) differsNotably(other Limit) bool {
	return l.Set != other.Set || math.Abs(l.PerSecond-other.PerSecond) > notableChange*other.PerSecond
}

// LimitOf returns a limit of perSecond requests per second.
func LimitOf(perSecond float64) Limit { return Limit{Set: true, PerSecond: perSecond} }
