package baseline

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/engine"
)

// pipelineAttempt is one attempt at a generation. It fails as soon as a stage fails.
type pipelineAttempt struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	client engine.Client
	open   engine.StageOpen
	work   sync.WaitGroup
}

func newPipelineAttempt(ctx context.Context, client engine.Client, open engine.StageOpen) *pipelineAttempt {
	ctx, cancel := context.WithCancelCause(ctx)
	return &pipelineAttempt{ctx: ctx, cancel: cancel, client: client, open: open}
}

// relay opens all stages and writes the tokens of the last stage to out.
func (p *pipelineAttempt) relay(out *responseStream) error {
	defer p.work.Wait()
	defer p.cancel(nil)
	last := len(p.open.Hops) - 1
	for stage := range last {
		p.work.Go(func() { p.watchStage(stage) })
	}
	return p.read(last, out.writeToken)
}

// watchStage cancels the attempt if a stage before the last one fails.
func (p *pipelineAttempt) watchStage(stage int) {
	if err := p.read(stage, func(string) error { return nil }); err != nil {
		p.cancel(err)
	}
}

// read reads the events of a stage and passes each token to the callback. It returns nil
// when the stage reports that the generation is done, and the cause of the cancellation
// if the attempt has been cancelled.
func (p *pipelineAttempt) read(stage int, token func(string) error) error {
	open := p.open
	open.Index = stage
	stream, err := p.client.Open(p.ctx, open.Hops[stage].Address, open)
	if err != nil {
		return p.attemptErr(err)
	}
	defer stream.Close()
	for {
		event, err := stream.Recv()
		if err != nil {
			return p.attemptErr(err)
		}
		switch event.Kind {
		case engine.EventDone:
			return nil
		case engine.EventError:
			return errors.Newf("stage %d: %s", event.FailedStage, event.Message)
		case engine.EventToken:
			if err := token(event.Text); err != nil {
				return err
			}
		}
	}
}

// attemptErr returns the reason for which the attempt was cancelled, or err if it was not.
func (p *pipelineAttempt) attemptErr(err error) error {
	if cause := context.Cause(p.ctx); cause != nil {
		return cause
	}
	return err
}
