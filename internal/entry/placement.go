package entry

import (
	"context"
	"slices"
	"sync"

	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/placer"
	"geraniumcroft/internal/sleep"
)

// contend competes for the placement while this VM is among the few that do, or while
// there seems to be no holder. With all of a large fleet reading the lease's row, most
// calls to the store would be that.
func (p *Process) contend() {
	for p.ctx.Err() == nil {
		if p.IsCandidate() {
			p.contendForNow()
		}
		sleep.For(p.ctx, settleInterval)
	}
}

// Contends reports whether this VM competes for the placement now. A holder goes on, whoever is
// counted. A VM that has not read the list of VMs holds itself for the only one: of 195 that
// start together all would read the lease, where the few first ones are enough.
func (p *Process) IsCandidate() bool {
	first := p.census.Known() && p.census.Among(contenders)
	return p.Holds() || first || p.board.Age(p.started) > holderSilence
}

func (p *Process) contendForNow() {
	ctx, cancel := context.WithCancel(p.ctx)
	var competing sync.WaitGroup
	competing.Go(func() { p.leases.Run(ctx) })
	for p.IsCandidate() && sleep.For(ctx, settleInterval) {
	}
	cancel()
	competing.Wait()
}

// place gives the replicas of a model's service their layers.
func (p *Process) place(service string) {
	placer.New(placer.Options{
		Engines: p.Adapter.Engines, Holder: p, Logger: p.Logger,
		Model: func() (*layers.Spec, []layers.Replica) { return p.living(service) },
		Heard: p.view.heardOf, Reported: p.board.Reported,
	}).Run(p.ctx)
}

// living returns a model's description and the replicas that answered the holder of the
// placement. Discovery drops a dead one after three missing heartbeats only, some 5 s in
// which its layers may be nobody's.
func (p *Process) living(service string) (*layers.Spec, []layers.Replica) {
	spec, replicas := p.view.model(service)
	down := p.board.Down()
	return spec, slices.DeleteFunc(replicas, func(r layers.Replica) bool { return down[r.Key()] })
}

// Holds implements placer.Holder.
func (p *Process) Holds() bool {
	_, ok := p.tenure.now()
	return ok
}
