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

// fakeReplicas answers polls with the same load for all replicas but one that is silent.
type fakeReplicas struct {
	mu     sync.Mutex // guards the fields below
	silent string
	polls  int
}

func (f *fakeReplicas) Load(_ context.Context, address string) (layers.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls++
	if address == f.silent {
		return layers.Load{}, errors.New("no answer")
	}
	return layers.Load{Used: 10, Total: 100, Pace: 1}, nil
}

// onePeer exchanges snapshots with one other VM.
type onePeer struct{ cache *Cache }

func (p onePeer) Offer(_ context.Context, _ string, change platform.TableChange, age time.Duration) {
	p.cache.Take(change, age)
}

func (p onePeer) FetchOne(_ context.Context, table string, after platform.Version) (platform.TableChange, time.Duration, bool) {
	return p.cache.Since(table, after.Revision)
}

// recordingCache is a VM's cache that records the loads last passed to onChange.
type recordingCache struct {
	cache *Cache
	mu    sync.Mutex // guards the field below
	loads map[incarnation.Key]layers.Load
}

func newRecordingCache() *recordingCache {
	r := &recordingCache{}
	r.cache = NewCache("", func(loads map[incarnation.Key]layers.Load) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.loads = loads
	}, zap.NewNop())
	return r
}

// oneDataCentre lists the data centre of the replicas that name none.
func oneDataCentre() []string { return []string{""} }

// inOneDataCentre returns the loads as those of oneDataCentre.
func inOneDataCentre(loads map[incarnation.Key]layers.Load) map[string]map[incarnation.Key]layers.Load {
	return map[string]map[incarnation.Key]layers.Load{"": loads}
}

// keyOf returns the incarnation of a replica that reports no start.
func keyOf(id string) incarnation.Key { return incarnation.Key{ID: id} }

// loadOf returns the last load of the replica with an id.
func (r *recordingCache) loadOf(id string) (layers.Load, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	load, ok := r.loads[keyOf(id)]
	return load, ok
}

// The holder polls the replicas, and another VM gets their loads from it without polling. A
// replica that does not answer twice is down in both snapshots.
func TestLoadsReachOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := &fakeReplicas{silent: "2"}
		list := func() []layers.Replica {
			return []layers.Replica{{ID: "1", Address: "1"}, {ID: "2", Address: "2"}}
		}
		holder, other := newRecordingCache(), newRecordingCache()
		idle := &fakeReplicas{}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() {
			NewCollector(Options{Cache: holder.cache, Client: replicas, Peers: onePeer{other.cache}, ListReplicas: list, DataCentres: oneDataCentre, Logger: zap.NewNop(),
				Tenure: func() (uint64, bool) { return 3, true }}).Run(ctx)
		})
		running.Go(func() {
			NewCollector(Options{Cache: other.cache, Client: idle, Peers: onePeer{holder.cache}, ListReplicas: list, DataCentres: oneDataCentre, Logger: zap.NewNop(),
				Tenure: func() (uint64, bool) { return 0, false }}).Run(ctx)
		})
		time.Sleep(5 * time.Second)
		for name, vm := range map[string]*recordingCache{"holder": holder, "other": other} {
			if load, ok := vm.loadOf("1"); !ok || load.Used != 10 || load.At.IsZero() {
				t.Errorf("%s: %+v, %v", name, load, ok)
			}
			if load, ok := vm.loadOf("2"); !ok || !load.Down {
				t.Errorf("%s: the silent replica is %+v, %v", name, load, ok)
			}
		}
		if idle.polls != 0 {
			t.Errorf("the VM without the duty polled %d times", idle.polls)
		}
		cancel()
		running.Wait()
	})
}

// In a large fleet VMs ask only a few of the others, and the holder of the duty need not be
// one of these. It must offer its snapshots to one that is asked: otherwise the VMs do not
// know the replicas' loads and refuse requests or send them to other data centres.
func TestBoardOfAHolderThatNobodyAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := func() []layers.Replica { return []layers.Replica{{ID: "1", Address: "1"}} }
		holder, asked, other := newRecordingCache(), newRecordingCache(), newRecordingCache()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		run := func(vm *recordingCache, peer *Cache, holds bool) {
			running.Go(func() {
				NewCollector(Options{Cache: vm.cache, Client: &fakeReplicas{}, Peers: onePeer{peer}, ListReplicas: list, DataCentres: oneDataCentre, Logger: zap.NewNop(),
					Tenure: func() (uint64, bool) { return 3, holds }}).Run(ctx)
			})
		}
		run(holder, asked.cache, true)
		run(asked, other.cache, false)
		run(other, asked.cache, false)
		const late = 30 * time.Second
		time.Sleep(late)
		if load, ok := other.loadOf("1"); !ok || time.Since(load.At) > 3*interval {
			t.Errorf("load %+v, %v, %s old", load, ok, time.Since(load.At))
		}
		cancel()
		running.Wait()
	})
}

// A dead card is replaced long before discovery removes it, because it does not answer
// polls. To a VM that is cut off from many cards they all look dead; it must not make the
// other cards take over their layers.
func TestDownAreFewOrNone(t *testing.T) {
	vm := newRecordingCache()
	snapshot := func(down int) map[incarnation.Key]layers.Load {
		loads := map[incarnation.Key]layers.Load{}
		for i := range 10 {
			loads[keyOf(strconv.Itoa(i))] = layers.Load{Down: i < down}
		}
		return loads
	}
	vm.cache.publish(1, inOneDataCentre(snapshot(2)))
	if down := vm.cache.Down(); len(down) != 2 || !down[keyOf("0")] || !down[keyOf("1")] {
		t.Errorf("down: %v", down)
	}
	vm.cache.publish(2, inOneDataCentre(snapshot(5)))
	if down := vm.cache.Down(); len(down) != 0 {
		t.Errorf("down although half did not answer: %v", down)
	}
}

// A holder that was frozen resumes and publishes a snapshot. It belongs to an older tenure and
// must not replace the snapshot of the holder's successor.
func TestOlderTenureDoesNotReplaceNewer(t *testing.T) {
	vm := newRecordingCache()
	vm.cache.publish(5<<tenureShift|1, inOneDataCentre(map[incarnation.Key]layers.Load{keyOf("1"): {Used: 50}}))
	vm.cache.publish(4<<tenureShift|9999, inOneDataCentre(map[incarnation.Key]layers.Load{keyOf("1"): {Used: 1}}))
	if load, _ := vm.loadOf("1"); load.Used != 50 {
		t.Errorf("%+v", load)
	}
}
