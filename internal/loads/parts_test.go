package loads

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
)

// partFleet is a holder, a follower that peers ask, and a plain VM that copies from it, in a fleet
// with replicas in five data centres.
type partFleet struct {
	holder, follower, plain *Cache
	// read is the number of loads that the plain VM was passed on last.
	mu   sync.Mutex // guards the field below
	read map[incarnation.Key]layers.Load
}

func newPartFleet() *partFleet {
	f := &partFleet{read: map[incarnation.Key]layers.Load{}}
	ignore := func(map[incarnation.Key]layers.Load) {}
	f.holder, f.follower = NewCache("dc0", ignore, zap.NewNop()), NewCache("dc1", ignore, zap.NewNop())
	f.plain = NewCache("dc1", func(loads map[incarnation.Key]layers.Load) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for k, load := range loads {
			f.read[k] = load
		}
	}, zap.NewNop())
	return f
}

func (f *partFleet) readCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.read)
}

const partDataCentres = 5

func dataCentresOfParts() []string { return []string{"dc0", "dc1", "dc2", "dc3", "dc4"} }

// replicasOfParts returns replicas spread over the data centres.
func replicasOfParts(n int) []layers.Replica {
	var replicas []layers.Replica
	for i := range n {
		replicas = append(replicas, layers.Replica{ID: fmt.Sprint(i), Address: fmt.Sprint(i), DataCentre: fmt.Sprint("dc", i%partDataCentres)})
	}
	return replicas
}

// Guards against a snapshot of the whole fleet for each VM each second: 230 KB of 2,920 replicas,
// which took 7 ms of a core of 985 VMs to decode. A VM gets the part of its data centre, and the
// others only once a request has found no room there.
func TestVMReadsTheLoadsOfItsOwnDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const replicas = 600
		f := newPartFleet()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		start := func(cache *Cache, peer *Cache, holds bool) {
			running.Go(func() {
				NewCollector(Options{
					Cache: cache, Client: silentReplicas{}, Peers: onePeer{peer}, Logger: zap.NewNop(), DataCentres: dataCentresOfParts,
					ListReplicas: func() []layers.Replica { return replicasOfParts(replicas) },
					Tenure:       func() (uint64, bool) { return 3, holds },
				}).Run(ctx)
			})
		}
		start(f.holder, f.follower, true)
		start(f.follower, f.holder, false)
		start(f.plain, f.follower, false)
		time.Sleep(10 * time.Second)
		if n := f.readCount(); n != replicas/partDataCentres {
			t.Errorf("the loads of %d replicas were read", n)
		}
		if age := f.plain.Age(time.Now()); age > 2*interval+maxRoundTime {
			t.Errorf("the snapshot is %s old", age)
		}
		f.plain.WantAll()
		time.Sleep(2 * interval)
		if n := f.readCount(); n != replicas {
			t.Errorf("the loads of %d replicas were read after those of all were wanted", n)
		}
		cancel()
		running.Wait()
	})
}

// What a plain VM gets each second must not grow with the whole fleet, and of its own data centre
// it must fit into what a VM may spend on control.
func TestPartIsSmall(t *testing.T) {
	const maxBytes = 18 << 10
	random := rand.New(rand.NewPCG(1, 2))
	for _, dataCentres := range []int{5, 10} {
		loads := map[string]map[incarnation.Key]layers.Load{}
		for d := range dataCentres {
			part := map[incarnation.Key]layers.Load{}
			for i := range 584 {
				part[incarnation.Key{ID: fmt.Sprintf("i-%010x", random.Uint64N(1<<40)), Born: 1_790_469_878_000 + random.Int64N(3_000)}] = layers.Load{
					Used: float64(random.IntN(300) * 934 * 7), Total: 5.1e6, Pace: 1, Streams: random.IntN(3), Sequence: 1, Held: config.LayerRange{From: i % 70, To: i%70 + 7},
				}
			}
			loads[fmt.Sprint("dc", d)] = part
		}
		cache := NewCache("dc0", func(map[incarnation.Key]layers.Load) {}, zap.NewNop())
		cache.publish(1, loads)
		change, _, _ := cache.Since(partTable("dc0"), 0)
		var packed bytes.Buffer
		w := gzip.NewWriter(&packed)
		for _, row := range change.Written {
			if _, err := w.Write(row); err != nil {
				t.Fatal(err)
			}
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		if packed.Len() > maxBytes {
			t.Errorf("%d bytes for one VM a second in %d data centres", packed.Len(), dataCentres)
		}
	}
}
