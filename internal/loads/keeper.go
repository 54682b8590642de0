package loads

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/sleep"
)

const (
	// interval is the pause between two boards, and between two questions to peers.
	interval = time.Second
	// askTimeout bounds the question to one replica, peerTimeout that to peers.
	askTimeout  = 300 * time.Millisecond
	peerTimeout = 700 * time.Millisecond
	// askedAtOnce bounds the replicas that are asked at the same moment.
	askedAtOnce = 16
	// missedAnswers is how many questions in a row a replica may leave unanswered before
	// the board shows it as down.
	missedAnswers = 2
	// tenureShift leaves room for the boards of one tenure below the tenure's number,
	// so that a later holder's boards replace an earlier one's.
	tenureShift = 32
)

// Replicas asks replicas for their load.
type Replicas interface {
	Load(ctx context.Context, address string) (layers.Load, error)
}

// Peers exchanges copies of the board with other VMs.
type Peers interface {
	// Offer hands the board to some of the VMs that the others ask.
	Offer(ctx context.Context, table string, change platform.TableChange, age time.Duration)
	// Fetch returns a peer's copy of the board if it is newer than a revision.
	Fetch(ctx context.Context, table string, after uint64) (platform.TableChange, time.Duration, bool)
}

// Options configure a Keeper.
type Options struct {
	Board    *Board
	Replicas Replicas
	Peers    Peers
	// Tenure returns the number of this VM's tenure of the duty, and whether it has the
	// duty now.
	Tenure func() (uint64, bool)
	// Listed returns the replicas that are to be asked.
	Listed func() []layers.Replica
	Logger *zap.Logger
}

// Keeper keeps a board up to date.
type Keeper struct {
	Options
	round  uint64
	missed map[string]int
}

// NewKeeper returns a keeper; Run makes it work.
func NewKeeper(o Options) *Keeper { return &Keeper{Options: o, missed: map[string]int{}} }

// Run asks replicas while this VM has the duty, and peers otherwise, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for sleep.For(ctx, interval) {
		if tenure, ok := k.Tenure(); ok {
			k.ask(ctx, tenure)
			continue
		}
		k.copy(ctx)
	}
}

func (k *Keeper) copy(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	change, age, ok := k.Peers.Fetch(ctx, TableName, k.Board.Revision())
	if ok {
		k.Board.Take(change, age)
	}
}

// ask makes a new board of the replicas' own answers.
func (k *Keeper) ask(ctx context.Context, tenure uint64) {
	listed := k.Listed()
	var mu sync.Mutex // guards the maps below
	loads := make(map[string]layers.Load, len(listed))
	missed := make(map[string]int, len(listed))
	var asking errgroup.Group
	asking.SetLimit(askedAtOnce)
	for _, r := range listed {
		asking.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			load, err := k.Replicas.Load(ctx, r.Address)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				loads[r.ID] = load
				return nil
			}
			missed[r.ID] = k.missed[r.ID] + 1
			if missed[r.ID] >= missedAnswers {
				loads[r.ID] = layers.Load{Down: true}
			}
			if missed[r.ID] == missedAnswers {
				k.Logger.Warn("replica does not answer", zap.String("replica", r.ID), zap.String("address", r.Address), zap.Error(err))
			}
			return nil
		})
	}
	_ = asking.Wait() // an answer that is missing is noted above
	k.missed = missed
	k.round++
	k.Board.publish(tenure<<tenureShift|k.round, loads)
	k.offer(ctx)
}

// offer hands the new board on. The others ask a few VMs only, and the holder of the
// duty need not be among those: without this its boards would reach nobody.
func (k *Keeper) offer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if change, age, ok := k.Board.Since(0); ok {
		k.Peers.Offer(ctx, TableName, change, age)
	}
}
