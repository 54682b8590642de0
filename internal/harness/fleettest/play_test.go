package fleettest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
	"geraniumcroft/internal/outcome"
)

const (
	setupTimeout = 30 * time.Second
	healTimeout  = 3 * time.Minute
	// leaseExpiry is the time after which the leases of killed VMs have expired.
	leaseExpiry = 20 * time.Second
)

// play runs a script in virtual time. It returns the problems found, the results of
// all callers and the trace.
func play(s script, p planted) (problems []string, all []callerResult, events *trace) {
	w := newWorld(p)
	ctx, stop := context.WithCancel(context.Background())
	w.setUp(ctx)
	w.work.Go(func() { w.monitor(ctx) })
	all = w.run(s)
	w.heal()
	w.awaitHealed(ctx)
	stop()
	w.close()
	return w.check(all), all, w.trace
}

// setUp starts the initial VMs and puts the initial configuration in force.
func (w *world) setUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	for number := range firstVMs {
		w.start(number)
	}
	for number := range firstVMs {
		if !w.vm(number).waitReady(ctx) {
			w.problemf("VM %d is not ready", number)
			return
		}
	}
	for _, p := range w.entities() {
		if a := w.propose(w.vm(0), p); a.kind != answerAccepted {
			w.problemf("%s %s was not accepted at the start: %v", p.Kind, p.Name, a.err)
		}
	}
}

// run runs all arrivals, operations and incidents of a script and waits for them.
func (w *world) run(s script) []callerResult {
	var mu sync.Mutex
	var all []callerResult
	var group sync.WaitGroup
	for number, a := range s.arrivals {
		group.Go(func() {
			got := w.request(number, a)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, got)
		})
	}
	for _, o := range s.operations {
		group.Go(func() { w.runOperation(o) })
	}
	for _, i := range s.incidents {
		group.Go(func() { w.runIncident(i) })
	}
	group.Wait()
	return all
}

// awaitHealed waits until the fleet has recovered and then checks that it serves.
func (w *world) awaitHealed(ctx context.Context) {
	if len(w.running()) == 0 {
		w.start(0)
	}
	for _, v := range w.running() {
		bounded, cancel := context.WithTimeout(ctx, healTimeout)
		if !v.waitReady(bounded) {
			w.problemf("%s is not ready after all faults ended", v.name)
		}
		cancel()
	}
	w.restore()
	time.Sleep(leaseExpiry)
	last := ""
	for range healTimeout / time.Second {
		if last = w.unhealed(); last == "" {
			w.probe()
			return
		}
		time.Sleep(time.Second)
	}
	w.problemf("not healed: %s", last)
}

// restore proposes changes until every entity has its initial value again, as operators
// would after an incident.
func (w *world) restore() {
	v := w.running()[0]
	for range healTimeout / time.Second {
		next, ok := w.nextRestoration(v.Store().Current())
		if !ok {
			return
		}
		if next.ID == "" {
			time.Sleep(time.Second) // a reload is in progress
			continue
		}
		if w.propose(v, next).kind != answerAccepted {
			time.Sleep(time.Second)
		}
	}
	w.problemf("operators could not restore the configuration at %s", v.name)
}

// nextRestoration returns the next change that leads back to the initial configuration.
// Its ID is empty if the caller has to wait first. ok is false if nothing is left to
// restore.
func (w *world) nextRestoration(s *config.Snapshot) (next confstore.Proposal, ok bool) {
	for _, p := range profiles() {
		now := s.Profiles[p.Name]
		if len(now.Models) > 0 && now.Models[0].Version != "1" {
			return proposal(config.EntityProfile, p.Name, p, now.Revision), true
		}
	}
	for _, target := range s.Targets {
		if target.State == config.StateReloading {
			ok = true
			continue
		}
		changed := *target
		changed.State = config.StateActive
		if target.Kind == config.KindEngine {
			changed.Version = "1"
		}
		if changed.State != target.State || changed.Version != target.Version {
			return proposal(config.EntityTarget, target.Name, changed, target.Revision), true
		}
	}
	return confstore.Proposal{}, ok
}

// unhealed describes one way in which the fleet has not yet recovered. It returns an
// empty string if the fleet has recovered.
func (w *world) unhealed() string {
	all := w.running()
	version := all[0].Store().Current().Version
	for _, v := range all {
		if !v.Router().Ready() {
			return v.name + " is not ready"
		}
		if have := v.Store().Current().Version; have != version {
			return fmt.Sprintf("%s is at version %d, another at %d", v.name, have, version)
		}
		if _, missing := v.Peers().InForce(version); len(missing) > 0 || v.Peers().PeerCount() != len(all)-1 {
			return fmt.Sprintf("%s misses %v and has %d peers of %d", v.name, missing, v.Peers().PeerCount(), len(all)-1)
		}
		for target, count := range v.Router().Balancer.InFlight() {
			if count > 0 {
				return fmt.Sprintf("%s has %d in flight at %s", v.name, count, target)
			}
		}
		if n := v.Router().InHand(); n > 0 {
			return fmt.Sprintf("%s has %d requests in progress", v.name, n)
		}
	}
	if rows := w.store.PeekKeys(vmRowsFrom, vmRowsTo); len(rows) != len(all) {
		return fmt.Sprintf("rows of VMs: %v", rows)
	}
	return w.unhealedEngine(all[0].Store().Current())
}

// unhealedEngine is the part of unhealed for engines.
func (w *world) unhealedEngine(s *config.Snapshot) string {
	for name, e := range w.engines {
		state, wanted := e.State(), s.Targets[name]
		switch {
		case wanted.State != config.StateActive:
			return name + " is " + string(wanted.State)
		case state.Version != wanted.Version || state.Loading:
			return fmt.Sprintf("%s holds version %s, loading %t", name, state.Version, state.Loading)
		case state.Active > 0:
			return fmt.Sprintf("%s has %d slots in use", name, state.Active)
		}
	}
	return ""
}

// probe checks that every VM serves every profile and accepts a configuration change.
func (w *world) probe() {
	for _, v := range w.running() {
		for _, p := range profiles() {
			id := "probe-" + uuid.NewString()
			got := w.requestAt(id, arrival{profile: p.Name, tokens: 3}, v)
			if got.outcome != outcome.Complete {
				w.problemf("healed, but %v", got)
			}
		}
		target := v.Store().Current().Targets["s0"]
		if a := w.propose(v, proposal(config.EntityTarget, "s0", target, target.Revision)); a.kind != answerAccepted {
			w.problemf("healed, but a change at %s was not accepted: %v", v.name, a.err)
		}
	}
}

// close stops every VM gracefully and checks that no lease, row or slot remains in use.
func (w *world) close() {
	for _, v := range w.running() {
		w.stopVM(v)
	}
	w.work.Wait()
	for _, duty := range []string{"orders", "sweep", "compact"} {
		if l := leaseRow(w.store, duty); l.Holder != "" {
			w.problemf("the lease of %s is still held by %s", duty, l.Holder)
		}
	}
	if rows := w.store.PeekKeys(vmRowsFrom, vmRowsTo); len(rows) > 0 {
		w.problemf("rows of VMs remain: %v", rows)
	}
	for name, e := range w.engines {
		if e.Active() > 0 {
			w.problemf("%s has %d slots in use at the end", name, e.Active())
		}
		e.Close()
	}
}
