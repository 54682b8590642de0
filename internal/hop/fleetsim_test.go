package hop

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/reach"
	"geraniumcroft/internal/transport"
)

const (
	// simRate is how many requests each VM gets in a second, simTries the replicas that a request tries,
	// and simStream how long a request's connection is used.
	simRate   = 3
	simTries  = 4
	simStream = 2 * time.Second
	// simConnect bounds a connection attempt of a request.
	simConnect = 250 * time.Millisecond
	// simBound is how long after the cut begins first tries must be served as elsewhere.
	simBound = 3 * time.Second
	// cutFor is how long the cut lasts, simLength how long requests come after it began.
	cutFor    = 8 * time.Second
	simLength = 14 * time.Second
)

// simVM is a VM of a simulated fleet.
type simVM struct {
	Peer
	index   int
	tracker *reach.Tracker
	dialer  *Dialer
	server  *Server
	prober  *Prober
	// cut is how the VM's link to all replicas fails, nil if it does not.
	cut atomic.Pointer[error]
	// dead VMs refuse connections, frozen ones hang, stopping ones decline.
	dead, frozen, stopping atomic.Bool
	// passedOn is the number of connections that the VM passes on, most the highest so far.
	passedOn, most atomic.Int32
	lostAt, backAt atomic.Pointer[time.Time]
}

// simFleet is a fleet with its replicas, in virtual time.
type simFleet struct {
	vms      []*simVM
	byPeer   map[string]*simVM
	replicas int
	// crashed is the number of replicas, from the first on, that are down.
	crashed atomic.Int32
	// began is when the cut began.
	began time.Time

	mu      sync.Mutex
	results []simResult
}

// simResult is the outcome of a first try.
type simResult struct {
	vm     *simVM
	at     time.Time
	served bool
	// excused is set if all replicas that were tried had crashed.
	excused bool
	// tries is the number of replicas that were tried.
	tries int
	// errs are the errors of the tries that failed.
	errs []error
}

func newSimFleet(size int, withPeers bool) *simFleet {
	f := &simFleet{byPeer: map[string]*simVM{}, replicas: max(42, 3*size)}
	var all []Peer
	for i := range size {
		peer := Peer{Address: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("dc-", i%dataCentres(size))}
		all = append(all, peer)
		vm := &simVM{Peer: peer, index: i, tracker: reach.NewTracker()}
		f.vms = append(f.vms, vm)
		f.byPeer[peer.Address] = vm
	}
	for _, vm := range f.vms {
		f.build(vm)
		if withPeers {
			vm.dialer.client.peers.SetPeers(all)
		}
	}
	return f
}

// dataCentres returns the number of data centres of a fleet: three of a small one, ten of a large one.
func dataCentres(size int) int {
	if size < 100 {
		return 3
	}
	return 10
}

func (f *simFleet) build(vm *simVM) {
	direct := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := f.dialReplica(ctx, vm, address)
		if err == nil || ctx.Err() != context.Canceled {
			vm.tracker.RecordDial(address, err == nil, time.Now())
		}
		return conn, err
	}
	client := NewClient(vm.Address, NewPeers(vm.Peer), nil, newCounts(), zap.NewNop())
	client.open = func(ctx context.Context, peer, address string) (net.Conn, error) {
		return f.openThrough(ctx, client, peer, address)
	}
	vm.dialer = NewDialer(direct, client, vm.tracker, reach.NewRoutes())
	vm.server = NewServer(ServerOptions{
		Dial: direct, IsReplica: func(string) bool { return true }, MaxConnections: 475, Observer: newCounts(), Logger: zap.NewNop(),
		ReachesReplicas: func(ctx context.Context, since time.Time) bool { return vm.prober.ReachesReplicas(ctx, since) },
		Declines: func() string {
			if !vm.tracker.CanHelp() || vm.stopping.Load() {
				return "cut off or stopping"
			}
			return ""
		},
	})
	vm.prober = NewProber(ProberOptions{
		Direct: direct, Client: client, Tracker: vm.tracker, Replicas: func(n int) []string { return f.draw(n) },
		OnChange: func(change *reach.Change) {
			now := time.Now()
			if change.CutOff {
				vm.lostAt.Store(&now)
			} else {
				vm.backAt.Store(&now)
			}
		},
	})
}

