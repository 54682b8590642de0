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

// Node is this VM's end of the connections to all its peers. It is safe for
// concurrent use.
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

	mu         sync.Mutex // guards the fields below
	stopped    bool
	rng        *rand.Rand
	table      *membership.Table
	view       map[string]string // name to address
	swapped    time.Time
	repaired   time.Time
	nextSeed   int
	lastAnswer time.Time
	pushes     map[string]*push
	probing    map[string]bool
	counters   Counters
}

// New returns a node that neither listens nor sends yet.
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

func newRand(vm string, now time.Time) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(vm))
	return rand.New(rand.NewPCG(hash.Sum64(), uint64(now.UnixNano())))
}

func (n *Node) identity(now time.Time) membership.Identity {
	return membership.Identity{
		Name:        n.options.VM,
		Address:     n.options.Address,
		DataCentre:  n.options.DataCentre,
		Incarnation: membership.NewIncarnation(now),
		Version:     n.options.Store.Current().Version,
	}
}

// UpdateVMs takes the platform's list of VMs.
func (n *Node) UpdateVMs(vms []platform.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.UpdateListed(vms, time.Now())
}

// Members returns this VM and all that it knows of, in order of name.
func (n *Node) Members() []membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.SetVersion(n.options.Store.InForceVersion())
	return n.table.Members()
}

// PeerCount returns how many other VMs may serve.
func (n *Node) PeerCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.FleetSize() - 1
}

// HasPeers reports whether there is, or may be, another VM that has not left. It
// is true for a VM that was cut off so long that it holds all others dead, which
// PeerCount does not tell from a fleet of one.
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

// Reachable reports whether a peer answered within the bound.
func (n *Node) Reachable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.lastAnswer.IsZero() && time.Since(n.lastAnswer) <= n.settings.ReachableBound
}

// InForce returns the VMs that may serve and are known to have applied the
// version, and those that are not, this VM included.
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

// spawn runs a piece of work that Stop waits for. It reports false once stopped.
func (n *Node) spawn(f func(ctx context.Context)) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.spawnLocked(f)
}

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
