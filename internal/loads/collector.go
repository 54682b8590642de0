package loads

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/sleep"
)

const (
	// interval is the time between two snapshots, and between two requests to peers.
	interval = time.Second
	// pollTimeout bounds one poll of a replica, which answers within about 2 ms. peerTimeout
	// bounds a request to a peer.
	pollTimeout = 250 * time.Millisecond
	peerTimeout = 700 * time.Millisecond
	// pollRetryDelay is the pause before a replica that did not answer is polled once more.
	// A dead replica is then known after one round, and a single lost answer does no harm.
	pollRetryDelay = 100 * time.Millisecond
	// maxConcurrentPolls limits the replicas that are polled at the same time.
	maxConcurrentPolls = 16
	// tenureShift is the number of bits of a revision below the number of the tenure. They
	// count the snapshots of one tenure, so the snapshots of a later holder replace those of
	// an earlier one.
	tenureShift = 32
)

// Client polls replicas for their load.
type Client interface {
	Load(ctx context.Context, address string) (layers.Load, error)
}

// Peers exchanges copies of the snapshot with other VMs.
type Peers interface {
	// Offer sends the snapshot to one of the VMs that others ask, in each data centre.
	Offer(ctx context.Context, table string, change platform.TableChange, age time.Duration)
	// FetchOne returns one peer's copy of the snapshot if it is newer than a revision.
	FetchOne(ctx context.Context, table string, after uint64) (platform.TableChange, time.Duration, bool)
}

// Options configure a Collector.
type Options struct {
	Cache  *Cache
	Client Client
	Peers  Peers
	// Tenure returns the number of this VM's tenure of the duty, and whether it has the
	// duty now.
	Tenure func() (uint64, bool)
	// ListReplicas returns the replicas to poll.
	ListReplicas func() []layers.Replica
	// MayAsk reports whether a replica may be polled now; nil means always. A replica that is
	// not polled is missing in the snapshot.
	MayAsk func(incarnation.Key) bool
	Logger *zap.Logger
}

// Collector keeps a Cache up to date.
type Collector struct {
	Options
	round uint64
	// lastDown are the replicas that did not answer in the last round.
	lastDown map[incarnation.Key]bool
}

// NewCollector returns a collector. Run starts its work.
func NewCollector(o Options) *Collector {
	return &Collector{Options: o, lastDown: map[incarnation.Key]bool{}}
}

// Run copies snapshots from peers, and polls the replicas while this VM has the duty, until
// ctx ends. A holder asks peers too: a snapshot of a later tenure shows that it no longer has
// the duty.
func (c *Collector) Run(ctx context.Context) {
	for pause := interval; sleep.For(ctx, pause); {
		start := time.Now()
		c.fetchFromPeer(ctx)
		if tenure, ok := c.Tenure(); ok {
			c.poll(ctx, tenure)
		}
		pause = max(0, interval-time.Since(start))
	}
}

// fetchFromPeer copies a newer snapshot from a peer.
func (c *Collector) fetchFromPeer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	change, age, ok := c.Peers.FetchOne(ctx, TableName, c.Cache.Revision())
	if ok {
		c.Cache.Take(change, age)
	}
}

// poll makes a new snapshot from the answers of the replicas, and offers it to peers.
func (c *Collector) poll(ctx context.Context, tenure uint64) {
	replicas := c.ListReplicas()
	var mu sync.Mutex // guards the map below
	loads := make(map[incarnation.Key]layers.Load, len(replicas))
	var polls errgroup.Group
	polls.SetLimit(maxConcurrentPolls)
	for _, r := range replicas {
		if c.MayAsk != nil && !c.MayAsk(r.Key()) {
			continue
		}
		polls.Go(func() error {
			load, err := c.load(ctx, r.Address)
			if err != nil {
				load = layers.Load{Down: true}
			}
			mu.Lock()
			defer mu.Unlock()
			loads[reportingKey(r, load)] = load
			if load.Down && !c.lastDown[r.Key()] {
				c.Logger.Warn("replica does not answer", zap.Stringer("replica", r.Key()), zap.String("address", r.Address), zap.Error(err))
			}
			return nil
		})
	}
	_ = polls.Wait() // missing answers are recorded above
	if ctx.Err() != nil {
		return
	}
	c.lastDown = map[incarnation.Key]bool{}
	for key, load := range loads {
		if load.Down {
			c.lastDown[key] = true
		}
	}
	c.round++
	c.Cache.publish(tenure<<tenureShift|c.round, loads)
	c.offer(ctx)
}

// reportingKey returns the incarnation that reported. A replica that has restarted reports
// its new start seconds before discovery shows it. A replica that reports no start is taken
// for the listed incarnation.
func reportingKey(r layers.Replica, load layers.Load) incarnation.Key {
	key := r.Key()
	if load.Born > 0 {
		key.Born = load.Born
	}
	return key
}

// load polls a replica for its load, and once more if it does not answer.
func (c *Collector) load(ctx context.Context, address string) (layers.Load, error) {
	load, err := c.pollOnce(ctx, address)
	if err != nil && sleep.For(ctx, pollRetryDelay) {
		load, err = c.pollOnce(ctx, address)
	}
	return load, err
}

// pollOnce polls a replica once.
func (c *Collector) pollOnce(ctx context.Context, address string) (layers.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return c.Client.Load(ctx, address)
}

// offer sends the new snapshot to peers. VMs ask only a few of the others, and the holder of
// the duty need not be one of these: its snapshots would then reach no other VM.
func (c *Collector) offer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if change, age, ok := c.Cache.Since(0); ok {
		c.Peers.Offer(ctx, TableName, change, age)
	}
}
