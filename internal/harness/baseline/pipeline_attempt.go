package baseline

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/engine"
)

// pipelineRun is one attempt at a generation; any stage's failure ends it.
type pipelineRun struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	client engine.Client
	open   engine.StageOpen
	work   sync.WaitGroup
}

func newPipelineRun(ctx context.Context, client engine.Client, open engine.StageOpen) *pipelineRun {
	ctx, cancel := context.WithCancelCause(ctx)
	return &pipelineRun{ctx: ctx, cancel: cancel, client: client, open: open}
}

// relay opens all stages and hands the last one's tokens on.
func (p *pipelineRun) relay(out *answer) error {
	defer p.work.Wait()
	defer p.cancel(nil)
	last := len(p.open.Hops) - 1
	for stage := range last {
		p.work.Go(func() { p.watch(stage) })
	}
	return p.read(last, out.token)
}

// watch ends the run when a stage before the last one fails.
func (p *pipelineRun) watch(stage int) {
	if err := p.read(stage, func(string) error { return nil }); err != nil {
		p.cancel(err)
	}
}

// read returns nil when the stage said that the generation is done, or when the
// run has ended.
func (p *pipelineRun) read(stage int, token func(string) error) error {
	open := p.open
	open.Index = stage
	stream, err := p.client.Open(p.ctx, open.Hops[stage].Address, open)
	if err != nil {
		return p.why(err)
	}
	defer stream.Close()
	for {
		event, err := stream.Recv()
		if err != nil {
			return p.why(err)
		}
		switch event.Kind {
		case engine.EventDone:
			return nil
		case engine.EventError:
			return errors.Newf("stage %d: %s", event.Blame, event.Message)
		case engine.EventToken:
			if err := token(event.Text); err != nil {
				return err
			}
		}
	}
}

func (p *pipelineRun) why(err error) error {
	if cause := context.Cause(p.ctx); cause != nil {
		return cause
	}
	return err
}
