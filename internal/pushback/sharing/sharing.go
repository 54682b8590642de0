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
	// TableName is the name under which peers exchange notices.
	TableName = "pushback"
	// rowKey is the key of the only row.
	rowKey = "notices"
	// maxPending limits the replicas whose changes wait to be offered. A change that is dropped here
	// reaches other VMs with the next refresh, if it sets a limit, or attached to the load reports.
	maxPending = 256
	// batchDelay is how long changes are collected before they are offered together.
	batchDelay = 20 * time.Millisecond
	// refreshInterval is the interval at which limits that stay in force are offered again.
	refreshInterval = 10 * time.Second
)

// Peers sends changes to other VMs.
type Peers interface {
	// OfferAll sends a change of the given age to the VMs from which all others fetch it. It returns the
	// number of VMs that accepted it.
	OfferAll(ctx context.Context, table string, change platform.TableChange, age time.Duration) int
}

// Syncer exchanges the notices of a ledger with other VMs. It is safe for concurrent use.
type Syncer struct {
	ledger  *pushback.Ledger
	peers   Peers
	logger  *zap.Logger
	pending chan incarnation.Key
}

// New returns a Syncer and sets the OnChange function of the ledger. Changes are offered by Run.
func New(ledger *pushback.Ledger, peers Peers, logger *zap.Logger) *Syncer {
	s := &Syncer{ledger: ledger, peers: peers, logger: logger, pending: make(chan incarnation.Key, maxPending)}
	ledger.OnChange(s.enqueue)
	return s
}

// enqueue adds a replica to those whose changes wait to be offered. It does not block.
func (s *Syncer) enqueue(replica incarnation.Key) {
	select {
	case s.pending <- replica:
	default:
		s.logger.Warn("pushback change of a replica not offered: too many are pending", zap.Stringer("replica", replica))
	}
}

// Run offers changes to peers until ctx is done.
func (s *Syncer) Run(ctx context.Context) {
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.pending:
			if !sleep.For(ctx, batchDelay) {
				return
			}
			s.offer(ctx, s.collect(first))
		case <-refresh.C:
			s.offer(ctx, s.ledger.RecentlyLimited(refreshInterval, time.Now()))
		}
	}
}

// collect returns first and all pending replicas.
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

// offer offers the notices about the replicas to peers.
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
		s.logger.Info("pushback of replicas accepted by no peer", zap.Int("replicas", len(replicas)))
	}
}

// Apply merges a change of the given age that a peer has offered.
func (s *Syncer) Apply(change platform.TableChange, age time.Duration) {
	s.Learn(change.Written[rowKey], age)
}

// Attachment returns all notices in encoded form, or nil if there are none.
func (s *Syncer) Attachment() []byte { return s.encode(s.ledger.Notices(time.Now())) }

// encode encodes notices. It returns nil if there are none.
func (s *Syncer) encode(notices []pushback.Notice) []byte {
	if len(notices) == 0 {
		return nil
	}
	row, err := json.Marshal(notices)
	if err != nil {
		s.logger.Error("failed to encode pushback of replicas", zap.Error(err))
		return nil
	}
	return row
}

// Learn merges encoded notices of the given age.
func (s *Syncer) Learn(row []byte, age time.Duration) {
	if len(row) == 0 {
		return
	}
	var notices []pushback.Notice
	if err := json.Unmarshal(row, &notices); err != nil {
		s.logger.Warn("failed to decode pushback of a peer", zap.Error(err))
		return
	}
	s.ledger.Merge(notices, age, time.Now())
}
