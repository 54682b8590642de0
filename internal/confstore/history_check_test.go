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

// recorder collects what operators did and saw, in the order of a logical clock.
type recorder struct {
	clock atomic.Int64

	mu      sync.Mutex // guards the field below
	history []porcupine.Operation
}

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

// checkedRun is several VMs on one table, with one profile that operators race for.
type checkedRun struct {
	*fixture
	recorder recorder
	stores   [checkedVMs]*Store
	created  entry
	outcomes [resultPending + 1]atomic.Int64
}

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

func (r *checkedRun) read(operator, vm int) uint64 { return r.readAtLeast(operator, vm, 0) }

func (r *checkedRun) readAtLeast(operator, vm int, revision uint64) uint64 {
	in := profileInput{vm: vm, atLeast: revision}
	out := r.recorder.record(operator, in, func() profileOutput {
		p := r.stores[vm].Current().Profiles["permits"]
		return profileOutput{revision: p.Revision, value: int(time.Duration(p.Deadline) / time.Second)}
	})
	return out.revision
}

func (r *checkedRun) propose(operator int, in profileInput) {
	in.propose = true
	out := r.recorder.record(operator, in, func() profileOutput {
		change, err := r.stores[in.vm].Propose(context.Background(),
			permits(in.id, in.ifRevision, time.Duration(in.value)*time.Second))
		return outputOf(r.t, change, err)
	})
	r.outcomes[out.result].Add(1)
	if out.result == resultWritten || out.result == resultConflict {
		r.readAtLeast(operator, in.vm, out.revision)
	}
}

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
	t.Errorf("a proposal ended with %v", err)
	return profileOutput{result: resultNotWritten}
}

// operate is one operator: reads on some VM, changes what was read, through that
// VM or another one, and sometimes asks again with the same id.
func (r *checkedRun) operate(operator int, random *rand.Rand) {
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

// spread delivers peers' messages, late ones and repeated ones among them, polls,
// and compacts, until stop.
func (r *checkedRun) spread(random *rand.Rand, stop <-chan struct{}) {
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
			r.table.release()
		}
	}
}

// trouble makes the table slow and takes it out now and then, until stop.
func (r *checkedRun) trouble(random *rand.Rand, stop <-chan struct{}) {
	for out := false; ; out = !out && random.IntN(3) == 0 {
		r.table.setOut(out)
		select {
		case <-stop:
			r.table.setOut(false)
			return
		case <-time.After(time.Duration(10+random.IntN(140)) * time.Millisecond):
		}
	}
}

func (r *checkedRun) run(seed uint64) {
	random := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	r.table.setFault(r.table.sometimes(seed))
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
	background.Go(func() { r.spread(random(2), stop) })
	background.Go(func() { r.trouble(random(3), stop) })
	for operator := range checkedOperators {
		operators.Go(func() { r.operate(operator, random(uint64(10+operator))) })
	}
	operators.Wait()
	close(stop)
	background.Wait()
	r.table.setFault(nil)
	r.table.setOut(false)
}

func (r *checkedRun) check() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(profileModel(r.created), r.recorder.history, checkTimeout)
}

// Four operators race for one profile through three VMs, while answers are lost,
// the table goes out, peers deliver late, and the history is compacted. Each sees
// compare-and-set, and no VM ever shows an older profile than before; a new VM
// ends with what the others have.
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
	// A run in which nothing goes wrong proves nothing.
	for result, count := range outcomes {
		if profileResult(result) != resultRead && count == 0 {
			t.Errorf("no proposal ended with result %d", result)
		}
	}
	t.Logf("written %d, conflict %d, not written %d, pending %d", outcomes[resultWritten],
		outcomes[resultConflict], outcomes[resultNotWritten], outcomes[resultPending])
}

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
			t.Fatalf("version %d here, %d there", s.Current().Version, other.Current().Version)
		}
	}
}

// Planted fault: the transaction has no conditions. Two operators change the
// revision that both have read, the second one's transaction overwrites the first
// one's, and both are told that they won. The checker has to object.
func TestHistoryCheckCatchesMissingConditions(t *testing.T) {
	for name, planted := range map[string]bool{"conditions": false, "no conditions": true} {
		t.Run(name, func(t *testing.T) {
			r := newCheckedRun(t)
			if planted {
				r.table.lenient = true
				r.stores[0].hooks.conditions = func([]platform.Condition) []platform.Condition { return nil }
			}
			revision := r.read(0, 0)
			r.table.onCommit = func(platform.Txn) {
				r.table.onCommit = nil
				r.propose(1, profileInput{vm: 1, id: "first", ifRevision: revision, value: 7})
			}
			r.propose(0, profileInput{vm: 0, id: "second", ifRevision: revision, value: 9})
			if objected := r.check() == porcupine.Illegal; objected != planted {
				t.Fatalf("the checker objected: %v", objected)
			}
		})
	}
}

// Planted fault: a VM takes back an older snapshot. The checker has to object.
func TestHistoryCheckCatchesReadsThatGoBack(t *testing.T) {
	r := newCheckedRun(t)
	old := r.stores[0].Current()
	r.propose(0, profileInput{vm: 0, id: "first", ifRevision: r.created.revision, value: 7})
	r.read(1, 0)
	if r.check() != porcupine.Ok {
		t.Fatal("the history before the fault is not legal")
	}
	r.stores[0].current.Store(old)
	r.read(1, 0)
	if r.check() != porcupine.Illegal {
		t.Fatal("the checker took a read that went back")
	}
}
