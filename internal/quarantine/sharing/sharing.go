package sharing

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/quarantine"
	"geraniumcroft/internal/sleep"
)

const (
	// maxPending limits the changes waiting to be offered, and the peers waiting to be fetched from.
	// Peers fetch a dropped change when they see the revision of the ledger; a dropped peer is added
	// again with its next answer.
	maxPending = 1024
	// batchDelay is how long changes are collected before they are offered together: the crash of a
	// replica changes the records of all requests on it.
	batchDelay = 5 * time.Millisecond
	// offerRetryInterval is the pause before a change that no peer has accepted is offered again, and
	// maxOffers the number of offers. Peers that never fetch from this VM get its changes only by
	// offers.
	offerRetryInterval = 300 * time.Millisecond
	maxOffers          = 30
	// storeInterval is the pause between two attempts to read from or write to the table.
	storeInterval = time.Second
)

// Syncer synchronizes a ledger with those of other VMs. It is safe for concurrent use.
type Syncer struct {
	Options
	// epoch is the time that the times in this VM's reports are relative to.
	epoch   time.Time
	pending chan quarantine.Digest
	// toFetch holds the addresses of peers whose ledgers have changed.
	toFetch chan string
	rows    *rows

	mu sync.Mutex // guards the fields below
	// cursors holds, by address, the revision up to which the reports of a peer are merged.
	cursors map[string]uint64
	// fetching holds the peers that are in toFetch or being fetched from.
	fetching map[string]bool
}

// New returns a Syncer. It exchanges nothing until Run is called.
func New(o Options) *Syncer {
	s := &Syncer{
		Options: o, epoch: time.Now(), pending: make(chan quarantine.Digest, maxPending), rows: newRows(o.Table, o.Logger),
		cursors: map[string]uint64{}, fetching: map[string]bool{}, toFetch: make(chan string, maxPending),
	}
	o.Eras.OnRaise(func(uint64) { s.rows.markWrittenDirty() })
	return s
}

// Publish offers a change of the record of a request to other VMs. It does not block: if too many changes
// are pending, the change is logged and dropped.
func (s *Syncer) Publish(d quarantine.Digest) {
	select {
	case s.pending <- d:
	default:
		s.Logger.Warn("change of the quarantine not offered: too many are pending", zap.Stringer("digest", d))
	}
}

// ObserveRevision records the revision of a peer's ledger and schedules a fetch if the peer has
// changes. It does not block.
func (s *Syncer) ObserveRevision(address string, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cursors[address] == revision || s.fetching[address] {
		return
	}
	if revision < s.cursors[address] {
		s.cursors[address] = 0 // the peer has restarted
	}
	select {
	case s.toFetch <- address:
		s.fetching[address] = true
	default: // the next answer of the peer carries its revision again
	}
}

// Since returns the reports that changed after a revision of this VM's ledger, with the age of the
// epoch that their times are relative to. The last result is always true.
func (s *Syncer) Since(after uint64) (platform.TableChange, time.Duration, bool) {
	reports, revision := s.Ledger.Since(after, s.epoch)
	return s.change(reports, revision), time.Since(s.epoch), true
}

// change encodes reports as a table change with the given revision.
func (s *Syncer) change(reports []quarantine.Report, revision uint64) platform.TableChange {
	change := platform.TableChange{Version: platform.Version{Revision: revision}, Written: make(map[string][]byte, len(reports))}
	for _, report := range reports {
		row, err := json.Marshal(report)
		if err != nil {
			s.Logger.Error("failed to encode report of a request", zap.Stringer("digest", report.Digest), zap.Error(err))
			continue
		}
		change.Written[report.Digest.String()] = row
	}
	return change
}

// Apply merges the reports of a peer, whose times are relative to an epoch of the given age.
func (s *Syncer) Apply(change platform.TableChange, age time.Duration) {
	reports := make([]quarantine.Report, 0, len(change.Written))
	for key, row := range change.Written {
		var report quarantine.Report
		if err := json.Unmarshal(row, &report); err != nil {
			s.Logger.Warn("failed to decode report of a request", zap.String("digest", key), zap.Error(err))
			continue
		}
		reports = append(reports, report)
	}
	s.merge(reports, time.Now().Add(-age), "peer")
}

