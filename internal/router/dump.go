package router

// Dump is a snapshot of a router's state.
type Dump struct {
	Gate           GateState     `json:"gate"`
	InHand         []InHandEntry `json:"inHand"`
	RecentFailures []Record      `json:"recentFailures"`
	Plans          []PlanDump    `json:"plans"`
	Queues         any           `json:"queues"`
	Targets        any           `json:"targets"`
}

// Dump returns the router's state. It takes only the locks of its parts, each for a short
// time. None of them is held while a request waits, so Dump returns even if all requests
// are blocked.
func (r *Router) Dump() Dump {
	entries, failures := r.registry.dump()
	return Dump{
		Gate:           r.Gate.State(),
		InHand:         entries,
		RecentFailures: failures,
		Plans:          r.Plans.Dump(),
		Queues:         r.Admission.Dump(),
		Targets:        r.Balancer.Dump(),
	}
}
