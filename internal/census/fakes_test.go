package census

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
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
	// writes, refused, scans and gets count the calls, one for each page of a scan. rowsRead
	// counts the rows in the answers.
	writes, refused, scans, gets, rowsRead int
	// delay is the time that a call takes before it has an effect.
	delay time.Duration
	// writesPerSecond limits the writes, 0 for no limit; second is the present one and written
	// counts its writes.
	writesPerSecond, written int
	second                   int64
	// unavailable makes all calls fail.
	unavailable bool
	// era is the number of times that the table came back from a copy.
	era uint64
}

// setUnavailable makes all calls fail, or no longer.
func (f *fakeTable) setUnavailable(unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable = unavailable
}

// tableCopy is what a table held at one moment.
type tableCopy struct {
	rows     map[string]platform.Row
	revision uint64
}

func (f *fakeTable) copy() tableCopy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return tableCopy{rows: maps.Clone(f.rows), revision: f.revision}
}

// restore puts a copy in place of what the table holds.
func (f *fakeTable) restore(from tableCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rows, f.revision = maps.Clone(from.rows), from.revision
	f.era++
}

func (f *fakeTable) Commit(_ context.Context, txn platform.Txn) error {
	time.Sleep(f.delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable || !f.mayWrite() {
		return platform.ErrUnavailable
	}
	for _, c := range txn.Conditions {
		if f.rows[c.Key].Revision != c.Revision {
			f.refused++
			return &platform.RefusedError{}
		}
	}
	f.revision++
	f.writes++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: f.revision, TxnID: txn.ID}
	}
	return nil
}

// mayWrite counts a write and reports whether it is within the limit. f.mu is held.
func (f *fakeTable) mayWrite() bool {
	if now := time.Now().Unix(); now != f.second {
		f.second, f.written = now, 0
	}
	if f.written++; f.writesPerSecond > 0 && f.written > f.writesPerSecond {
		f.refused++
		return false
	}
	return true
}

func (f *fakeTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gets++
	if f.unavailable {
		return nil, platform.ErrUnavailable
	}
	rows := make([]platform.Row, len(keys))
	for i, key := range keys {
		rows[i] = f.rows[key]
		rows[i].Key, rows[i].ReadAt, rows[i].Era = key, time.Since(tableClockZero), f.era
	}
	f.rowsRead += len(rows)
	return rows, nil
}

// totals returns the number of calls that the table has got and of the rows in its answers.
func (f *fakeTable) totals() (calls, rowsRead int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writes + f.refused + f.scans + f.gets, f.rowsRead
}

// pageRows is the number of rows that the store returns in one answer at most.
const pageRows = 500

func (f *fakeTable) Scan(_ context.Context, from, to string, limit int) ([]platform.Row, error) {
	time.Sleep(f.delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scans++
	if f.unavailable {
		return nil, platform.ErrUnavailable
	}
	var rows []platform.Row
	for key, row := range f.rows {
		if key >= from && key < to {
			row.ReadAt, row.Era = time.Since(tableClockZero), f.era
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	rows = rows[:min(limit, len(rows))]
	f.scans += max(0, len(rows)-1) / pageRows
	f.rowsRead += len(rows)
	return rows, nil
}

// fakeNetwork lets VMs copy the list from each other.
type fakeNetwork struct {
	// firstStart says that the VMs start together for the first time.
	firstStart bool

	mu  sync.Mutex // guards the field below
	vms map[string]*Census
}

func newFakeNetwork() *fakeNetwork { return &fakeNetwork{vms: map[string]*Census{}} }

func (n *fakeNetwork) vm(name string) *Census {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vms[name]
}

// vmAt returns the VM with an address, nil if it is not reachable.
func (n *fakeNetwork) vmAt(address string) *Census {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, vm := range n.vms {
		if vm.own.Address == address {
			return vm
		}
	}
	return nil
}

// add makes a VM reachable and returns the peers of that VM.
func (n *fakeNetwork) add(c *Census) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vms[c.own.Name] = c
}

// remove makes a VM unreachable.
func (n *fakeNetwork) remove(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.vms, name)
}

// fakePeers are the peers of one VM.
type fakePeers struct {
	network *fakeNetwork
	own     VM
	mu      sync.Mutex // guards the field below
	asked   []VM
}

// setVMs sets the peers as package entry does: the followers of the VM's own data centre, or those
// that follow the feed if others ask this VM.
func (p *fakePeers) setVMs(vms []VM) {
	asked := FollowersOf(vms)[p.own.DataCentre]
	if slices.Contains(asked, vms[0]) {
		asked = FeedFollowersOf(vms)[p.own.DataCentre]
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = asked
}

// FetchOne asks up to three peers, as package mirror does.
func (p *fakePeers) FetchOne(_ context.Context, _ string, after platform.Version) (platform.TableChange, time.Duration, bool) {
	p.mu.Lock()
	asked := p.asked
	p.mu.Unlock()
	for _, i := range rand.Perm(len(asked)) {
		peer := p.network.vm(asked[i].Name)
		if peer == nil || asked[i].Name == p.own.Name {
			continue
		}
		if change, age, ok := peer.Since(after); ok {
			return change, age, true
		}
	}
	return platform.TableChange{}, 0, false
}

// FetchFrom asks the peer at an address.
func (p *fakePeers) FetchFrom(_ context.Context, address, _ string, after platform.Version) (platform.TableChange, time.Duration, bool) {
	if peer := p.network.vmAt(address); peer != nil {
		return peer.Since(after)
	}
	return platform.TableChange{}, 0, false
}

// newCensus returns the census of a VM in a network, or of one without peers if that is nil.
func newCensus(table platform.Table, network *fakeNetwork, own VM) *Census {
	o := Options{
		Table: table, Own: own, OnChange: func([]VM) {}, Logger: zap.NewNop(), FirstStart: network != nil && network.firstStart,
		Eras: platform.NewEras(zap.NewNop()),
	}
	o.Eras.Raise(0)
	if network != nil {
		peers := &fakePeers{network: network, own: own}
		o.Peers, o.OnChange = peers, peers.setVMs
	}
	c := New(o)
	if network != nil {
		network.add(c)
	}
	return c
}
