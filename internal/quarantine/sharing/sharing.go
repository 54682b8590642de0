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
	// maxPending bounds the requests that wait to be told to peers. What is dropped beyond it is
	// found by its revision.
	maxPending = 1024
	// tellPause collects what is learned of the runs that ended with one replica.
	tellPause = 5 * time.Millisecond
	// offerAgain is the pause before a change that no peer has taken is offered again, offerMost how
	// often it is offered. A VM that nobody asks is not heard otherwise.
	offerAgain = 300 * time.Millisecond
	offerMost  = 30
	// storeInterval is the pause between two tries to reach the table while there is something to
	// read or write.
	storeInterval = time.Second
)

// Syncer exchanges a ledger with other VMs. It is safe for concurrent use.
type Syncer struct {
	Options
	// epoch is what the times of this VM's reports count from.
	epoch   time.Time
	pending chan quarantine.Digest
	// heard are peers with news.
	heard chan string
	rows  *rows

	mu sync.Mutex // guards the fields below
	// cursors are the revisions up to which peers' reports were taken over.
	cursors map[string]uint64
	// fetching are the peers that are being asked.
	fetching map[string]bool
}

// New returns a sharing; Run makes it work.
func New(o Options) *Syncer {
	return &Syncer{
		Options: o, epoch: time.Now(), pending: make(chan quarantine.Digest, maxPending), rows: newRows(o.Table, o.Logger),
		cursors: map[string]uint64{}, fetching: map[string]bool{}, heard: make(chan string, maxPending),
	}
}

// Publish queues a change of what this VM knows of a request for its peers. It does not block.
func (s *Syncer) Publish(d quarantine.Digest) {
	select {
	case s.pending <- d:
	default:
		s.Logger.Warn("change of the quarantine not offered to peers", zap.Stringer("digest", d))
	}
}

// ObserveRevision takes the revision of a peer's ledger. It does not block.
func (s *Syncer) ObserveRevision(address string, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cursors[address] == revision || s.fetching[address] {
		return
	}
	if revision < s.cursors[address] {
		s.cursors[address] = 0 // it has started again
	}
	select {
	case s.heard <- address:
		s.fetching[address] = true
	default: // its next answer says so again
	}
}

// Since returns what a peer lacks that knows this VM's reports up to a revision.
func (s *Syncer) Since(after uint64) (platform.TableChange, time.Duration, bool) {
	reports, revision := s.Ledger.Since(after, s.epoch)
	return s.change(reports, revision), time.Since(s.epoch), true
}

func (s *Syncer) change(reports []quarantine.Report, revision uint64) platform.TableChange {
	change := platform.TableChange{Revision: revision, Written: make(map[string][]byte, len(reports))}
	for _, report := range reports {
		row, err := json.Marshal(report)
		if err != nil {
			s.Logger.Error("report of a request not encoded", zap.Stringer("digest", report.Digest), zap.Error(err))
			continue
		}
		change.Written[report.Digest.String()] = row
	}
	return change
}

// Apply takes over a peer's reports, whose times count from an epoch of the given age.
func (s *Syncer) Apply(change platform.TableChange, age time.Duration) {
	reports := make([]quarantine.Report, 0, len(change.Written))
	for key, row := range change.Written {
		var report quarantine.Report
		if err := json.Unmarshal(row, &report); err != nil {
			s.Logger.Warn("report of a request not read", zap.String("digest", key), zap.Error(err))
			continue
		}
		reports = append(reports, report)
	}
	now := time.Now()
	s.learned(s.Ledger.Merge(reports, now.Add(-age), now), "peer")
}

// learned logs what others' reports changed and keeps what is quarantined by them.
func (s *Syncer) learned(changed []quarantine.Digest, from string) {
	for _, d := range changed {
		verdict := s.Ledger.Lookup(d, time.Now())
		s.Logger.Info("report of a request that may crash replicas", zap.Stringer("digest", d), zap.String("from", from),
			zap.Int("ends", verdict.Crashes), zap.Bool("quarantined", verdict.Quarantined), zap.Strings("replicas", s.Ledger.CrashedReplicas(d)))
		s.rows.judged(d, verdict.Quarantined)
	}
}

// Run exchanges reports until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { s.tell(ctx, &work) })
	work.Go(func() { s.ask(ctx, &work) })
	work.Go(func() { s.keep(ctx) })
	work.Wait()
}

// tell offers changes to peers.
func (s *Syncer) tell(ctx context.Context, work *sync.WaitGroup) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.pending:
			sleep.For(ctx, tellPause)
			digests := s.collect(first)
			work.Go(func() { s.offer(ctx, digests) })
		}
	}
}

// collect returns what waits to be told, each request once.
func (s *Syncer) collect(first quarantine.Digest) []quarantine.Digest {
	digests, is := []quarantine.Digest{first}, map[quarantine.Digest]bool{first: true}
	for {
		select {
		case d := <-s.pending:
			if !is[d] {
				digests, is[d] = append(digests, d), true
			}
		default:
			return digests
		}
	}
}

func (s *Syncer) offer(ctx context.Context, digests []quarantine.Digest) {
	for _, d := range digests {
		s.rows.changed(d, s.Ledger.Lookup(d, time.Now()).Quarantined)
	}
	change := s.change(s.Ledger.Reports(s.epoch, digests...), s.Ledger.Revision())
	for range offerMost {
		if s.Peers.OfferAll(ctx, quarantine.TableName, change, time.Since(s.epoch)) > 0 || !sleep.For(ctx, offerAgain) {
			return
		}
	}
	s.Logger.Warn("change of the quarantine taken by no peer", zap.Int("requests", len(digests)))
}

// ask fetches the reports of peers that have news.
func (s *Syncer) ask(ctx context.Context, work *sync.WaitGroup) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-s.heard:
			work.Go(func() { s.fetch(ctx, address) })
		}
	}
}

func (s *Syncer) fetch(ctx context.Context, address string) {
	s.mu.Lock()
	after := s.cursors[address]
	s.mu.Unlock()
	change, age, ok := s.Peers.FetchFrom(ctx, address, quarantine.TableName, after)
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

// Lift drops all that is held against a request, by an operator's word, and reports whether there
// was anything.
func (s *Syncer) Lift(d quarantine.Digest) bool {
	lifted := s.Ledger.Lift(d)
	if lifted {
		s.Logger.Info("request lifted from quarantine by an operator", zap.Stringer("digest", d))
		s.rows.check(d)
		s.Publish(d)
	}
	return lifted
}

// dropStale has the rows removed that quarantine nothing any more.
func (s *Syncer) dropStale(reports []quarantine.Report) {
	for _, report := range reports {
		if !s.Ledger.Lookup(report.Digest, time.Now()).Quarantined {
			s.rows.check(report.Digest)
		}
	}
}

// keep reads the table after the start, and writes to it what is quarantined.
func (s *Syncer) keep(ctx context.Context) {
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
			now := time.Now()
			s.learned(s.Ledger.Merge(reports, now, now), "store")
			s.dropStale(reports)
		}
		if err := s.rows.write(ctx, s.Ledger); err != nil {
			s.Logger.Info("quarantined requests not written", zap.Error(err))
		}
	}
}
