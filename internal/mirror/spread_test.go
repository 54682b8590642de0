package mirror

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
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
	// wireBytes is the overhead of a request or an answer.
	wireBytes = 300
)

const (
	// largeFleets is the environment variable that asks for fleets of more than maxRaceFleet VMs.
	// They take minutes with the race detector; CI plays them without it.
	largeFleets  = "TEST_LARGE_FLEETS"
	maxRaceFleet = 320
)

// spreadVM is a simulated VM with its copy of the table, its links and its faults.
type spreadVM struct {
	census.VM
	follower *follow.Follower
	// follows says that the VM follows the store's feed.
	follows  bool
	server   *Server
	client   *Client
	up, down spreadLink
	// dead VMs answer no request; rejected VMs get errors from the store.
	dead     atomic.Bool
	rejected atomic.Bool
	// partitioned VMs reach only each other.
	partitioned atomic.Bool
	// inForce is when the VM had the new configuration. It is guarded by the fleet's mutex.
	inForce time.Time
}

// spreadFleet simulates the store, the VMs and the links between them.
type spreadFleet struct {
	mu        sync.Mutex // guards the fields below
	view      platform.TableView
	storeDown bool
	// storeSilent makes the store hold all calls. It never answers these, even after its return.
	storeSilent bool
	changed     chan struct{}
	// revisionOffset is how far changes of other tables have advanced the store's revision.
	revisionOffset uint64
	// calls counts the calls that have reached the store.
	calls int
	vms   map[string]*spreadVM
	// followers are the VMs that others ask, by data centre.
	followers map[string][]census.VM
	unpacked  unpackCache
}

// start runs all VMs. The returned function stops them and waits until they have ended.
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

// sortedVMs returns the VMs in order of their numbers, so that random choices for them depend only
// on the seed.
func (f *spreadFleet) sortedVMs() []*spreadVM {
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

// state returns the table, the store's revision, whether the store is down, and a channel that is
// closed when any of that changes.
func (f *spreadFleet) state() (view platform.TableView, newest uint64, unavailable bool, changed chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, f.view.Revision + f.revisionOffset, f.storeDown, f.changed
}

// isSilent reports whether calls are held without an answer.
func (f *spreadFleet) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeSilent
}

func (f *spreadFleet) countCall() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
}

// spreadFeed is the store's feed as one VM sees it.
type spreadFeed struct {
	fleet *spreadFleet
	vm    *spreadVM
}

var errRejected = errors.New("turned away")

func (s spreadFeed) ReadAll(ctx context.Context, _ string) (platform.TableView, error) {
	s.fleet.countCall()
	if s.fleet.isSilent() {
		<-ctx.Done()
	}
	if s.vm.partitioned.Load() {
		<-ctx.Done()
	}
	view, newest, unavailable, _ := s.fleet.state()
	if unavailable || s.vm.rejected.Load() || !s.vm.down.send(ctx, sizeOf(view.Rows)) {
		return platform.TableView{}, errRejected
	}
	view.Revision = newest
	return view, nil
}

