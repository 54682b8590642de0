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
	// interval is the time between two boards, and between two questions to peers.
	interval = time.Second
	// askTimeout bounds the question to one replica, which answers within some 2 ms;
	// peerTimeout that to peers.
	askTimeout  = 250 * time.Millisecond
	peerTimeout = 700 * time.Millisecond
	// askAgain is the pause before a replica that did not answer is asked once more. A
	// dead one is so known after one round, and an answer that was lost harms nobody.
	askAgain = 100 * time.Millisecond
	// askedAtOnce bounds the replicas that are asked at the same moment.
	askedAtOnce = 16
	// tenureShift leaves room for the boards of one tenure below the tenure's number,
	// so that a later holder's boards replace an earlier one's.
	tenureShift = 32
)

// Client asks replicas for their load.
type Client interface {
	Load(ctx context.Context, address string) (layers.Load, error)
}

// Peers exchanges copies of the board with other VMs.
type Peers interface {
	// Offer hands the board to one of the VMs that others ask in each data centre.
	Offer(ctx context.Context, table string, change platform.TableChange, age time.Duration)
	// FetchOne returns one peer's copy of the board if it is newer than a revision.
	FetchOne(ctx context.Context, table string, after uint64) (platform.TableChange, time.Duration, bool)
}

// Options configure a Keeper.
type Options struct {
	Cache  *Cache
	Client Client
	Peers  Peers
	// Tenure returns the number of this VM's tenure of the duty, and whether it has the
	// duty now.
	Tenure func() (uint64, bool)
	// ListReplicas returns the replicas that are to be asked.
	ListReplicas func() []layers.Replica
	// MayAsk reports whether a replica may be asked now; nil stands for all. One that is not asked is
	// missing on the board.
	MayAsk func(incarnation.Key) bool
	Logger *zap.Logger
}

// Collector keeps a board up to date.
type Collector struct {
	Options
	round uint64
	// down are the replicas that did not answer in the last round.
	down map[incarnation.Key]bool
}

// NewCollector returns a keeper; Run makes it work.
func NewCollector(o Options) *Collector {
	return &Collector{Options: o, down: map[incarnation.Key]bool{}}
}

// Run asks peers, and the replicas while this VM has the duty, until ctx ends. A holder
// asks peers too: a board of a later tenure tells it that it is none any more.
func (k *Collector) Run(ctx context.Context) {
	for pause := interval; sleep.For(ctx, pause); {
		began := time.Now()
		k.copy(ctx)
		if tenure, ok := k.Tenure(); ok {
			k.ask(ctx, tenure)
		}
		pause = max(0, interval-time.Since(began))
	}
}

func (k *Collector) copy(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	change, age, ok := k.Peers.FetchOne(ctx, TableName, k.Cache.Revision())
	if ok {
		k.Cache.Take(change, age)
	}
}

// ask makes a new board of the replicas' own answers.
func (k *Collector) ask(ctx context.Context, tenure uint64) {
	listed := k.ListReplicas()
	var mu sync.Mutex // guards the map below
	loads := make(map[incarnation.Key]layers.Load, len(listed))
	var asking errgroup.Group
	asking.SetLimit(askedAtOnce)
	for _, r := range listed {
		if k.MayAsk != nil && !k.MayAsk(r.Key()) {
			continue
		}
		asking.Go(func() error {
			load, err := k.load(ctx, r.Address)
			if err != nil {
				load = layers.Load{Down: true}
			}
			mu.Lock()
			defer mu.Unlock()
			loads[reporter(r, load)] = load
			if load.Down && !k.down[r.Key()] {
				k.Logger.Warn("replica does not answer", zap.Stringer("replica", r.Key()), zap.String("address", r.Address), zap.Error(err))
			}
			return nil
		})
	}
	_ = asking.Wait() // an answer that is missing is noted above
	if ctx.Err() != nil {
		return
	}
	k.down = map[incarnation.Key]bool{}
	for key, load := range loads {
		if load.Down {
			k.down[key] = true
		}
	}
	k.round++
	k.Cache.publish(tenure<<tenureShift|k.round, loads)
	k.offer(ctx)
}

// reporter is the incarnation that reported: a replica that has started again says so
// seconds before discovery does. One that does not give its start is the one that is listed.
func reporter(r layers.Replica, load layers.Load) incarnation.Key {
	key := r.Key()
	if load.Born > 0 {
		key.Born = load.Born
	}
	return key
}

// load asks a replica, and once more if it does not answer.
func (k *Collector) load(ctx context.Context, address string) (layers.Load, error) {
	load, err := k.loadOnce(ctx, address)
	if err != nil && sleep.For(ctx, askAgain) {
		load, err = k.loadOnce(ctx, address)
	}
	return load, err
}

func (k *Collector) loadOnce(ctx context.Context, address string) (layers.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return k.Client.Load(ctx, address)
}

// offer hands the new board on. The others ask a few VMs only, and the holder of the
// duty need not be among those: without this its boards would reach nobody.
func (k *Collector) offer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if change, age, ok := k.Cache.Since(0); ok {
		k.Peers.Offer(ctx, TableName, change, age)
	}
}
