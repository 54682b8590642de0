package servicesim

import "time"

// callPlan is what happens to one call.
type callPlan struct {
	dieBefore, dieAfter, lose, truncate, notRun, fail, wrongID, silence bool
	takes                                                               time.Duration
}
