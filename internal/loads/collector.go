package loads

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/sleep"
)

const (
	// interval is the time between two snapshots, and between two requests to peers.
	interval = time.Second
	// peerTimeout bounds a request to a peer.
	peerTimeout = 700 * time.Millisecond
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
	// FetchOne returns one peer's copy of the snapshot if it is newer than a version.
	FetchOne(ctx context.Context, table string, after platform.Version) (platform.TableChange, time.Duration, bool)
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
	// DataCentres returns the data centres that have replicas.
	DataCentres func() []string
	// MayAsk reports whether a replica may be polled now; nil means always. A replica that is
	// not polled is missing in the snapshot.
	MayAsk func(incarnation.Key) bool
	Logger *zap.Logger
}

// Collector keeps a Cache up to date.
type Collector struct {
	Options
	rounds uint64
	poller *poller
}

// NewCollector returns a collector. Run starts its work.
func NewCollector(o Options) *Collector {
	return &Collector{Options: o, poller: newPoller(o.Client, o.Logger)}
}

// Run copies snapshots from peers, and polls the replicas while this VM has the duty, until
// ctx ends. A holder asks peers too: a snapshot of a later tenure shows that it no longer has
// the duty.
func (c *Collector) Run(ctx context.Context) {
	defer c.poller.work.Wait()
	for pause := interval; sleep.For(ctx, pause); {
		start := time.Now()
		c.fetchFromPeer(ctx)
		if tenure, ok := c.Tenure(); ok {
			c.poll(ctx, tenure)
		}
		pause = max(0, interval-time.Since(start))
	}
}

// fetchFromPeer copies newer parts of the snapshot from peers.
func (c *Collector) fetchFromPeer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	for _, dataCentre := range c.Cache.wanted(c.DataCentres()) {
		change, age, ok := c.Peers.FetchOne(ctx, partTable(dataCentre), platform.Version{Revision: c.Cache.partRevision(dataCentre)})
		if ok {
			c.Cache.Take(change, age)
		}
	}
	c.Cache.readWanted()
}

// poll makes a new snapshot from the answers of the replicas, and offers it to peers.
func (c *Collector) poll(ctx context.Context, tenure uint64) {
	replicas := c.ListReplicas()
	if c.MayAsk != nil {
		replicas = slices.DeleteFunc(replicas, func(r layers.Replica) bool { return !c.MayAsk(r.Key()) })
	}
	loads := c.poller.round(ctx, replicas)
	if ctx.Err() != nil {
		return
	}
	if len(replicas) > 0 && !anyAnswered(loads) {
		// No snapshot: this VM may be cut off from all replicas, and the last one that others have is
		// better than none.
		c.Logger.Warn("no replica answers; loads not renewed", zap.Int("replicas", len(replicas)), zap.Uint64("tenure", tenure))
		return
	}
	c.rounds++
	c.Cache.publish(tenure<<tenureShift|c.rounds, byDataCentre(loads, replicas))
	c.offer(ctx)
}

// anyAnswered reports whether at least one replica is not down.
func anyAnswered(loads map[incarnation.Key]layers.Load) bool {
	for _, load := range loads {
		if !load.Down {
			return true
		}
	}
	return false
}

// byDataCentre divides loads by the data centres of the replicas. Each data centre with replicas has
// a part, though it may be empty.
func byDataCentre(loads map[incarnation.Key]layers.Load, replicas []layers.Replica) map[string]map[incarnation.Key]layers.Load {
	dataCentres := make(map[string]string, len(replicas))
	parts := map[string]map[incarnation.Key]layers.Load{}
	for _, r := range replicas {
		dataCentres[r.ID] = r.DataCentre
		if parts[r.DataCentre] == nil {
			parts[r.DataCentre] = map[incarnation.Key]layers.Load{}
		}
	}
	for k, load := range loads {
		if part := parts[dataCentres[k.ID]]; part != nil {
			part[k] = load
		}
	}
	return parts
}

// offer sends the new snapshot to peers. VMs ask only a few of the others, and the holder of
// the duty need not be one of these: its snapshots would then reach no other VM.
func (c *Collector) offer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if change, age, ok := c.Cache.Since(TableName, 0); ok {
		c.Peers.Offer(ctx, TableName, change, age)
	}
}
