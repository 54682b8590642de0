package router

// Dump is a router's state on request.
type Dump struct {
	Gate           GateState     `json:"gate"`
	InHand         []InHandEntry `json:"inHand"`
	RecentFailures []Record      `json:"recentFailures"`
	Plans          []PlanDump    `json:"plans"`
	Queues         any           `json:"queues"`
	Targets        any           `json:"targets"`
}

// Dump returns the router's state. It takes only short locks of its own, none of
// which is held while a request waits, so it answers while everything is stuck.
func (r *Router) Dump() Dump {
	entries, failures := r.inHand.dump()
	return Dump{
		Gate:           r.Gate.State(),
		InHand:         entries,
		RecentFailures: failures,
		Plans:          r.Plans.Dump(),
		Queues:         r.Admission.Dump(),
		Targets:        r.Balancer.Dump(),
	}
}
