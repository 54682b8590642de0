package confstore

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/testseed"
	"geraniumcroft/internal/platform"
)

const (
	checkedSeeds     = 12
	checkedOperators = 4
	operatorSteps    = 12
	checkTimeout     = 30 * time.Second
)

// recorder records the operations of operators and their results, ordered by a logical
// clock.
type recorder struct {
	clock atomic.Int64

	mu      sync.Mutex // guards the field below
	history []porcupine.Operation
}

// record runs an operation of an operator, records it and returns its result.
func (r *recorder) record(operator int, in profileInput, run func() profileOutput) profileOutput {
	call := r.clock.Add(1)
	out := run()
	end := r.clock.Add(1)
	if out.result == resultPending {
		end = math.MaxInt64 // it may be written at any later time
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: operator, Input: in, Call: call, Output: out, Return: end})
	return out
}

// checkedRun simulates several VMs on one table and operators that concurrently change
// one profile.
type checkedRun struct {
	*fixture
	recorder recorder
	stores   [checkedVMs]*Store
	// created is the first revision of the profile.
	created entry
	// outcomes counts the results of proposals.
	outcomes [resultPending + 1]atomic.Int64
}

// newCheckedRun returns a run whose VMs all have the profile's first revision.
func newCheckedRun(t *testing.T) *checkedRun {
	r := &checkedRun{fixture: newFixture(t)}
	for i := range r.stores {
		r.stores[i] = r.storeWith(fmt.Sprintf("vm-%d", i), Options{
			CompactAfter: 6, RetainChanges: 4, ProposeTimeout: 60 * time.Millisecond, ResolveTimeout: 30 * time.Millisecond,
		})
	}
	revision := r.withProfile(r.stores[0])
	r.created = entry{id: "create", revision: revision, value: 1}
	for _, s := range r.stores[1:] {
		if err := s.Load(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

// read reads the profile on a VM and returns its revision.
func (r *checkedRun) read(operator, vm int) uint64 { return r.readAtLeast(operator, vm, 0) }

// readAtLeast reads the profile on a VM, which must have at least the revision.
func (r *checkedRun) readAtLeast(operator, vm int, revision uint64) uint64 {
	in := profileInput{vm: vm, atLeast: revision}
	out := r.recorder.record(operator, in, func() profileOutput {
		p := r.stores[vm].Current().Profiles["permits"]
		return profileOutput{revision: p.Revision, value: int(time.Duration(p.Deadline) / time.Second)}
	})
	return out.revision
}

// propose makes a proposal. If the result contains a revision, it then reads the profile
// on the same VM, which must have at least that revision.
func (r *checkedRun) propose(operator int, in profileInput) {
	in.propose = true
	out := r.recorder.record(operator, in, func() profileOutput {
		change, err := r.stores[in.vm].Propose(context.Background(),
			permitsProposal(in.id, in.ifRevision, time.Duration(in.value)*time.Second))
		return outputOf(r.t, change, err)
	})
	r.outcomes[out.result].Add(1)
	if out.result == resultWritten || out.result == resultConflict {
		r.readAtLeast(operator, in.vm, out.revision)
	}
}

// outputOf returns the result of a proposal. Any other error fails the test.
func outputOf(t *testing.T, change config.Change, err error) profileOutput {
	var conflict *ConflictError
	var pending *PendingError
	var notWritten *NotWrittenError
	switch {
	case err == nil:
		return profileOutput{result: resultWritten, revision: change.Version}
	case errors.As(err, &conflict):
		return profileOutput{result: resultConflict, revision: conflict.Revision}
	case errors.As(err, &pending):
		return profileOutput{result: resultPending, revision: pending.Version}
	case errors.As(err, &notWritten):
		return profileOutput{result: resultNotWritten}
	}
	t.Errorf("unexpected error of a proposal: %v", err)
	return profileOutput{result: resultNotWritten}
}

// runOperator runs one operator, which repeatedly reads the profile on a VM, proposes a
// change of the revision that it read through the same or another VM, and sometimes
// repeats the proposal with the same id.
func (r *checkedRun) runOperator(operator int, random *rand.Rand) {
	for step := range operatorSteps {
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
		revision := r.read(operator, random.IntN(checkedVMs))
		in := profileInput{
			vm: random.IntN(checkedVMs), id: fmt.Sprintf("op-%d-%d", operator, step), ifRevision: revision,
			value: 2 + operator*operatorSteps + step,
		}
		r.propose(operator, in)
		if random.IntN(3) == 0 {
			in.vm = random.IntN(checkedVMs)
			r.propose(operator, in)
		}
	}
}

// exchangeChanges delivers messages of peers, some of them late or repeatedly, polls,
// compacts, installs snapshots and applies delayed transactions, until stop is closed.
func (r *checkedRun) exchangeChanges(random *rand.Rand, stop <-chan struct{}) {
	var late [][]config.Change
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(1+random.IntN(10)) * time.Millisecond):
		}
		from, to := r.stores[random.IntN(checkedVMs)], r.stores[random.IntN(checkedVMs)]
		if changes, ok := from.ChangesAfter(uint64(random.IntN(int(from.Current().Version))), 8); ok {
			late = append(late, changes)
		}
		if len(late) > 0 {
			_, _ = to.ApplyChanges(late[random.IntN(len(late))])
		}
		switch random.IntN(8) {
		case 0:
			_ = to.Poll(context.Background())
		case 1:
			_ = from.Compact(context.Background())
		case 2:
			to.InstallSnapshot(from.Current())
		case 3:
			r.table.applyDelayed()
		}
	}
}

