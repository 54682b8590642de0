package census

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
)

// fakeTable is a table without faults.
type fakeTable struct {
	mu       sync.Mutex // guards the fields below
	rows     map[string]platform.Row
	revision uint64
	writes   int
	scans    int
	// away says that the table answers nobody.
	away bool
}

func (f *fakeTable) Commit(_ context.Context, txn platform.Txn) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away {
		return platform.ErrUnavailable
	}
	for _, c := range txn.Conditions {
		if f.rows[c.Key].Revision != c.Revision {
			return &platform.RefusedError{}
		}
	}
	f.revision++
	f.writes++
	for _, w := range txn.Writes {
		f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: f.revision, TxnID: txn.ID}
	}
	return nil
}

func (f *fakeTable) Get(context.Context, ...string) ([]platform.Row, error) { return nil, nil }

func (f *fakeTable) Scan(_ context.Context, from, to string, _ int) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scans++
	if f.away {
		return nil, platform.ErrUnavailable
	}
	var rows []platform.Row
	for key, row := range f.rows {
		if key >= from && key < to {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Six VMs start together and count each other. One dies; after some rounds without its
// row changing it is not counted any more, and the others agree on who is first.
func TestVMsCountEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &fakeTable{rows: map[string]platform.Row{}}
		var running sync.WaitGroup
		var vms []*Census
		var kills []context.CancelFunc
		for i := range 6 {
			ctx, kill := context.WithCancel(t.Context())
			c := New(table, VM{Name: fmt.Sprint("vm-", i), Address: fmt.Sprint("address-", i)}, func([]VM) {}, zap.NewNop())
			vms, kills = append(vms, c), append(kills, kill)
			running.Go(func() { c.Run(ctx) })
		}
		time.Sleep(10 * time.Second)
		for i, c := range vms {
			if n := len(c.VMs()); n != 6 {
				t.Errorf("vm %d counts %d", i, n)
			}
		}
		kills[2]()
		time.Sleep(2 * time.Minute)
		among := 0
		for i, c := range vms {
			if i == 2 {
				continue
			}
			if n := len(c.VMs()); n != 5 {
				t.Errorf("vm %d counts %d after a death", i, n)
			}
			if c.Among(3) {
				among++
			}
			if follows := c.isAmong(c.Followers()[c.own.DataCentre]); c.Follows() != follows {
				t.Errorf("vm %d follows the feed: %t, by the list %t", i, c.Follows(), follows)
			}
		}
		if among != 3 {
			t.Errorf("%d VMs hold themselves for the first 3", among)
		}
		for _, kill := range kills {
			kill()
		}
		running.Wait()
	})
}

// In a fleet of any size some VMs of each data centre follow the store, three at least, and
// no more than sixteen VMs learn from one of them: the links of small VMs carry that.
func TestFollowersGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{1, 6, 90, 320, 1000} {
		var all []VM
		counts := map[string]int{}
		for i := range size {
			vm := VM{Name: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("dc", i%3)}
			all = append(all, vm)
			counts[vm.DataCentre]++
		}
		followers := FollowersOf(all)
		for dataCentre, vms := range counts {
			n := len(followers[dataCentre])
			if n < min(vms, leastFollowers) || vms > n*vmsPerFollower {
				t.Errorf("%d followers for the %d VMs of a data centre", n, vms)
			}
		}
	}
}

// All power was lost, and 195 VMs start within 300 ms of each other. The store, which all of
// them need at that moment, is asked for the list of VMs twice by each and written to once;
// each VM then counts all others, so that no share of memory or retries is too large.
func TestFleetThatStartsTogetherAsksLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			size     = 195
			together = 300 * time.Millisecond
			// mostCalls is one write and two readings a VM.
			mostCalls = 3 * size
		)
		table := &fakeTable{rows: map[string]platform.Row{}}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var vms []*Census
		for i := range size {
			c := New(table, VM{Name: fmt.Sprint("vm-", i), Address: fmt.Sprint("address-", i)}, func([]VM) {}, zap.NewNop())
			vms = append(vms, c)
			running.Go(func() {
				time.Sleep(time.Duration(i) * together / size)
				c.Run(ctx)
			})
		}
		time.Sleep(2 * firstInterval)
		for i, c := range vms {
			if n := len(c.VMs()); n != size {
				t.Errorf("vm %d counts %d", i, n)
			}
		}
		time.Sleep(30 * time.Second)
		if calls := table.writes + table.scans; calls > mostCalls {
			t.Errorf("%d calls, %d of them writes", calls, table.writes)
		}
		cancel()
		running.Wait()
	})
}

// A VM starts while the store is away: it counts itself alone, and knows that it does not
// know. Once the store is back the VM is counted within the pause of a first round, not after
// that of a settled fleet.
func TestVMThatStartsWithoutTheStoreIsCountedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &fakeTable{rows: map[string]platform.Row{}, away: true}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		c := New(table, VM{Name: "vm", Address: "address"}, func([]VM) {}, zap.NewNop())
		running.Go(func() { c.Run(ctx) })
		time.Sleep(9 * time.Second)
		if c.Known() {
			t.Error("it knows a list that it never read")
		}
		table.mu.Lock()
		table.away = false
		table.mu.Unlock()
		time.Sleep(2 * firstInterval)
		if !c.Known() || table.writes != 1 {
			t.Errorf("known %t, %d writes", c.Known(), table.writes)
		}
		cancel()
		running.Wait()
	})
}

// Most VMs of a large fleet have a fifth of a core, a few of each data centre have four times
// as much. The large ones follow the feed and come first, also where some VMs do not say what
// they have; among equals the hash decides, the same on each VM.
func TestLargestVMsServeTheOthers(t *testing.T) {
	var all []VM
	large := map[string]bool{}
	for i := range 195 {
		vm := VM{Name: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("dc", i%5), Cores: 0.192}
		switch {
		case i >= 90 && i < 90+5*leastFollowers:
			vm.Cores, large[vm.Name] = 0.8, true
		case i%20 == 0:
			vm.Cores = 0
		}
		all = append(all, vm)
	}
	n := 0
	for _, followers := range FollowersOf(all) {
		for _, vm := range followers {
			n++
			if !large[vm.Name] {
				t.Errorf("%+v follows the feed", vm)
			}
		}
	}
	if n != len(large) {
		t.Errorf("%d VMs follow the feed", n)
	}
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	if !slices.Equal(inOrder(all), inOrder(reversed)) {
		t.Error("the order depends on that of the list")
	}
}
