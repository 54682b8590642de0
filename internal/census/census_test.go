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

// tableClockZero is the zero time of the tables' clock.
var tableClockZero = time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeTable is a table in memory. It answers at once unless it is unavailable.
type fakeTable struct {
	mu       sync.Mutex // guards the fields below
	rows     map[string]platform.Row
	revision uint64
	writes   int
	scans    int
	// unavailable makes all calls fail.
	unavailable bool
}

func (f *fakeTable) Commit(_ context.Context, txn platform.Txn) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
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
	if f.unavailable {
		return nil, platform.ErrUnavailable
	}
	var rows []platform.Row
	for key, row := range f.rows {
		if key >= from && key < to {
			row.ReadAt = time.Since(tableClockZero)
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Six VMs start together and count each other. One dies; after some rounds in which its row
// does not change, it is no longer counted, and the others agree on the largest VMs.
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
		inLargest := 0
		for i, c := range vms {
			if i == 2 {
				continue
			}
			if n := len(c.VMs()); n != 5 {
				t.Errorf("vm %d counts %d after a death", i, n)
			}
			if c.IsAmongLargest(3) {
				inLargest++
			}
			if listed := c.includesSelf(c.Followers()[c.own.DataCentre]); c.FollowsFeed() != listed {
				t.Errorf("vm %d follows the feed: %t, by the list %t", i, c.FollowsFeed(), listed)
			}
		}
		if inLargest != 3 {
			t.Errorf("%d VMs report that they are among the 3 largest", inLargest)
		}
		for _, kill := range kills {
			kill()
		}
		running.Wait()
	})
}

// In a fleet of any size at least three VMs of each data centre follow the store's feed, or all
// if there are fewer. At most sixteen VMs get their changes from one of them, which the links of
// small VMs can carry.
func TestNumberOfFollowersGrowsWithTheFleet(t *testing.T) {
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
			if n < min(vms, minFollowers) || vms > n*maxVMsPerFollower {
				t.Errorf("%d followers for the %d VMs of a data centre", n, vms)
			}
		}
	}
}

// 195 VMs start within 300 ms of each other after a loss of all power. Guards against load on
// the store, which all of them need at that moment: each VM reads the list twice and writes once.
// Each VM must then count all others, or its share of memory or retries would be too large.
func TestFleetThatStartsTogetherAsksLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			size        = 195
			startWithin = 300 * time.Millisecond
			// maxCalls allows each VM one write and two reads.
			maxCalls = 3 * size
		)
		table := &fakeTable{rows: map[string]platform.Row{}}
		vms, stop := startFleet(t, table, size, startWithin)
		defer stop()
		time.Sleep(2 * startupInterval)
		for i, c := range vms {
			if n := len(c.VMs()); n != size {
				t.Errorf("vm %d counts %d", i, n)
			}
		}
		time.Sleep(30 * time.Second)
		if calls := table.writes + table.scans; calls > maxCalls {
			t.Errorf("%d calls, %d of them writes", calls, table.writes)
		}
	})
}

// startFleet starts size VMs one after the other, evenly spread over the given time. The returned
// function stops them.
func startFleet(t *testing.T, table *fakeTable, size int, startWithin time.Duration) (vms []*Census, stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range size {
		c := New(table, VM{Name: fmt.Sprint("vm-", i), Address: fmt.Sprint("address-", i)}, func([]VM) {}, zap.NewNop())
		vms = append(vms, c)
		running.Go(func() {
			time.Sleep(time.Duration(i) * startWithin / time.Duration(size))
			c.Run(ctx)
		})
	}
	return vms, func() {
		cancel()
		running.Wait()
	}
}

// 195 VMs lose power and restart together. Their rows are still in the table, so each VM counts
// all others after one read. Guards against further calls, as the store is under load at that
// moment, and against a VM whose next write comes after the others have stopped counting it.
func TestRestartedFleetReadsTheListOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			size        = 195
			startWithin = size * time.Millisecond
		)
		table := &fakeTable{rows: map[string]platform.Row{}}
		_, stop := startFleet(t, table, size, startWithin)
		time.Sleep(50 * time.Second)
		stop()
		before := table.writes + table.scans
		vms, stop := startFleet(t, table, size, startWithin)
		defer stop()
		time.Sleep(10 * time.Second)
		// The VM that wrote first had no row from which to read the table's clock.
		const withoutClock = 1
		if calls := table.writes + table.scans - before; calls > size+2*withoutClock {
			t.Errorf("%d calls of %d VMs", calls, size)
		}
		for range 300 {
			time.Sleep(time.Second)
			for i, c := range vms {
				if n := len(c.VMs()); n != size {
					t.Fatalf("vm %d counts %d", i, n)
				}
			}
		}
	})
}