// causeOutages makes the table unavailable from time to time, until stop is closed.
func (r *checkedRun) causeOutages(random *rand.Rand, stop <-chan struct{}) {
	for unavailable := false; ; unavailable = !unavailable && random.IntN(3) == 0 {
		r.table.setUnavailable(unavailable)
		select {
		case <-stop:
			r.table.setUnavailable(false)
			return
		case <-time.After(time.Duration(10+random.IntN(140)) * time.Millisecond):
		}
	}
}

// run runs the operators while the table has faults, outages and random latency.
func (r *checkedRun) run(seed uint64) {
	random := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	r.table.setFault(r.table.randomFaults(seed))
	pauses := random(1)
	var mu sync.Mutex
	r.table.pause = func() {
		mu.Lock()
		wait := time.Duration(pauses.IntN(3000)) * time.Microsecond
		mu.Unlock()
		time.Sleep(wait)
	}
	stop := make(chan struct{})
	var background, operators sync.WaitGroup
	background.Go(func() { r.exchangeChanges(random(2), stop) })
	background.Go(func() { r.causeOutages(random(3), stop) })
	for operator := range checkedOperators {
		operators.Go(func() { r.runOperator(operator, random(uint64(10+operator))) })
	}
	operators.Wait()
	close(stop)
	background.Wait()
	r.table.setFault(nil)
	r.table.setUnavailable(false)
}

// check checks the recorded history against the model.
func (r *checkedRun) check() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(profileModel(r.created), r.recorder.history, checkTimeout)
}

// Four operators concurrently change one profile through three VMs, while responses are
// lost, the table has outages, messages of peers are late, and the history is compacted.
// Proposals must behave as compare-and-set, and no VM may ever show an older profile than
// before. A VM that starts afterwards must load the configuration of the others.
func TestHistoryOfRacingOperators(t *testing.T) {
	var outcomes [resultPending + 1]int64
	for seed := range testseed.Series(checkedSeeds) {
		var r *checkedRun
		synctest.Test(t, func(t *testing.T) {
			r = newCheckedRun(t)
			r.run(seed)
			r.checkNewVM(t)
		})
		if got := r.check(); got != porcupine.Ok {
			t.Fatalf("seed %d: the history of %d operations is %s", seed, len(r.recorder.history), got)
		}
		for i := range outcomes {
			outcomes[i] += r.outcomes[i].Load()
		}
	}
	// The check is only meaningful if every result occurred.
	for result, count := range outcomes {
		if profileResult(result) != resultRead && count == 0 {
			t.Errorf("no proposal ended with result %d", result)
		}
	}
	t.Logf("written %d, conflict %d, not written %d, pending %d", outcomes[resultWritten],
		outcomes[resultConflict], outcomes[resultNotWritten], outcomes[resultPending])
}

// checkNewVM checks that a VM that starts loads the configuration of the other VMs.
func (r *checkedRun) checkNewVM(t *testing.T) {
	s := r.store("vm-new")
	if err := s.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	for _, other := range r.stores {
		if err := other.Poll(context.Background()); err != nil {
			t.Fatal(err)
		}
		if string(snapshotJSON(t, other)) != string(snapshotJSON(t, s)) {
			t.Fatalf("the new VM at version %d differs from another VM at version %d", s.Current().Version, other.Current().Version)
		}
	}
}

// Planted fault: the transaction has no conditions. Two operators change the revision that
// both have read, the transaction of the second overwrites that of the first, and both
// proposals succeed. The check must fail.
func TestHistoryCheckCatchesMissingConditions(t *testing.T) {
	for name, planted := range map[string]bool{"conditions": false, "no conditions": true} {
		t.Run(name, func(t *testing.T) {
			r := newCheckedRun(t)
			if planted {
				r.table.skipValidation = true
				r.stores[0].hooks.conditions = func([]platform.Condition) []platform.Condition { return nil }
			}
			revision := r.read(0, 0)
			r.table.onCommit = func(platform.Txn) {
				r.table.onCommit = nil
				r.propose(1, profileInput{vm: 1, id: "first", ifRevision: revision, value: 7})
			}
			r.propose(0, profileInput{vm: 0, id: "second", ifRevision: revision, value: 9})
			if illegal := r.check() == porcupine.Illegal; illegal != planted {
				t.Fatalf("history is illegal: %v", illegal)
			}
		})
	}
}

// Planted fault: a VM reverts to an older snapshot. The check must fail.
func TestHistoryCheckCatchesStaleReads(t *testing.T) {
	r := newCheckedRun(t)
	old := r.stores[0].Current()
	r.propose(0, profileInput{vm: 0, id: "first", ifRevision: r.created.revision, value: 7})
	r.read(1, 0)
	if r.check() != porcupine.Ok {
		t.Fatal("the history before the fault is illegal")
	}
	r.stores[0].current.Store(old)
	r.read(1, 0)
	if r.check() != porcupine.Illegal {
		t.Fatal("the check accepted a read of an older revision")
	}
}
