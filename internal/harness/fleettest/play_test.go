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
	setupBound = 30 * time.Second
	healBound  = 3 * time.Minute
	// oldLeases is how long the leases of VMs that were killed last.
	oldLeases = 20 * time.Second
)

// play runs the script in virtual time and returns what is wrong.
func play(s script, p planted) (problems []string, all []told, what *trace) {
	w := newWorld(p)
	ctx, stop := context.WithCancel(context.Background())
	w.setUp(ctx)
	w.work.Go(func() { w.monitor(ctx) })
	all = w.run(s)
	w.heal()
	w.settle(ctx)
	stop()
	w.close()
	return w.judge(all), all, w.trace
}

// setUp starts the first VMs and puts the configuration in force.
func (w *world) setUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, setupBound)
	defer cancel()
	for number := range firstVMs {
		w.start(number)
	}
	for number := range firstVMs {
		if !w.vm(number).waitReady(ctx) {
			w.wrong("VM %d is not ready", number)
			return
		}
	}
	for _, p := range w.entities() {
		if a := w.propose(w.vm(0), p); a.kind != toldAccepted {
			w.wrong("%s %s was not accepted at the start: %v", p.Kind, p.Name, a.err)
		}
	}
}

// run makes everything of the script happen.
func (w *world) run(s script) []told {
	var mu sync.Mutex
	var all []told
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
		group.Go(func() { w.operate(o) })
	}
	for _, i := range s.incidents {
		group.Go(func() { w.happen(i) })
	}
	group.Wait()
	return all
}

// settle waits until the fleet has healed and shows that it serves.
func (w *world) settle(ctx context.Context) {
	if len(w.running()) == 0 {
		w.start(0)
	}
	for _, v := range w.running() {
		bounded, cancel := context.WithTimeout(ctx, healBound)
		if !v.waitReady(bounded) {
			w.wrong("%s is not ready after all faults ended", v.name)
		}
		cancel()
	}
	w.restore()
	time.Sleep(oldLeases)
	last := ""
	for range healBound / time.Second {
		if last = w.unhealed(); last == "" {
			w.probe()
			return
		}
		time.Sleep(time.Second)
	}
	w.wrong("not healed: %s", last)
}

// restore gives every entity its first value again, as operators would who find
// that the incident is over.
func (w *world) restore() {
	v := w.running()[0]
	for range healBound / time.Second {
		next, ok := w.deviation(v.Store().Current())
		if !ok {
			return
		}
		if next.ID == "" {
			time.Sleep(time.Second) // a reload is under way
			continue
		}
		if w.propose(v, next).kind != toldAccepted {
			time.Sleep(time.Second)
		}
	}
	w.wrong("operators could not restore the configuration at %s", v.name)
}

// deviation returns a change towards the first configuration; its ID is empty while
// there is none but to wait.
func (w *world) deviation(s *config.Snapshot) (next confstore.Proposal, ok bool) {
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

// unhealed returns what is not yet as it should be, empty when all is.
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
			return fmt.Sprintf("%s misses %v, knows %d peers of %d", v.name, missing, v.Peers().PeerCount(), len(all)-1)
		}
		for target, count := range v.Router().Balancer.InFlight() {
			if count > 0 {
				return fmt.Sprintf("%s has %d in flight at %s", v.name, count, target)
			}
		}
		if n := v.Router().InHand(); n > 0 {
			return fmt.Sprintf("%s has %d requests in hand", v.name, n)
		}
	}
	if rows := w.store.PeekKeys(rosterFrom, rosterTo); len(rows) != len(all) {
		return fmt.Sprintf("rows of VMs: %v", rows)
	}
	return w.unhealedEngine(all[0].Store().Current())
}

func (w *world) unhealedEngine(s *config.Snapshot) string {
	for name, e := range w.engines {
		state, wanted := e.State(), s.Targets[name]
		switch {
		case wanted.State != config.StateActive:
			return name + " is " + string(wanted.State)
		case state.Version != wanted.Version || state.Loading:
			return fmt.Sprintf("%s holds version %s, loading %t", name, state.Version, state.Loading)
		case state.Active > 0:
			return fmt.Sprintf("%s has %d slots taken", name, state.Active)
		}
	}
	return ""
}

// probe asks every VM for everything once more.
func (w *world) probe() {
	for _, v := range w.running() {
		for _, p := range profiles() {
			id := "probe-" + uuid.NewString()
			got := w.requestAt(id, arrival{profile: p.Name, tokens: 3}, v)
			if got.outcome != outcome.Complete {
				w.wrong("healed, but %v", got)
			}
		}
		target := v.Store().Current().Targets["s0"]
		if a := w.propose(v, proposal(config.EntityTarget, "s0", target, target.Revision)); a.kind != toldAccepted {
			w.wrong("healed, but a change at %s was not accepted: %v", v.name, a.err)
		}
	}
}

// close stops every VM in order and looks at what they leave behind.
func (w *world) close() {
	for _, v := range w.running() {
		w.stopVM(v)
	}
	w.work.Wait()
	for _, duty := range []string{"orders", "sweep", "compact"} {
		if l := leaseRow(w.store, duty); l.Holder != "" {
			w.wrong("the lease of %s is left with %s", duty, l.Holder)
		}
	}
	if rows := w.store.PeekKeys(rosterFrom, rosterTo); len(rows) > 0 {
		w.wrong("rows left behind: %v", rows)
	}
	for name, e := range w.engines {
		if e.Active() > 0 {
			w.wrong("%s has %d slots taken at the end", name, e.Active())
		}
		e.Close()
	}
}
