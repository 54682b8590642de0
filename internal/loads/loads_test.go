package loads

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/platform"
)

// fakeReplicas report their loads; one may be silent.
type fakeReplicas struct {
	mu     sync.Mutex // guards the fields below
	silent string
	asked  int
}

func (f *fakeReplicas) Load(_ context.Context, address string) (layers.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	if address == f.silent {
		return layers.Load{}, errors.New("no answer")
	}
	return layers.Load{Used: 10, Total: 100, Pace: 1}, nil
}

// onePeer exchanges boards with one other VM.
type onePeer struct{ board *Cache }

func (p onePeer) Offer(_ context.Context, _ string, change platform.TableChange, age time.Duration) {
	p.board.Take(change, age)
}

func (p onePeer) FetchOne(_ context.Context, _ string, after uint64) (platform.TableChange, time.Duration, bool) {
	return p.board.Since(after)
}

// kept is a VM's board with the loads that it last handed on.
type kept struct {
	board *Cache
	mu    sync.Mutex // guards the field below
	loads map[incarnation.Key]layers.Load
}

func newKept() *kept {
	k := &kept{}
	k.board = NewCache(func(loads map[incarnation.Key]layers.Load) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.loads = loads
	}, zap.NewNop())
	return k
}

// keyOf is the incarnation of a replica that gives no start.
func keyOf(id string) incarnation.Key { return incarnation.Key{ID: id} }

func (k *kept) of(id string) (layers.Load, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	load, ok := k.loads[keyOf(id)]
	return load, ok
}

// The holder asks the replicas, and another VM has their loads from it without asking
// any. A replica that does not answer twice is shown as down to both.
func TestBoardReachesTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := &fakeReplicas{silent: "2"}
		listed := func() []layers.Replica {
			return []layers.Replica{{ID: "1", Address: "1"}, {ID: "2", Address: "2"}}
		}
		holder, other := newKept(), newKept()
		idle := &fakeReplicas{}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() {
			NewCollector(Options{Cache: holder.board, Client: replicas, Peers: onePeer{other.board}, ListReplicas: listed, Logger: zap.NewNop(),
				Tenure: func() (uint64, bool) { return 3, true }}).Run(ctx)
		})
		running.Go(func() {
			NewCollector(Options{Cache: other.board, Client: idle, Peers: onePeer{holder.board}, ListReplicas: listed, Logger: zap.NewNop(),
				Tenure: func() (uint64, bool) { return 0, false }}).Run(ctx)
		})
		time.Sleep(5 * time.Second)
		for name, vm := range map[string]*kept{"holder": holder, "other": other} {
			if load, ok := vm.of("1"); !ok || load.Used != 10 || load.At.IsZero() {
				t.Errorf("%s: %+v, %v", name, load, ok)
			}
			if load, ok := vm.of("2"); !ok || !load.Down {
				t.Errorf("%s: the silent replica is %+v, %v", name, load, ok)
			}
		}
		if idle.asked != 0 {
			t.Errorf("the VM without the duty asked %d times", idle.asked)
		}
		cancel()
		running.Wait()
	})
}

// Callers of a large fleet are refused or sent far away when its VMs don't know the
// replicas' loads. The VMs ask a few of them only, and the holder of the duty, which is
// not among those, is asked by nobody. It offers its boards to one that is asked.
func TestBoardOfAHolderThatNobodyAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listed := func() []layers.Replica { return []layers.Replica{{ID: "1", Address: "1"}} }
		holder, asked, other := newKept(), newKept(), newKept()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		run := func(vm *kept, peer *Cache, holds bool) {
			running.Go(func() {
				NewCollector(Options{Cache: vm.board, Client: &fakeReplicas{}, Peers: onePeer{peer}, ListReplicas: listed, Logger: zap.NewNop(),
					Tenure: func() (uint64, bool) { return 3, holds }}).Run(ctx)
			})
		}
		run(holder, asked.board, true)
		run(asked, other.board, false)
		run(other, asked.board, false)
		const late = 30 * time.Second
		time.Sleep(late)
		if load, ok := other.of("1"); !ok || time.Since(load.At) > 3*interval {
			t.Errorf("%+v, %v, of %s ago", load, ok, time.Since(load.At))
		}
		cancel()
		running.Wait()
	})
}

// A dead card is replaced long before discovery drops it, as it answers no question. A
// VM that is cut off from many cards sees them all as dead; it must not have the others
// take over their layers.
func TestDownAreFewOrNone(t *testing.T) {
	vm := newKept()
	board := func(down int) map[incarnation.Key]layers.Load {
		loads := map[incarnation.Key]layers.Load{}
		for i := range 10 {
			loads[keyOf(strconv.Itoa(i))] = layers.Load{Down: i < down}
		}
		return loads
	}
	vm.board.publish(1, board(2))
	if down := vm.board.Down(); len(down) != 2 || !down[keyOf("0")] || !down[keyOf("1")] {
		t.Errorf("down: %v", down)
	}
	vm.board.publish(2, board(5))
	if down := vm.board.Down(); len(down) != 0 {
		t.Errorf("down, though half did not answer: %v", down)
	}
}

// A holder that was frozen wakes and publishes. Its board is of an older tenure and must
// not replace that of its successor.
func TestOlderTenureDoesNotReplaceANewer(t *testing.T) {
	vm := newKept()
	vm.board.publish(5<<tenureShift|1, map[incarnation.Key]layers.Load{keyOf("1"): {Used: 50}})
	vm.board.publish(4<<tenureShift|9999, map[incarnation.Key]layers.Load{keyOf("1"): {Used: 1}})
	if load, _ := vm.of("1"); load.Used != 50 {
		t.Errorf("%+v", load)
	}
}
