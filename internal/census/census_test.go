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

// tableClockZero is where the tables' own clock counts from.
var tableClockZero = time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC)

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
			row.ReadAt = time.Since(tableClockZero)
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
			if c.IsAmongLargest(3) {
				among++
			}
			if follows := c.isAmong(c.Followers()[c.own.DataCentre]); c.FollowsFeed() != follows {
				t.Errorf("vm %d follows the feed: %t, by the list %t", i, c.FollowsFeed(), follows)
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
		vms, stop := startFleet(t, table, size, together)
		defer stop()
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
	})
}

// startFleet starts so many VMs one after the other within a time; stop ends them.
func startFleet(t *testing.T, table *fakeTable, size int, together time.Duration) (vms []*Census, stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range size {
		c := New(table, VM{Name: fmt.Sprint("vm-", i), Address: fmt.Sprint("address-", i)}, func([]VM) {}, zap.NewNop())
		vms = append(vms, c)
		running.Go(func() {
			time.Sleep(time.Duration(i) * together / time.Duration(size))
			c.Run(ctx)
		})
	}
	return vms, func() {
		cancel()
		running.Wait()
	}
}

// 195 VMs lose power and start again together. Their rows stand in the store from before, so each
// VM counts all others after one reading, and the store, which is asked for much else at that
// moment, is asked for nothing more. The next write comes before the others stop counting the VM.
func TestFleetThatStartsAgainReadsTheListOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			size     = 195
			together = size * time.Millisecond
		)
		table := &fakeTable{rows: map[string]platform.Row{}}
		_, stop := startFleet(t, table, size, together)
		time.Sleep(50 * time.Second)
		stop()
		before := table.writes + table.scans
		vms, stop := startFleet(t, table, size, together)
		defer stop()
		time.Sleep(10 * time.Second)
		// The one that wrote first had no row from which to learn the table's clock.
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

// A row that nobody rewrote for longer than a VM pauses may be one that the others don't count
// any more, and one of another address tells them a wrong one: both are written at once.
func TestRowThatDoesNotStandIsWrittenAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		address string
		away    time.Duration
		writes  int
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
				again := New(table, VM{Name: "vm", Address: c.address}, func([]VM) {}, zap.NewNop())
				for _, vm := range []*Census{other, first} {
					if err := vm.round(t.Context()); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(c.away)
				before := table.writes
				if err := again.round(t.Context()); err != nil {
					t.Fatal(err)
				}
				if n := table.writes - before; n != c.writes {
					t.Errorf("%d writes, want %d", n, c.writes)
				}
			})
		})
	}
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
		if c.Loaded() {
			t.Error("it knows a list that it never read")
		}
		table.mu.Lock()
		table.away = false
		table.mu.Unlock()
		time.Sleep(2 * firstInterval)
		if !c.Loaded() || table.writes != 1 {
			t.Errorf("known %t, %d writes", c.Loaded(), table.writes)
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

// Guards against a new VM that acts as one of the fleet while the others do not count it yet.
func TestNewVMWaitsUntilTheOthersCountIt(t *testing.T) {
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
			t.Error("counted, and the other VM does not know it")
		}
		again := start("vm-1")
		synctest.Wait()
		time.Sleep(time.Second)
		if !again.Counted(time.Now()) {
			t.Error("not counted although an earlier process of the VM was")
		}
		time.Sleep(time.Minute)
	})
}
