package census

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/relay"
)

const (
	budgetService = "service"
	budgetShare   = 0.2
	budgetWindow  = 10 * time.Second
	// budgetStep is the time between two rounds in which each VM makes all retries that it may.
	budgetStep = 250 * time.Millisecond
	// budgetTime is how long callers send requests. Nothing is sent in the first budgetLead.
	budgetTime = 60 * time.Second
	budgetLead = 10 * time.Second
)

// retryingVM is a VM whose requests all fail.
type retryingVM struct {
	own     VM
	census  *Census
	budgets *relay.RetryBudgets
	stop    context.CancelFunc
	starts  []time.Time
	// restartAt is when the VM's next process starts if none runs.
	restartAt time.Time
}

// retryingFleet is a fleet that makes each retry that its budgets allow.
type retryingFleet struct {
	ctx     context.Context
	table   *fakeTable
	network *fakeNetwork
	vms     []*retryingVM
	slack   float64
	// requests and retries count by budgetStep.
	requests, retries []int
}

// start starts a process of a VM.
func (f *retryingFleet) start(own VM) *retryingVM {
	vm := &retryingVM{own: own, census: newCensus(f.table, f.network, own)}
	vm.budgets = relay.NewRetryBudgets(relay.RetryBudgetSettings{VM: own.Name, Share: budgetShare, Slack: f.slack, Window: budgetWindow, FirstStart: f.network.firstStart})
	setPeers := vm.census.onChange
	vm.census.onChange = func(vms []VM) {
		setPeers(vms)
		vm.updateBudgets()
	}
	ctx, cancel := context.WithCancel(f.ctx)
	vm.stop = func() {
		cancel()
		f.network.remove(own.Name)
	}
	go vm.census.Run(ctx)
	return vm
}

// updateBudgets sets the VMs that share the budgets as package entry does.
func (vm *retryingVM) updateBudgets() {
	f := relay.FleetCount{Counted: vm.census.Counted()}
	if vm.census.Complete() {
		f.VMs = len(vm.census.VMs())
	}
	vm.budgets.SetFleet(f)
}

// maxStarts is how often a VM starts in a window at most. The allowance of starting processes covers no more.
const maxStarts = 3

// mayStart reports whether the VM may start once more.
func (vm *retryingVM) mayStart(at time.Time) bool {
	recent := 0
	for _, started := range vm.starts {
		if at.Sub(started) <= budgetWindow {
			recent++
		}
	}
	return recent < maxStarts
}

// kill ends processes and starts them again after a while.
func (f *retryingFleet) kill(first, count int, down time.Duration) {
	for i := range count {
		vm := f.vms[(first+i)%len(f.vms)]
		if at := time.Now().Add(down); vm.stop == nil || !vm.mayStart(at) {
			continue
		}
		vm.stop()
		vm.stop, vm.restartAt = nil, time.Now().Add(down)
	}
}

// restart starts the VMs again whose time has come.
func (f *retryingFleet) restart() {
	for i, vm := range f.vms {
		if vm.stop != nil || time.Now().Before(vm.restartAt) {
			continue
		}
		next := f.start(vm.own)
		next.starts = append(vm.starts, time.Now())
		f.vms[i] = next
	}
}

// step lets each VM take some requests and make all retries that it may.
func (f *retryingFleet) step(requests int) {
	f.requests, f.retries = append(f.requests, 0), append(f.retries, 0)
	at := len(f.requests) - 1
	for _, vm := range f.vms {
		if vm.stop == nil {
			continue
		}
		vm.updateBudgets()
		budget := vm.budgets.Budget(budgetService)
		for range requests {
			budget.Credit()
			f.requests[at]++
		}
		for budget.Take() {
			f.retries[at]++
		}
	}
	time.Sleep(budgetStep)
}

// excess returns by how much a window goes beyond the rule: retries are a share of the requests of that
// window, of the one before or of the one half a window before, plus the slack.
func (f *retryingFleet) excess() (most float64, at time.Duration) {
	n := int(budgetWindow / budgetStep)
	sum := func(counts []int, from int) float64 {
		total := 0
		for i := max(0, from); i < min(len(counts), from+n); i++ {
			total += counts[i]
		}
		return float64(total)
	}
	for from := range f.retries {
		requests := max(sum(f.requests, from), sum(f.requests, from-n), sum(f.requests, from-n/2))
		if e := sum(f.retries, from) - budgetShare*requests - f.slack; e > most {
			most, at = e, time.Duration(from)*budgetStep
		}
	}
	return most, at
}

// budgetEvent is what happens to the fleet at one step.
type budgetEvent struct {
	kind        string
	step        int
	first       int
	count, down int
}