func (f *simFleet) draw(n int) []string {
	addresses := make([]string, n)
	for i := range addresses {
		addresses[i] = fmt.Sprint(rand.IntN(f.replicas))
	}
	return addresses
}

// simConn is a connection without bytes.
type simConn struct {
	net.Conn
	onClose func()
}

func (c *simConn) RemoteAddr() net.Addr { return Addr{Peer: "a peer"} }

func (c *simConn) Close() error {
	c.onClose()
	return nil
}

// dialReplica connects to a replica directly.
func (f *simFleet) dialReplica(ctx context.Context, vm *simVM, address string) (net.Conn, error) {
	var number int32
	_, _ = fmt.Sscan(address, &number)
	switch cut := vm.cut.Load(); {
	case cut != nil && *cut == errHangs:
		<-ctx.Done()
		return nil, ctx.Err()
	case cut != nil:
		time.Sleep(500 * time.Microsecond)
		return nil, *cut
	case number < f.crashed.Load():
		time.Sleep(500 * time.Microsecond)
		return nil, syscall.ECONNREFUSED
	}
	time.Sleep(time.Millisecond)
	return &simConn{onClose: func() {}}, ctx.Err()
}

// openThrough is the simulated Client.open: the way to the peer and what its server decides.
func (f *simFleet) openThrough(ctx context.Context, client *Client, peer, address string) (net.Conn, error) {
	to := f.byPeer[peer]
	switch {
	case to.frozen.Load():
		<-ctx.Done()
		return nil, &PeerError{Peer: peer, Cause: ctx.Err()}
	case to.dead.Load():
		return nil, &PeerError{Peer: peer, Cause: syscall.ECONNREFUSED}
	}
	time.Sleep(time.Millisecond)
	timeout := transport.DefaultConnectTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	active := to.passedOn.Add(1)
	replica, reply := to.server.open(ctx, connectRequest{Address: address, TimeoutMS: max(1, timeout.Milliseconds())}, int(active))
	if replica == nil {
		to.passedOn.Add(-1)
	}
	time.Sleep(time.Millisecond)
	switch reply.Result {
	case resultConnected:
		to.most.Store(max(to.most.Load(), active))
		return &simConn{onClose: sync.OnceFunc(func() {
			to.passedOn.Add(-1)
			client.peers.count(peer, -1)
		})}, nil
	case resultRefused, resultUnreached:
		return nil, &ReplicaError{Peer: peer, Refused: reply.Result == resultRefused, Reason: reply.Reason}
	}
	return nil, &DeclinedError{Peer: peer, Reason: reply.Reason}
}

// request sends one request at a VM.
func (f *simFleet) request(vm *simVM, random *rand.Rand) {
	at, result := time.Now(), simResult{vm: vm, excused: true}
	for !result.served && result.tries < simTries {
		result.tries++
		ctx, cancel := context.WithTimeout(context.Background(), simConnect)
		number := random.IntN(f.replicas)
		result.excused = result.excused && number < int(f.crashed.Load())
		conn, err := vm.dialer.Dial(ctx, "tcp", fmt.Sprint(number))
		cancel()
		if err == nil {
			result.served = true
			time.AfterFunc(simStream, func() { _ = conn.Close() })
		} else {
			result.errs = append(result.errs, err)
		}
	}
	result.at = at
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, result)
}

// tail returns a tenth of the VMs, ten at most, that are not cut off.
func (f *simFleet) tail() []*simVM {
	var tail []*simVM
	for i := len(f.vms) - 1; len(tail) < min(10, max(1, len(f.vms)/10)); i-- {
		if f.vms[i].cut.Load() == nil {
			tail = append(tail, f.vms[i])
		}
	}
	return tail
}

