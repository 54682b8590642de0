package sharing

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/pushback"
	"geraniumcroft/internal/sleep"
)

const (
	// TableName names the notices among what peers offer each other.
	TableName = "pushback"
	// rowKey is the key of the only row.
	rowKey = "notices"
	// maxPending bounds the replicas that wait to be told of; what is dropped is said again.
	maxPending = 256
	// collectFor is how long changes are collected before they are offered together.
	collectFor = 20 * time.Millisecond
	// sayAgain is the pause between two tellings of limits that hold on.
	sayAgain = 10 * time.Second
)

// Peers hand changes to other VMs.
type Peers interface {
	// OfferAll hands a change to the VMs from which all others learn it, and returns how many took it.
	OfferAll(ctx context.Context, table string, change platform.TableChange, age time.Duration) int
}

// Syncer exchanges a ledger with other VMs. It is safe for concurrent use.
type Syncer struct {
	ledger  *pushback.Ledger
	peers   Peers
	logger  *zap.Logger
	pending chan incarnation.Key
}

// New returns a sharing; Run makes it work.
func New(ledger *pushback.Ledger, peers Peers, logger *zap.Logger) *Syncer {
	s := &Syncer{ledger: ledger, peers: peers, logger: logger, pending: make(chan incarnation.Key, maxPending)}
	ledger.OnChange(s.changed)
	return s
}

func (s *Syncer) changed(replica incarnation.Key) {
	select {
	case s.pending <- replica:
	default:
		s.logger.Warn("change of a replica's pushback not offered to peers", zap.Stringer("replica", replica))
	}
}

// Run offers changes until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	again := time.NewTicker(sayAgain)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.pending:
			if !sleep.For(ctx, collectFor) {
				return
			}
			s.offer(ctx, s.collect(first))
		case <-again.C:
			s.offer(ctx, s.ledger.RecentlyLimited(sayAgain, time.Now()))
		}
	}
}

// collect returns what waits to be offered.
func (s *Syncer) collect(first incarnation.Key) []incarnation.Key {
	replicas := []incarnation.Key{first}
	for {
		select {
		case next := <-s.pending:
			replicas = append(replicas, next)
		default:
			return replicas
		}
	}
}

func (s *Syncer) offer(ctx context.Context, replicas []incarnation.Key) {
	if len(replicas) == 0 {
		return
	}
	row := s.encode(s.ledger.Notices(time.Now(), replicas...))
	if row == nil {
		return
	}
	change := platform.TableChange{Written: map[string][]byte{rowKey: row}}
	if s.peers.OfferAll(ctx, TableName, change, 0) == 0 {
		s.logger.Info("pushback of replicas taken by no peer", zap.Int("replicas", len(replicas)))
	}
}

// Apply takes what a peer offers, of the given age.
func (s *Syncer) Apply(change platform.TableChange, age time.Duration) {
	s.Learn(change.Written[rowKey], age)
}

// Attachment returns all notices, encoded, nil if there are none.
func (s *Syncer) Attachment() []byte { return s.encode(s.ledger.Notices(time.Now())) }

func (s *Syncer) encode(notices []pushback.Notice) []byte {
	if len(notices) == 0 {
		return nil
	}
	row, err := json.Marshal(notices)
	if err != nil {
		s.logger.Error("pushback of replicas not encoded", zap.Error(err))
		return nil
	}
	return row
}

// Learn takes encoded notices of the given age.
func (s *Syncer) Learn(row []byte, age time.Duration) {
	if len(row) == 0 {
		return
	}
	var notices []pushback.Notice
	if err := json.Unmarshal(row, &notices); err != nil {
		s.logger.Warn("peer's notices of replicas not read", zap.Error(err))
		return
	}
	s.ledger.Merge(notices, age, time.Now())
}
