package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/placer"
	"geraniumcroft/internal/sleep"
)

const (
	// maxCandidates is how many VMs compete for the placement lease: the largest ones.
	maxCandidates = 3
	// holderTimeout is the age of the loads above which more VMs compete, and candidateStep the
	// time after which there are candidateGrowth times as many again.
	holderTimeout   = 8 * time.Second
	candidateStep   = 2 * time.Second
	candidateGrowth = 8
	// lonelyTimeout is the age of the loads above which every VM competes.
	lonelyTimeout = holderTimeout + 3*candidateStep
)

// competeForPlacement competes for the placement lease while this VM is a candidate. In a large
// fleet only few VMs are: if all read the lease's row, these reads would be most of the calls to
// the store.
func (p *Process) competeForPlacement() {
	for p.ctx.Err() == nil {
		if p.IsCandidate() {
			p.runLeases()
		}
		sleep.For(p.ctx, maintenanceInterval)
	}
}

// IsCandidate reports whether this VM competes for the placement lease now: it is among the first
// candidates, or it holds the placement already, whatever the list of VMs says. A VM that has not
// read the list of VMs knows only itself and would be among the first, so that of 195 VMs that start
// together all would read the lease; it is no candidate by its place.
func (p *Process) IsCandidate() bool {
	if p.reach.CutOff() {
		return false // it could neither poll nor order the replicas
	}
	age := p.loadCache.Age(p.started)
	first := p.census.Loaded() && p.census.IsAmongLargest(candidates(age))
	return p.Holds() || first || age > lonelyTimeout
}

// candidates returns how many VMs compete for the placement lease if the newest loads have an age.
// The holder renews them each second. Their number grows step by step, as all candidates may have
// died at once, while a thousand VMs that competed together would read the lease 1,500 times a
// second.
func candidates(loadsAge time.Duration) int {
	n := maxCandidates
	for wait := holderTimeout; loadsAge > wait && wait < lonelyTimeout; wait += candidateStep {
		n *= candidateGrowth
	}
	return n
}

func (p *Process) runLeases() {
	ctx, cancel := context.WithCancel(p.ctx)
	var competing sync.WaitGroup
	competing.Go(func() { p.leases.Run(ctx) })
	for p.IsCandidate() && sleep.For(ctx, maintenanceInterval) {
	}
	cancel()
	competing.Wait()
	if p.reach.CutOff() {
		p.giveUpLeases()
	}
}

// giveUpLeases releases the leases, so that a VM that reaches the replicas need not wait for them to
// expire.
func (p *Process) giveUpLeases() {
	ctx, cancel := context.WithTimeout(p.ctx, releaseTimeout)
	defer cancel()
	p.leases.GiveUp(ctx)
	p.Logger.Info("leases given up: this VM reaches no replica")
}

// runPlacer assigns layers to the replicas of a model's service while this VM holds the placement.
func (p *Process) runPlacer(service string) {
	placer.New(placer.Options{
		Engines: p.controlEngines, Holder: p, Logger: p.Logger,
		Model:              func() (*layers.Spec, []layers.Replica) { return p.respondingReplicas(service) },
		ObserveIncarnation: p.view.observeReport, LastReport: p.loadCache.Reported,
	}).Run(p.ctx)
}

// respondingReplicas returns a model's specification and its replicas without those that did not
// answer the holder of the placement. Discovery drops a dead replica only after three missing
// heartbeats, some 5 s in which possibly no other replica holds its layers.
func (p *Process) respondingReplicas(service string) (*layers.Spec, []layers.Replica) {
	spec, replicas := p.view.model(service)
	down := p.loadCache.Down()
	return spec, slices.DeleteFunc(replicas, func(r layers.Replica) bool { return down[r.Key()] })
}

// Holds implements placer.Holder.
func (p *Process) Holds() bool {
	_, ok := p.currentTenure()
	return ok
}

// currentTenure returns the number of this VM's last tenure of the placement, and whether it has the
// placement now. A VM that is cut off from the replicas has not: nobody would place while it holds on.
func (p *Process) currentTenure() (uint64, bool) {
	number, ok := p.tenure.current()
	return number, ok && !p.reach.CutOff()
}
