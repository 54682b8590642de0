package mirror

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/census"
	"geraniumcroft/internal/follow"
	"geraniumcroft/internal/platform"
)

const (
	spreadTable = "op"
	// linkBytesPerSecond is the link of the smallest VM.
	linkBytesPerSecond = 20e6 / 8
	// wireBytes is what a question or an answer takes beside what it carries.
	wireBytes = 300
)

// spreadLink sends one thing after another.
type spreadLink struct {
	mu   sync.Mutex // guards the field below
	free time.Time
}

// send waits until so many bytes have passed, and reports whether that was in time.
func (l *spreadLink) send(ctx context.Context, bytes int) bool {
	l.mu.Lock()
	begin := time.Now()
	if l.free.After(begin) {
		begin = l.free
	}
	l.free = begin.Add(time.Duration(float64(bytes) / linkBytesPerSecond * float64(time.Second)))
	wait := time.Until(l.free)
	l.mu.Unlock()
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// spreadVM is one VM: its copy of the table, its link out, and its fate.
type spreadVM struct {
	census.VM
	follower *follow.Follower
	// follows says that the VM follows the store's feed.
	follows  bool
	server   *Server
	client   *Client
	up, down spreadLink
	// dead VMs answer nobody; the store turns those away that are turnedAway.
	dead       atomic.Bool
	turnedAway atomic.Bool
	// cut VMs reach each other and nobody else.
	cut atomic.Bool
	// inForce is when the VM had the new configuration; the fleet's lock guards it.
	inForce time.Time
}

// spreadFleet is a store, VMs, and the links between them.
type spreadFleet struct {
	mu   sync.Mutex // guards the fields below
	view platform.TableView
	away bool
	// silent says that the store holds every call and never answers it, also once it is back.
	silent  bool
	changed chan struct{}
	// moved is by how much other tables have moved the store's revision on beyond this one's.
	moved uint64
	// calls counts those that reached the store.
	calls int
	vms   map[string]*spreadVM
}

// start runs all VMs; what it returns ends them and waits for that.
func (f *spreadFleet) start(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, vm := range f.vms {
		running.Go(func() { vm.follower.Run(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// inOrder returns the VMs by their numbers, so that what is drawn for each depends on the seed
// alone.
func (f *spreadFleet) inOrder() []*spreadVM {
	vms := make([]*spreadVM, len(f.vms))
	for i := range vms {
		vms[i] = f.vms[fmt.Sprintf("vm-%d", i)]
	}
	return vms
}

func (f *spreadFleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

// look returns the table, the store's revision, whether the store is away, and what is closed
// once any of that changes.
func (f *spreadFleet) look() (view platform.TableView, newest uint64, away bool, changed chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, f.view.Revision + f.moved, f.away, f.changed
}

// holds reports whether calls are held without an answer.
func (f *spreadFleet) holds() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent
}

func (f *spreadFleet) count() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
}

// spreadFeed is the store's feed as one VM sees it.
type spreadFeed struct {
	fleet *spreadFleet
	vm    *spreadVM
}

var errTurnedAway = errors.New("turned away")

func (s spreadFeed) ReadAll(ctx context.Context, _ string) (platform.TableView, error) {
	s.fleet.count()
	if s.fleet.holds() {
		<-ctx.Done()
	}
	if s.vm.cut.Load() {
		<-ctx.Done()
	}
	view, newest, away, _ := s.fleet.look()
	if away || s.vm.turnedAway.Load() || !s.vm.down.send(ctx, sizeOf(view.Rows)) {
		return platform.TableView{}, errTurnedAway
	}
	view.Revision = newest
	return view, nil
}

func (s spreadFeed) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) (platform.TableChange, error) {
	s.fleet.count()
	until := time.After(wait)
	for over := wait <= 0; ; {
		view, newest, away, changed := s.fleet.look()
		if s.fleet.holds() || s.vm.cut.Load() {
			<-ctx.Done()
		}
		switch {
		case ctx.Err() != nil:
			return platform.TableChange{}, ctx.Err()
		case away || s.vm.turnedAway.Load():
			return platform.TableChange{}, errTurnedAway
		case view.Revision > after:
			if !s.vm.down.send(ctx, sizeOf(view.Rows)) {
				return platform.TableChange{}, errTurnedAway
			}
			return platform.TableChange{Revision: view.Revision, Written: view.Rows}, nil
		}
		if over {
			// Without a timer where there is no wait: several that are due at once in one synctest
			// bubble share state in the race detector and crash it.
			return platform.TableChange{Revision: newest}, nil
		}
		select {
		case <-changed:
		case <-until:
			over = true
		case <-ctx.Done():
			return platform.TableChange{}, ctx.Err()
		}
	}
}

func sizeOf(rows map[string][]byte) int {
	size := wireBytes
	for _, row := range rows {
		size += len(row)
	}
	return size
}

// ask is how the VM's client reaches a peer.
func (f *spreadFleet) ask(vm *spreadVM) func(context.Context, string, question) *answer {
	return func(ctx context.Context, address string, q question) *answer {
		peer := f.vms[address]
		if peer == nil || peer.dead.Load() || peer.cut.Load() != vm.cut.Load() {
			<-ctx.Done()
			return nil
		}
		a, err := peer.server.answer(q)
		if err != nil {
			return withoutCopy // as the client takes the error of a VM that has no copy yet
		}
		const base64 = 4.0 / 3
		bytes := wireBytes + int(base64*float64(len(a.Change)))
		if !peer.up.send(ctx, bytes) || !vm.down.send(ctx, bytes) {
			return nil
		}
		return a
	}
}

// configuration is a row of so many profiles, as an operator's table has it.
func configuration(profiles int, version uint64) map[string][]byte {
	var text strings.Builder
	r := rand.New(rand.NewPCG(uint64(profiles), 1))
	fmt.Fprintf(&text, "{\"version\":%d,\"routes\":[", version)
	for range profiles {
		fmt.Fprintf(&text, `{"name":"r-%07x","host":"ficu95.example","prefix":"/%07x/","kind":"streaming","timeout_ms":20000,"target_latency_ms":500,"priority":1,"service":"huvo11a","max_attempts":2,"public":false,"sticky":true,"resumable":true,"target_gap_ms":250},`, r.Uint32(), r.Uint32())
	}
	return map[string][]byte{"config": []byte(text.String())}
}

func newSpreadFleet(vms int) *spreadFleet { return newSpreadFleetOf(vms, 3) }

func newSpreadFleetOf(vms, dataCentres int) *spreadFleet {
	f := &spreadFleet{changed: make(chan struct{}), vms: map[string]*spreadVM{}}
	f.view = platform.TableView{Revision: 1, Rows: configuration(1770, 1)}
	var all []census.VM
	for i := range vms {
		name := fmt.Sprintf("vm-%d", i)
		all = append(all, census.VM{Name: name, Address: name, DataCentre: fmt.Sprint("dc", i%dataCentres)})
	}
	for _, listed := range all {
		vm := &spreadVM{VM: listed}
		f.vms[vm.Address] = vm
		vm.client = NewClient(vm.Address, nil, zap.NewNop())
		vm.client.asker = f.ask(vm)
		vm.client.SetPeers(peersOf(vm.VM, all))
		follows := slices.Contains(census.FollowersOf(all)[vm.DataCentre], vm.VM)
		vm.follows = follows
		vm.follower = follow.New(follow.Options{
			Table: spreadTable, Feed: spreadFeed{f, vm}, Peers: vm.client, Logger: zap.NewNop(),
			FollowsFeed: func() bool { return follows },
			VMs:         func() int { return vms },
			RetryGroup:  follow.NewRetryGroup(),
			OnChange:    func(view platform.TableView) { f.noteInForce(vm, view.Revision) },
		})
		vm.server = NewServer(func(_ string, after uint64) (platform.TableChange, time.Duration, bool) {
			return vm.follower.Since(after)
		}, nil, zap.NewNop())
	}
	return f
}

func peersOf(own census.VM, all []census.VM) Peers {
	var peers Peers
	for dataCentre, followers := range census.FollowersOf(all) {
		var addresses []string
		for _, vm := range followers {
			addresses = append(addresses, vm.Address)
		}
		if dataCentre == own.DataCentre {
			peers.LocalFollowers = addresses
		} else {
			peers.RemoteFollowers = append(peers.RemoteFollowers, addresses)
		}
	}
	for _, vm := range all {
		peers.Fallback = append(peers.Fallback, vm.Address)
	}
	return peers
}

func (f *spreadFleet) noteInForce(vm *spreadVM, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision == f.view.Revision && revision > 1 && vm.inForce.IsZero() {
		vm.inForce = time.Now()
	}
}

// An operator's change of a large configuration is accepted while links are slow, some VMs
// are dead and the store turns others away or was away until a moment ago. Callers must
// find it in force at every VM within seconds: a VM that still refuses a new profile with
// 404 breaks what the operator was told. It was 5 s late at 88 VMs, as each fetched half a
// megabyte twice from one of eight.
func TestConfigurationIsInForceInTime(t *testing.T) {
	for _, c := range []struct {
		vms   int
		bound time.Duration
		// outage says that the store was away until a second before.
		outage bool
		// dead and turnedAway are parts of the VMs.
		dead       float64
		turnedAway float64
		seeds      int
	}{
		{6, 2 * time.Second, false, 0, 0.35, 2},
		{6, 2 * time.Second, true, 0.25, 0.35, 2},
		{90, 3 * time.Second, false, 0, 0, 1},
		{90, 3 * time.Second, true, 0, 0.35, 1},
		{90, 3 * time.Second, true, 0.25, 0.2, 1},
		{320, 4 * time.Second, true, 0.1, 0.35, 1},
	} {
		for seed := range c.seeds {
			t.Run(fmt.Sprintf("%d VMs, outage %t, dead %v, turned away %v, seed %d", c.vms, c.outage, c.dead, c.turnedAway, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					slowest, vm := spread(t, c.vms, c.bound, uint64(seed), c.outage, c.dead, c.turnedAway)
					t.Logf("the slowest VM has it after %s", slowest)
					if slowest > c.bound {
						t.Errorf("%s has it after %s only", vm, slowest)
					}
				})
			})
		}
	}
}

// spread plays one change and returns how long the slowest living VM took, and which.
func spread(t *testing.T, vms int, bound time.Duration, seed uint64, outage bool, deadPart, awayPart float64) (time.Duration, string) {
	r := rand.New(rand.NewPCG(seed, 2))
	f := newSpreadFleet(vms)
	stop := f.start(t)
	time.Sleep(3*time.Second + time.Duration(r.IntN(1000))*time.Millisecond)
	for i, vm := range f.inOrder() {
		vm.dead.Store(r.Float64() < deadPart && i > 0)
		vm.turnedAway.Store(r.Float64() < awayPart && i > 0)
	}
	if outage {
		f.set(func() { f.away = true })
		time.Sleep(8 * time.Second)
		f.set(func() { f.away = false })
		time.Sleep(time.Second)
	}
	accepted := time.Now()
	f.set(func() { f.view = platform.TableView{Revision: 2, Rows: configuration(1770, 2)} })
	time.Sleep(bound + time.Second)
	stop()
	return f.slowest(accepted)
}

// slowest returns how long after the acceptance the last living VM had the configuration,
// and which VM that was; an hour if one never had it.
func (f *spreadFleet) slowest(accepted time.Time) (time.Duration, string) {
	slowest, who := time.Duration(0), ""
	for _, vm := range f.vms {
		if took := vm.inForce.Sub(accepted); !vm.dead.Load() && (took < 0 || took > slowest) {
			slowest, who = took, vm.Name
			if took < 0 {
				return time.Hour, who
			}
		}
	}
	return slowest, who
}