// The others may no longer count a VM whose row is older than an interval, and a row with
// another address gives them a wrong one: a starting VM rewrites both at once.
func TestOutdatedRowIsRewrittenAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		address  string
		downtime time.Duration
		writes   int
	}{
		"a moment ago, the same address":    {"address", time.Second, 0},
		"longer than a pause ago":           {"address", time.Minute, 1},
		"a moment ago, but another address": {"elsewhere", time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &fakeTable{rows: map[string]platform.Row{}}
				other := New(table, VM{Name: "other", Address: "other"}, func([]VM) {}, zap.NewNop())
				first := New(table, VM{Name: "vm", Address: "address"}, func([]VM) {}, zap.NewNop())
				restarted := New(table, VM{Name: "vm", Address: c.address}, func([]VM) {}, zap.NewNop())
				for _, vm := range []*Census{other, first} {
					if err := vm.round(t.Context()); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(c.downtime)
				before := table.writes
				if err := restarted.round(t.Context()); err != nil {
					t.Fatal(err)
				}
				if n := table.writes - before; n != c.writes {
					t.Errorf("%d writes, want %d", n, c.writes)
				}
			})
		})
	}
}

// A VM starts while the store is unavailable. It counts only itself and reports that it has not
// read the list. Once the store is available again, the VM is counted within two startup
// intervals, not after the longer interval of a registered VM.
func TestVMThatStartsWithoutTheStoreIsCountedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &fakeTable{rows: map[string]platform.Row{}, unavailable: true}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		c := New(table, VM{Name: "vm", Address: "address"}, func([]VM) {}, zap.NewNop())
		running.Go(func() { c.Run(ctx) })
		time.Sleep(9 * time.Second)
		if c.Loaded() {
			t.Error("reports a list as read that was never read")
		}
		table.mu.Lock()
		table.unavailable = false
		table.mu.Unlock()
		time.Sleep(2 * startupInterval)
		if !c.Loaded() || table.writes != 1 {
			t.Errorf("list read %t, %d writes", c.Loaded(), table.writes)
		}
		cancel()
		running.Wait()
	})
}

// Most VMs of a large fleet have a fifth of a core, and a few in each data centre have four times
// as much. The large ones follow the feed, also if the size of some VMs is unknown. The hash
// decides among VMs of equal size, so that all VMs get the same order.
func TestLargestVMsAreFollowers(t *testing.T) {
	var all []VM
	large := map[string]bool{}
	for i := range 195 {
		vm := VM{Name: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("dc", i%5), Cores: 0.192}
		switch {
		case i >= 90 && i < 90+5*minFollowers:
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
	if !slices.Equal(sortedBySize(all), sortedBySize(reversed)) {
		t.Error("the order depends on that of the list")
	}
}

// Guards against a new VM that takes its share of a budget before the others count it.
func TestNewVMIsCountedOnceTheOthersListIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &fakeTable{rows: map[string]platform.Row{}}
		start := func(name string) *Census {
			c := New(table, VM{Name: name, Address: name}, func([]VM) {}, zap.NewNop())
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			t.Cleanup(cancel)
			go c.Run(ctx)
			return c
		}
		first := start("vm-0")
		time.Sleep(30 * time.Second)
		added := start("vm-1")
		for ; !added.Counted(time.Now()); time.Sleep(100 * time.Millisecond) {
		}
		if len(first.VMs()) != 2 {
			t.Error("reported as counted before the other VM counts it")
		}
		restarted := start("vm-1")
		synctest.Wait()
		time.Sleep(time.Second)
		if !restarted.Counted(time.Now()) {
			t.Error("not counted although an earlier process of the VM was")
		}
		time.Sleep(time.Minute)
	})
}