func (s spreadFeed) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) (platform.TableChange, error) {
	s.fleet.countCall()
	until := time.After(wait)
	for over := wait <= 0; ; {
		view, newest, unavailable, changed := s.fleet.state()
		if s.fleet.isSilent() || s.vm.partitioned.Load() {
			<-ctx.Done()
		}
		switch {
		case ctx.Err() != nil:
			return platform.TableChange{}, ctx.Err()
		case unavailable || s.vm.rejected.Load():
			return platform.TableChange{}, errRejected
		case view.Revision > after:
			if !s.vm.down.send(ctx, sizeOf(view.Rows)) {
				return platform.TableChange{}, errRejected
			}
			return platform.TableChange{Version: platform.Version{Revision: view.Revision}, Written: view.Rows}, nil
		}
		if over {
			// No timer here if there is no wait: several timers that are due at once in one
			// synctest bubble share state in the race detector and crash it.
			return platform.TableChange{Version: platform.Version{Revision: newest}}, nil
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

// roundTripOf returns the function by which the VM's client reaches a peer.
func (f *spreadFleet) roundTripOf(vm *spreadVM) func(context.Context, string, fetchRequest) *fetchResponse {
	return func(ctx context.Context, address string, req fetchRequest) *fetchResponse {
		peer := f.vms[address]
		if peer == nil || peer.dead.Load() || peer.partitioned.Load() != vm.partitioned.Load() {
			<-ctx.Done()
			return nil
		}
		a, err := peer.server.respond(req)
		if err != nil {
			return noCopy // as the client does with the error of a VM that has no copy yet
		}
		const base64 = 4.0 / 3
		bytes := wireBytes + int(base64*float64(len(a.Change)))
		if !peer.up.send(ctx, bytes) || !vm.down.send(ctx, bytes) {
			return nil
		}
		return a
	}
}

// configuration returns the row of a configuration with the given number of profiles.
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
	return newSpreadFleetWith(vms, dataCentres, func(*spreadVM, *follow.Options) {})
}

// newSpreadFleetWith lets adjust change the options of each VM's follower.
func newSpreadFleetWith(vms, dataCentres int, adjust func(*spreadVM, *follow.Options)) *spreadFleet {
	f := &spreadFleet{changed: make(chan struct{}), vms: map[string]*spreadVM{}}
	f.view = platform.TableView{Version: platform.Version{Revision: 1}, Rows: configuration(1770, 1)}
	var all []census.VM
	for i := range vms {
		name := fmt.Sprintf("vm-%d", i)
		all = append(all, census.VM{Name: name, Address: name, DataCentre: fmt.Sprint("dc", i%dataCentres)})
	}
	feedFollowers, followers := census.FeedFollowersOf(all), census.FollowersOf(all)
	f.followers = followers
	relayCount := 0
	for dataCentre, vms := range followers {
		relayCount += len(vms) - len(feedFollowers[dataCentre])
	}
	for _, listed := range all {
		vm := &spreadVM{VM: listed}
		f.vms[vm.Address] = vm
		vm.client = NewClient(vm.Address, nil, zap.NewNop())
		vm.client.roundTrip, vm.client.unpack = f.roundTripOf(vm), f.unpacked.get
		follows := slices.Contains(feedFollowers[vm.DataCentre], vm.VM)
		relays := !follows && slices.Contains(followers[vm.DataCentre], vm.VM)
		relayed := len(followers[vm.DataCentre]) > len(feedFollowers[vm.DataCentre])
		vm.follows = follows
		near, far := followers, followers
		switch {
		case follows:
			near = feedFollowers
		case relays:
			near, far = feedFollowers, feedFollowers
		}
		peers := peersOf(vm.VM, all, near, far)
		peers.DataCentre, peers.LocalRelays, peers.FeedFollowers = vm.DataCentre, addressesOf(followers[vm.DataCentre]), map[string][]string{}
		for dataCentre, vms := range feedFollowers {
			peers.FeedFollowers[dataCentre] = addressesOf(vms)
		}
		vm.client.SetPeers(peers)
		options := follow.Options{
			Table: spreadTable, Feed: spreadFeed{f, vm}, Peers: vm.client, Logger: zap.NewNop(),
			FollowsFeed: func() bool { return follows },
			Relays:      func() bool { return relays },
			Relayed:     func() bool { return relayed },
			RelayCount:  func() int { return relayCount },
			VMs:         func() int { return vms },
			RetryGroup:  follow.NewRetryGroup(),
			OnChange:    func(view platform.TableView) { f.recordInForce(vm, view.Revision) },
		}
		adjust(vm, &options)
		vm.follower = follow.New(options)
		vm.server = NewServer(func(_ string, after platform.Cursor) (platform.TableChange, time.Duration, bool) {
			return vm.follower.Since(after)
		}, nil, zap.NewNop())
	}
	return f
}

// peersOf returns the peers of a VM, as package entry does.
func peersOf(own census.VM, all []census.VM, near, far map[string][]census.VM) Peers {
	peers := Peers{LocalFollowers: addressesOf(near[own.DataCentre])}
	for dataCentre, followers := range far {
		if dataCentre != own.DataCentre {
			peers.RemoteFollowers = append(peers.RemoteFollowers, addressesOf(followers))
		}
	}
	for _, vm := range all {
		peers.Fallback = append(peers.Fallback, vm.Address)
	}
	return peers
}

func addressesOf(vms []census.VM) []string {
	var addresses []string
	for _, vm := range vms {
		addresses = append(addresses, vm.Address)
	}
	return addresses
}

func (f *spreadFleet) recordInForce(vm *spreadVM, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision == f.view.Revision && revision > 1 && vm.inForce.IsZero() {
		vm.inForce = time.Now()
	}
}

// An operator's change of a large configuration is accepted while links are slow, some VMs are
// dead, and the store rejects others or was down until a second before. The change must be in
// force on every VM within seconds: a VM that still answers requests for a new profile with 404
// breaks the promise to the operator. On 88 VMs the change was 5 s late, since each VM fetched
// half a megabyte twice from one of eight peers.
func TestConfigurationIsInForceInTime(t *testing.T) {
	for _, c := range []struct {
		vms   int
		bound time.Duration
		// outage says that the store was down until a second before the change.
		outage bool
		// dead and rejected are shares of the VMs.
		dead     float64
		rejected float64
		seeds    int
	}{
		{6, 2 * time.Second, false, 0, 0.35, 2},
		{6, 2 * time.Second, true, 0.25, 0.35, 2},
		{90, 3 * time.Second, false, 0, 0, 1},
		{90, 3 * time.Second, true, 0, 0.35, 1},
		{90, 3 * time.Second, true, 0.25, 0.2, 1},
		{320, 4 * time.Second, true, 0.1, 0.35, 1},
		{985, 5 * time.Second, true, 0.1, 0.35, 1},
		{1970, 5 * time.Second, true, 0.1, 0.35, 1},
	} {
		if c.vms > maxRaceFleet && os.Getenv(largeFleets) == "" {
			continue
		}
		for seed := range c.seeds {
			t.Run(fmt.Sprintf("%d VMs, outage %t, dead %v, rejected %v, seed %d", c.vms, c.outage, c.dead, c.rejected, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					slowest, vm := propagate(t, c.vms, c.bound, uint64(seed), c.outage, c.dead, c.rejected)
					t.Logf("the slowest VM has it after %s", slowest)
					if slowest > c.bound {
						t.Errorf("%s has it after %s only", vm, slowest)
					}
				})
			})
		}
	}
}

// propagate simulates one change. It returns how long the slowest live VM took, and its name.
func propagate(t *testing.T, vms int, bound time.Duration, seed uint64, outage bool, deadShare, rejectedShare float64) (time.Duration, string) {
	r := rand.New(rand.NewPCG(seed, 2))
	f := newSpreadFleet(vms)
	stop := f.start(t)
	time.Sleep(3*time.Second + time.Duration(r.IntN(1000))*time.Millisecond)
	for i, vm := range f.sortedVMs() {
		vm.dead.Store(r.Float64() < deadShare && i > 0)
		vm.rejected.Store(r.Float64() < rejectedShare && i > 0)
	}
	if outage {
		f.set(func() { f.storeDown = true })
		time.Sleep(8 * time.Second)
		f.set(func() { f.storeDown = false })
		time.Sleep(time.Second)
	}
	accepted := time.Now()
	f.set(func() {
		f.view = platform.TableView{Version: platform.Version{Revision: 2}, Rows: configuration(1770, 2)}
	})
	time.Sleep(bound + time.Second)
	stop()
	return f.slowest(accepted)
}

// slowest returns how long after its acceptance the last live VM had the configuration, and the
// name of that VM; an hour if a VM never had it.
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
