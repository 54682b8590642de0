package generation

import (
	"context"

	"geraniumcroft/internal/plan"
)

// cancelStages asks the engines of an ended epoch to cancel it. After a stream broke,
// its engine may continue to work and hold a slot although no one reads the results.
// Each cancel is sent on its own connection in the background, so that a dead engine
// does not delay the recovery. Engines ignore a cancel if their epoch is newer, so it
// cannot cancel a stage that was opened later.
func (r *Runner) cancelStages(requestID string, epoch uint32, stages []plan.Stage) {
	for _, stage := range stages {
		select {
		case r.cancelSlots <- struct{}{}:
		default:
			r.counters.cancelsSkipped.Add(1)
			continue
		}
		r.cancels.Go(func() {
			defer func() { <-r.cancelSlots }()
			r.cancelStage(stage.Target.Address, requestID, epoch)
		})
	}
}

func (r *Runner) cancelStage(address, requestID string, epoch uint32) {
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.CancelTimeout)
	defer cancel()
	if err := r.client.Cancel(ctx, address, requestID, epoch); err != nil {
		r.counters.cancelsFailed.Add(1)
	}
}
