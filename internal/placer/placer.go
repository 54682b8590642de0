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

// Duty is the name of the lease under which replicas are ordered.
const Duty = "placement"

const (
	// interval is the pause between two looks at the replicas.
	interval = 200 * time.Millisecond
	// ordersAtOnce bounds the orders under way.
	ordersAtOnce = 16
	// gathering is how long no new replica must have been listed before the first
	// layers are given out. Replicas that start together are listed within one or two
	// heartbeats; a layout for the first few of them leaves them without room for
	// requests, and every later one would have to move layers.
	gathering = 1500 * time.Millisecond
	// joining is how long a replica that joins a complete set waits for a hole. In a
	// rolling replacement the old one begins to leave about a second after the new one
	// has come.
	joining = 2500 * time.Millisecond
)

// Holder tells whether this VM has the duty now.
type Holder interface {
	// Holds is asked right before each order.
	Holds() bool
}

// Options configure a Placer.
type Options struct {
	Engines Engines
	Holder  Holder
	// Model returns the model's description and its replicas as discovery lists them.
	Model func() (*layers.Spec, []layers.Replica)
	// ObserveIncarnation is told which incarnation of a replica answered.
	ObserveIncarnation func(incarnation.Key)
	// LastReport returns what an incarnation last reported, if it did.
	LastReport func(incarnation.Key) (layers.Load, bool)
	Logger     *zap.Logger
}

// Placer orders the replicas of one model.
type Placer struct {
	Options

	// known says since when replicas have been listed, the newest one since lastNew. Run
	// alone uses them.
	known   map[incarnation.Key]time.Time
	lastNew time.Time
	// last is what the placement was last computed from and gave. Only Run uses it.
	last placed

	mu      sync.Mutex // guards the field below
	ordered map[incarnation.Key]order
}

// placed is a placement with what it was computed from.
type placed struct {
	spec     *layers.Spec
	replicas []layers.Replica
	wanted   map[string]config.LayerRange
}

// New returns a placer; Run makes it work.
func New(o Options) *Placer {
	return &Placer{Options: o, known: map[incarnation.Key]time.Time{}, ordered: map[incarnation.Key]order{}}
}

// Run orders replicas while this VM holds the duty, until ctx ends.
func (p *Placer) Run(ctx context.Context) {
	for sleep.For(ctx, interval) {
		spec, replicas := p.Model()
		if spec == nil {
			continue
		}
		gathered := p.gathered(replicas)
		if !p.Holder.Holds() {
			p.forget()
			continue
		}
		if gathered {
			p.step(ctx, spec, replicas)
		}
	}
}

// gathered reports whether the list of replicas is complete enough to place layers on.
// Once some replica holds layers there is nothing to wait for.
func (p *Placer) gathered(replicas []layers.Replica) bool {
	holding := false
	known := make(map[incarnation.Key]time.Time, len(replicas))
	for _, r := range replicas {
		since, listed := p.known[r.Key()]
		if !listed {
			since = time.Now()
			p.lastNew = since
		}
		known[r.Key()] = since
		holding = holding || r.Held.Len() > 0
	}
	p.known = known
	return holding || len(replicas) > 0 && time.Since(p.lastNew) >= gathering
}

func (p *Placer) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.ordered)
}

// step orders every replica that is to hold another range than it does.
func (p *Placer) step(ctx context.Context, spec *layers.Spec, replicas []layers.Replica) {
	p.forgetOvertaken()
	wanted := p.place(spec, p.expected(replicas))
	var orders errgroup.Group
	orders.SetLimit(ordersAtOnce)
	for _, r := range replicas {
		held, ok := wanted[r.ID]
		if !ok || held == r.Held || r.Draining || !p.due(r.Key(), held) {
			continue
		}
		orders.Go(func() error {
			p.order(ctx, spec, r, held)
			return nil
		})
	}
	_ = orders.Wait() // each order logs its own failure
}

// place computes the placement, unless nothing has changed since the last look: with 1,000
// replicas each computation takes tens of ms, and there are five looks a second.
func (p *Placer) place(spec *layers.Spec, replicas []layers.Replica) map[string]config.LayerRange {
	slices.SortFunc(replicas, func(a, b layers.Replica) int { return strings.Compare(a.ID, b.ID) })
	if p.last.spec != spec || !slices.Equal(p.last.replicas, replicas) {
		p.last = placed{spec: spec, replicas: replicas, wanted: layers.Place(spec, replicas)}
	}
	return p.last.wanted
}

// expected returns the replicas with the ranges that they were ordered to hold, so that
// loads under way are not planned anew.
func (p *Placer) expected(replicas []layers.Replica) []layers.Replica {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	expected := make([]layers.Replica, len(replicas))
	for i, r := range replicas {
		expected[i] = r
		expected[i].Joining = now.Sub(p.known[r.Key()]) < joining
		if o, ok := p.ordered[r.Key()]; ok && now.Before(o.until) && o.held != r.Held {
			expected[i].Held, expected[i].Loading = o.held, true
		}
	}
	return expected
}
