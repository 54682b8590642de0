package placer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/sleep"
)

// Duty is the name of the lease under which replicas get orders.
const Duty = "placement"

const (
	// interval is the pause between two rounds over the replicas.
	interval = 200 * time.Millisecond
	// maxConcurrentOrders bounds the orders that are sent at the same time.
	maxConcurrentOrders = 16
	// minListStableTime is how long no new replica must have been listed before the first layers
	// are assigned. Replicas that start together are listed within one or two heartbeats. A
	// layout for the first few of them would leave them no memory for requests, and each later
	// replica would make layers move.
	minListStableTime = 1500 * time.Millisecond
	// joinWait is how long a replica that joins a complete set waits for a gap in the coverage.
	// In a rolling replacement the old replica begins to leave about a second after the new one
	// has started.
	joinWait = 2500 * time.Millisecond
)

// Holder reports whether this VM holds the lease.
type Holder interface {
	// Holds is called directly before each order.
	Holds() bool
}

// Options configure a Placer.
type Options struct {
	Engines Engines
	Holder  Holder
	// Model returns the model's description and its replicas as discovery lists them.
	Model func() (*layers.Spec, []layers.Replica)
	// ObserveIncarnation is called when another incarnation of a replica answers than the one
	// that was to be ordered.
	ObserveIncarnation func(incarnation.Key)
	// LastReport returns the last load report of an incarnation, and whether there is one.
	LastReport func(incarnation.Key) (layers.Load, bool)
	Logger     *zap.Logger
}

// Placer orders the replicas of one model to hold layers.
type Placer struct {
	Options

	// firstListed is when each listed replica first appeared in the list, lastAdded when the
	// newest did. Only Run uses them.
	firstListed map[incarnation.Key]time.Time
	lastAdded   time.Time
	// addresses holds the incarnation that was listed last at each address, restarted those that followed
	// another one at their address. Only Run uses them.
	addresses map[string]incarnation.Key
	restarted map[incarnation.Key]bool
	// lastPlacement caches the last placement. Only Run uses it.
	lastPlacement placement

	mu     sync.Mutex // guards the field below
	orders map[incarnation.Key]order
}

// placement is the range that each replica is to hold, with the inputs of the computation.
type placement struct {
	spec     *layers.Spec
	replicas []layers.Replica
	wanted   map[string]config.LayerRange
}

// New returns a placer. It sends no orders until Run is called.
func New(o Options) *Placer {
	return &Placer{Options: o, firstListed: map[incarnation.Key]time.Time{}, addresses: map[string]incarnation.Key{}, restarted: map[incarnation.Key]bool{}, orders: map[incarnation.Key]order{}}
}

// Run orders replicas while this VM holds the lease, until ctx ends.
func (p *Placer) Run(ctx context.Context) {
	for sleep.For(ctx, interval) {
		spec, replicas := p.Model()
		if spec == nil {
			continue
		}
		listComplete := p.listComplete(replicas)
		if !p.Holder.Holds() {
			p.dropOrders()
			continue
		}
		if listComplete {
			p.step(ctx, spec, replicas)
		}
	}
}

// listComplete reports whether the list of replicas is complete enough to place layers on.
// Once some replica holds layers, there is no need to wait.
func (p *Placer) listComplete(replicas []layers.Replica) bool {
	holding := false
	firstListed := make(map[incarnation.Key]time.Time, len(replicas))
	for _, r := range replicas {
		since, listed := p.firstListed[r.Key()]
		if !listed {
			since = time.Now()
			p.lastAdded = since
			p.recordAddress(r)
		}
		firstListed[r.Key()] = since
		holding = holding || r.Held.Len() > 0
	}
	p.firstListed = firstListed
	return holding || len(replicas) > 0 && time.Since(p.lastAdded) >= minListStableTime
}

// recordAddress records a replica that has just been listed. One at the address of an earlier incarnation
// is a restart and replaces no replica that is about to leave: that one would still use its address.
func (p *Placer) recordAddress(r layers.Replica) {
	if earlier, known := p.addresses[r.Address]; known && earlier != r.Key() {
		delete(p.restarted, earlier)
		p.restarted[r.Key()] = true
	}
	p.addresses[r.Address] = r.Key()
}

// dropOrders deletes all orders. A VM without the lease does not know what others order.
func (p *Placer) dropOrders() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.orders)
}

// step sends an order to each replica that is to hold another range than it reports.
func (p *Placer) step(ctx context.Context, spec *layers.Spec, replicas []layers.Replica) {
	p.dropSupersededOrders()
	wanted := p.place(spec, p.expected(spec, replicas))
	var orders errgroup.Group
	orders.SetLimit(maxConcurrentOrders)
	for _, r := range replicas {
		held, ok := wanted[r.ID]
		if !ok || held == r.Held || r.Draining || !p.isDue(r.Key(), held) {
			continue
		}
		orders.Go(func() error {
			p.sendOrder(ctx, spec, r, held)
			return nil
		})
	}
	_ = orders.Wait() // each order logs its own failure
}

// place returns the placement. It computes it only if an input has changed since the last round:
// with 1,000 replicas a computation takes tens of ms, and there are five rounds a second.
func (p *Placer) place(spec *layers.Spec, replicas []layers.Replica) map[string]config.LayerRange {
	slices.SortFunc(replicas, func(a, b layers.Replica) int { return strings.Compare(a.ID, b.ID) })
	if p.lastPlacement.spec != spec || !slices.Equal(p.lastPlacement.replicas, replicas) {
		p.lastPlacement = placement{spec: spec, replicas: replicas, wanted: layers.Place(spec, replicas)}
	}
	return p.lastPlacement.wanted
}

// expected returns the replicas with the ranges that they were ordered to hold, so that loads in
// progress are not planned again.
func (p *Placer) expected(spec *layers.Spec, replicas []layers.Replica) []layers.Replica {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	expected := make([]layers.Replica, len(replicas))
	for i, r := range replicas {
		expected[i] = r
		// Where the bottleneck counts, a restarted replica is used at once.
		expected[i].Joining = now.Sub(p.firstListed[r.Key()]) < joinWait && !(spec.PlaceForBottleneck && p.restarted[r.Key()])
		if o, ok := p.orders[r.Key()]; ok && now.Before(o.reportBy) && o.held != r.Held {
			expected[i].Held, expected[i].Loading = o.held, true
		}
	}
	return expected
}