// play cuts the VMs off and sends requests to all VMs, with the other faults meanwhile.
func (f *simFleet) play(cut []*simVM, form error, beside func(f *simFleet)) {
	ctx, cancel := context.WithCancel(context.Background())
	var work, load sync.WaitGroup
	for _, vm := range f.vms {
		work.Go(func() { vm.prober.Run(ctx) })
	}
	f.began = time.Now().Add(time.Second)
	for _, vm := range f.vms {
		random := rand.New(rand.NewPCG(uint64(vm.index), 1))
		load.Go(func() {
			for time.Since(f.began) < simLength {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / simRate))
				if !vm.dead.Load() && !vm.frozen.Load() && !vm.stopping.Load() {
					own := rand.New(rand.NewPCG(random.Uint64(), 1))
					load.Go(func() { f.request(vm, own) })
				}
			}
		})
	}
	time.Sleep(time.Second)
	for _, vm := range cut {
		vm.cut.Store(&form)
	}
	work.Go(func() { beside(f) })
	time.Sleep(cutFor)
	for _, vm := range cut {
		vm.cut.Store(nil)
	}
	load.Wait()
	time.Sleep(simStream)
	cancel()
	work.Wait()
}

// served returns how many first tries at the VMs were served, of those between two times after the cut
// began.
func (f *simFleet) served(of func(vm *simVM) bool, from, to time.Duration) (served, all int) {
	for _, r := range f.results {
		if after := r.at.Sub(f.began); !r.excused && of(r.vm) && after >= from && after < to {
			all++
			if r.served {
				served++
			}
		}
	}
	return served, all
}

// largeFleets is the variable that adds fleets of 985 and 1,970 VMs, which take long with the race
// detector.
const largeFleets = "TEST_LARGE_FLEETS"

func simSizes() []int {
	if os.Getenv(largeFleets) != "" {
		return []int{6, 88, 195, 985, 1970}
	}
	return []int{6, 88, 195}
}

// simCuts are the VMs that are cut off.
var simCuts = map[string]func(vms []*simVM) []*simVM{
	"one VM": func(vms []*simVM) []*simVM { return vms[:1] },
	"a third": func(vms []*simVM) []*simVM {
		var cut []*simVM
		for _, vm := range vms {
			if vm.index/dataCentres(len(vms))%3 == 0 { // of each data centre
				cut = append(cut, vm)
			}
		}
		return cut
	},
	"a data centre": func(vms []*simVM) []*simVM {
		var cut []*simVM
		for _, vm := range vms {
			if vm.DataCentre == vms[0].DataCentre {
				cut = append(cut, vm)
			}
		}
		return cut
	},
}

// simForms are the ways in which connections to replicas fail. One that is reset while it is open makes
// no difference here.
var simForms = map[string]error{"hang": errHangs, "refused": syscall.ECONNREFUSED}

// simBesides are the faults beside the cut.
var simBesides = map[string]func(f *simFleet){
	"nothing": func(*simFleet) {},
	"a VM killed": func(f *simFleet) {
		time.Sleep(2 * time.Second)
		f.vms[len(f.vms)-1].dead.Store(true)
	},
	"a VM frozen": func(f *simFleet) {
		time.Sleep(2 * time.Second)
		f.vms[len(f.vms)-1].frozen.Store(true)
		time.Sleep(3 * time.Second)
		f.vms[len(f.vms)-1].frozen.Store(false)
	},
	"a rollout": func(f *simFleet) {
		for _, vm := range f.tail() {
			vm.stopping.Store(true)
			time.Sleep(300 * time.Millisecond)
			vm.dead.Store(true)
			time.Sleep(500 * time.Millisecond)
			vm.dead.Store(false)
			vm.stopping.Store(false)
		}
	},
	// The list of VMs goes on to name those that are gone.
	"VMs gone and the store away": func(f *simFleet) {
		time.Sleep(time.Second)
		for _, vm := range f.tail() {
			vm.dead.Store(true)
		}
	},
	"replicas crashed": func(f *simFleet) {
		time.Sleep(time.Second)
		f.crashed.Store(int32(f.replicas / 10))
		time.Sleep(3 * time.Second)
		f.crashed.Store(0)
	},
}

var _ transport.DialFunc = (&Dialer{}).Dial
