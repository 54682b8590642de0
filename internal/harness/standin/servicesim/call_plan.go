package servicesim

import "time"

// callPlan holds the faults and the service time that apply to one call.
type callPlan struct {
	dieBefore, dieAfter, loseResponse, truncate, notRun, fail, wrongID, silence bool
	duration                                                                    time.Duration
}