// merge merges reports whose times are relative to epoch.
func (s *Syncer) merge(reports []quarantine.Report, epoch time.Time, from string) {
	changed, acquitted := s.Ledger.Merge(reports, epoch, time.Now())
	for _, d := range acquitted {
		s.Logger.Info("quarantine of other VMs contradicted by successful runs", zap.Stringer("digest", d))
		s.Publish(d)
	}
	suspected := 0
	for _, d := range changed {
		status := s.Ledger.Lookup(d, time.Now())
		if !status.Quarantined {
			suspected++
			continue
		}
		s.Logger.Info("report of a request that may crash replicas", zap.Stringer("digest", d), zap.String("from", from),
			zap.Int("ends", status.Crashes), zap.Bool("quarantined", status.Quarantined), zap.Strings("replicas", s.Ledger.CrashedReplicas(d)))
	}
	if suspected > 0 {
		s.Logger.Info("reports of requests that are not quarantined", zap.String("from", from), zap.Int("reports", suspected))
	}
}

// Run exchanges reports until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { s.offerLoop(ctx, &work) })
	work.Go(func() { s.fetchLoop(ctx, &work) })
	work.Go(func() { s.tableLoop(ctx) })
	work.Wait()
}

// offerLoop offers pending changes to peers.
func (s *Syncer) offerLoop(ctx context.Context, work *sync.WaitGroup) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.pending:
			sleep.For(ctx, batchDelay)
			digests := s.collect(first)
			work.Go(func() { s.offer(ctx, digests) })
		}
	}
}

// collect returns first and all pending requests, without duplicates.
func (s *Syncer) collect(first quarantine.Digest) []quarantine.Digest {
	digests, seen := []quarantine.Digest{first}, map[quarantine.Digest]bool{first: true}
	for {
		select {
		case d := <-s.pending:
			if !seen[d] {
				digests, seen[d] = append(digests, d), true
			}
		default:
			return digests
		}
	}
}

// offer offers the reports of the requests until a peer accepts them, at most maxOffers times.
func (s *Syncer) offer(ctx context.Context, digests []quarantine.Digest) {
	for _, d := range digests {
		s.rows.markShared(d, s.Ledger.Lookup(d, time.Now()).Quarantined)
	}
	change := s.change(s.Ledger.Reports(s.epoch, digests...), s.Ledger.Revision())
	for range maxOffers {
		if s.Peers.OfferAll(ctx, quarantine.TableName, change, time.Since(s.epoch)) > 0 || !sleep.For(ctx, offerRetryInterval) {
			return
		}
	}
	s.Logger.Warn("change of the quarantine taken by no peer", zap.Int("requests", len(digests)))
}

// fetchLoop fetches from the peers in toFetch.
func (s *Syncer) fetchLoop(ctx context.Context, work *sync.WaitGroup) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-s.toFetch:
			work.Go(func() { s.fetch(ctx, address) })
		}
	}
}

// fetch fetches and merges the reports of one peer that are new since its cursor.
func (s *Syncer) fetch(ctx context.Context, address string) {
	s.mu.Lock()
	after := s.cursors[address]
	s.mu.Unlock()
	change, age, ok := s.Peers.FetchFrom(ctx, address, quarantine.TableName, platform.Version{Revision: after})
	if ok {
		s.Apply(change, age)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.fetching, address)
	if ok {
		s.cursors[address] = change.Revision
	}
}

// Lift ends the quarantine or suspicion of a request on all VMs, on behalf of an operator. It reports
// whether the request had crashes that counted.
func (s *Syncer) Lift(d quarantine.Digest) bool {
	lifted := s.Ledger.Lift(d)
	if lifted {
		s.Logger.Info("quarantine lifted by an operator", zap.Stringer("digest", d))
		s.rows.markDirty(d)
		s.Publish(d)
	}
	return lifted
}

// removeStaleRows schedules the deletion of rows whose requests are not quarantined any more.
func (s *Syncer) removeStaleRows(reports []quarantine.Report) {
	for _, report := range reports {
		if !s.Ledger.Lookup(report.Digest, time.Now()).Quarantined {
			s.rows.markDirty(report.Digest)
		}
	}
}

// tableLoop writes the dirty rows every storeInterval. Once ShouldLoad returns true, it first reads the
// table, and writes nothing until the read has succeeded.
func (s *Syncer) tableLoop(ctx context.Context) {
	ctx = platform.WithPurpose(ctx, platform.PurposeQuarantine)
	read := false
	for sleep.For(ctx, storeInterval) {
		if !read && s.ShouldLoad() {
			reports, err := s.rows.read(ctx)
			if err != nil {
				s.Logger.Info("quarantined requests not read", zap.Error(err))
				continue
			}
			read = true
			s.merge(reports, time.Now(), "store")
			s.removeStaleRows(reports)
		}
		s.rows.updateStatuses(s.Ledger, time.Now())
		if err := s.rows.write(ctx, s.Ledger); err != nil {
			s.Logger.Info("quarantined requests not written", zap.Error(err))
		}
	}
}