func (e budgetEvent) String() string {
	return fmt.Sprintf("%s of %d from %d at %s for %d s", e.kind, e.count, e.first, time.Duration(e.step)*budgetStep, e.down)
}

func (f *retryingFleet) apply(e budgetEvent) {
	down := time.Duration(e.down) * time.Second
	switch e.kind {
	case "kill":
		f.kill(e.first, e.count, max(down/10, budgetStep))
	case "kill all":
		f.kill(0, len(f.vms), max(down/10, budgetStep))
	case "lose":
		f.kill(e.first, 1, budgetTime)
	case "add":
		for range e.count {
			f.vms = append(f.vms, f.start(fleetVM(len(f.vms))))
		}
	case "outage":
		f.table.setUnavailable(true)
		time.AfterFunc(down, func() { f.table.setUnavailable(false) })
	}
}

// Guards against more retries of the whole fleet than the rule allows, as one VM's restart, a list of VMs
// that is late or empty, and new VMs each gave some VM a part of the slack that others had used.
func TestFleetKeepsItsRetryBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(3, 9).Draw(rt, "VMs")
		requests := rapid.IntRange(0, 6).Draw(rt, "requests of a VM and step")
		events := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) budgetEvent {
			return budgetEvent{
				kind: rapid.SampledFrom([]string{"kill", "kill all", "lose", "add", "outage"}).Draw(rt, "kind"),
				step: rapid.IntRange(0, int(budgetTime/budgetStep)-1).Draw(rt, "step"), first: rapid.IntRange(0, 8).Draw(rt, "first"),
				count: rapid.IntRange(1, 4).Draw(rt, "count"), down: rapid.IntRange(1, 30).Draw(rt, "down"),
			}
		}), 1, 8).Draw(rt, "events")
		if excess, at := playRetryingFleet(t, size, requests, events); excess > 0 {
			rt.Fatalf("%.0f retries too many in the window from %s; %v", excess, at, events)
		}
	})
}

// Guards against a whole part of the slack for each VM that reads the list of VMs while an outage of the store
// has made nearly all rows expire.
func TestFleetKeepsItsRetryBudgetAfterLongOutages(t *testing.T) {
	const rounds = 150
	for _, events := range [][]budgetEvent{
		{{kind: "outage", step: 5, down: 21}, {kind: "kill", step: 5, first: 1, count: 1, down: 27}},
		{{kind: "kill all", step: 0, down: 10}, {kind: "outage", step: 3, down: 27}, {kind: "outage", step: 138, down: 26}, {kind: "add", step: 185, count: 2}, {kind: "lose", step: 211, first: 1}},
	} {
		for range rounds {
			if excess, at := playRetryingFleet(t, 6, 5, events); excess > 0 {
				t.Fatalf("%.0f retries too many in the window from %s; %v", excess, at, events)
			}
		}
	}
}

// Guards against a full slack for each process of a fleet that is killed several times within a window.
func TestFleetKilledRepeatedlyKeepsItsRetryBudget(t *testing.T) {
	var events []budgetEvent
	for _, at := range []time.Duration{20 * time.Second, 23 * time.Second, 26 * time.Second} {
		events = append(events, budgetEvent{kind: "kill all", step: int(at / budgetStep), down: 10})
	}
	for _, size := range fleetSizes(6, 88) {
		t.Run(fmt.Sprint(size, " VMs"), func(t *testing.T) {
			if excess, at := playRetryingFleet(t, size, 1, events); excess > 0 {
				t.Errorf("%.0f retries too many in the window from %s", excess, at)
			}
		})
	}
}

// playRetryingFleet plays the events in virtual time. It returns by how much a window goes beyond the rule, and
// where that window begins.
func playRetryingFleet(t *testing.T, size, requests int, events []budgetEvent) (excess float64, at time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &retryingFleet{ctx: ctx, table: &fakeTable{rows: map[string]platform.Row{}}, network: newFakeNetwork(), slack: slackOf(size)}
		f.network.firstStart = true
		for i := range size {
			f.vms = append(f.vms, f.start(fleetVM(i)))
		}
		time.Sleep(budgetLead)
		f.network.firstStart = false
		for step := range int(budgetTime / budgetStep) {
			for _, e := range events {
				if e.step == step {
					f.apply(e)
				}
			}
			f.restart()
			f.step(requests)
		}
		cancel()
		time.Sleep(budgetTime) // the timers of the events end
		excess, at = f.excess()
	})
	return excess, at
}

// slackOf returns the slack of the installations with at least that many VMs.
func slackOf(vms int) float64 {
	switch {
	case vms >= 985:
		return 1040
	case vms >= 81:
		return 362
	}
	return 196
}
