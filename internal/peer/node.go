package peer

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"geraniumcroft/internal/membership"
	"geraniumcroft/internal/peer/peerpb"
	"geraniumcroft/internal/platform"
)

// Node is this VM's side of the protocol with all its peers. It is safe for concurrent use.
type Node struct {
	options  Options
	settings Settings
	log      *zap.Logger
	server   *grpc.Server
	pool     *pool
	load     *loadExchange
	traffic  *Traffic
	work     sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
	snapshot snapshotCache

	mu           sync.Mutex // guards the fields below
	stopped      bool
	rng          *rand.Rand
	table        *membership.Table
	view         map[string]string // addresses by name
	lastViewSwap time.Time
	// lastRepair is when this VM last sent a digest of its members to compare.
	lastRepair time.Time
	nextSeed   int
	lastAnswer time.Time
	pushes     map[string]*push
	probing    map[string]bool
	counters   Counters
}

// New returns a Node that does not listen or send yet.
func New(o Options) *Node {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	now := time.Now()
	settings := o.Settings.withDefaults()
	n := &Node{
		options:  o,
		settings: settings,
		log:      o.Logger.Named("peer"),
		traffic:  &Traffic{},
		rng:      newRand(o.VM, now),
		view:     map[string]string{},
		pushes:   map[string]*push{},
		probing:  map[string]bool{},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.table = membership.New(n.identity(now), settings.Membership, n.rng, now)
	n.pool = newPool(o, settings, n.traffic)
	n.load = newLoadExchange(o.Load, settings.LoadExpiry, o.Store)
	n.server = newServer(o, settings)
	peerpb.RegisterPeerServer(n.server, &service{node: n})
	return n
}

// newRand returns a random source that differs between VMs and processes.
func newRand(vm string, now time.Time) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(vm))
	return rand.New(rand.NewPCG(hash.Sum64(), uint64(now.UnixNano())))
}

// identity returns what this VM reports about itself when its process starts at the given time.
func (n *Node) identity(now time.Time) membership.Identity {
	return membership.Identity{
		Name:        n.options.VM,
		Address:     n.options.Address,
		DataCentre:  n.options.DataCentre,
		Incarnation: membership.NewIncarnation(now),
		Version:     n.options.Store.Current().Version,
	}
}

// UpdateVMs applies the platform's list of VMs.
func (n *Node) UpdateVMs(vms []platform.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.UpdateListed(vms, time.Now())
}

// Members returns this VM and all members that it knows, sorted by name.
func (n *Node) Members() []membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.SetVersion(n.options.Store.InForceVersion())
	return n.table.Members()
}

// PeerCount returns the number of other VMs that may serve.
func (n *Node) PeerCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.FleetSize() - 1
}

// HasPeers reports whether there is, or may be, another VM that has not left. It is also true for a
// VM that has been cut off for so long that it holds all others dead; PeerCount cannot distinguish
// that from a fleet of one.
func (n *Node) HasPeers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	left := map[string]bool{n.options.Address: true}
	for _, m := range n.table.Members() {
		if m.State == membership.Left {
			left[m.Address] = true
		} else if m.Name != n.options.VM {
			return true
		}
	}
	return slices.ContainsFunc(n.options.Seeds, func(seed string) bool { return !left[seed] })
}

// Reachable reports whether a peer has answered within ReachableBound.
func (n *Node) Reachable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.lastAnswer.IsZero() && time.Since(n.lastAnswer) <= n.settings.ReachableBound
}

// InForce returns the names of the VMs that may serve, this one included: those that are known to
// have the version in force, and those that are not.
func (n *Node) InForce(version uint64) (confirmed, missing []string) {
	for _, m := range n.Members() {
		if !m.MayServe() {
			continue
		}
		if m.Version >= version {
			confirmed = append(confirmed, m.Name)
		} else {
			missing = append(missing, m.Name)
		}
	}
	return confirmed, missing
}

// spawn runs f in a goroutine that Stop waits for. It reports false, without running f, once the
// node has stopped.
func (n *Node) spawn(f func(ctx context.Context)) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.spawnLocked(f)
}

// spawnLocked is spawn for a caller that holds n.mu.
func (n *Node) spawnLocked(f func(ctx context.Context)) bool {
	if n.stopped {
		return false
	}
	n.work.Add(1)
	go func() {
		defer n.work.Done()
		f(n.ctx)
	}()
	return true
}
