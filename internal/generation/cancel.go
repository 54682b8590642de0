package generation

import (
	"context"

	"geraniumcroft/internal/plan"
)

// cancelStages asks the engines of an ended epoch to drop it. A stream that broke
// may have left its engine working for nobody, holding a slot; the cancel goes on
// a connection of its own and in the background, so that a dead engine does not
// hold up the resume. An engine ignores it for an epoch newer than the named one,
// so it cannot hit a stage that was opened since.
func (r *Runner) cancelStages(requestID string, epoch uint32, stages []plan.Stage) {
	for _, stage := range stages {
		select {
		case r.cancelSlots <- struct{}{}:
		default:
			r.counters.cancelsSkipped.Add(1)
			continue
		}
		r.background.Go(func() {
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
