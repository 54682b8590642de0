package lease

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/platform"
)

// Manager competes for leases and renews those that it holds. It is safe for concurrent use.
type Manager struct {
	options Options
	keys    []string

	// stepLock serializes the steps of Run and Release, which write to the table. It is not a
	// mutex, because it is held during slow calls to the table.
	stepLock chan struct{}

	mu     sync.Mutex // guards the fields below
	duties []*duty
	// released ends all views permanently; GiveUp does not set it.
	released bool
	// lastRead is when the latest read of the rows ended, readAttempted says whether there was
	// one, and readErr is its result.
	lastRead      Reading
	readAttempted bool
	// readStarted is the reading taken before the latest read of the rows.
	readStarted Reading
	readErr     error
	// writeErr is the result of the latest write.
	writeErr error
}

// NewManager returns a Manager. It competes for leases once Run is called.
func NewManager(o Options) *Manager {
	o.setDefaults()
	m := &Manager{options: o, stepLock: make(chan struct{}, 1)}
	for _, name := range preferenceOrder(o.VM, o.Duties) {
		m.keys = append(m.keys, keyOf(name))
		m.duties = append(m.duties, &duty{name: name, attempts: map[string]attempt{}})
	}
	return m
}

// preferenceOrder sorts the duties differently on each VM, so that VMs that start together do not
// all try to acquire the same lease.
func preferenceOrder(vm string, duties []string) []string {
	return slices.SortedFunc(slices.Values(duties), func(a, b string) int {
		return cmp.Compare(rank(vm, a), rank(vm, b))
	})
}

func rank(vm, duty string) uint64 { return xxhash.Sum64String(vm + "\x00" + duty) }

// Run acquires free and expired leases and renews those held until ctx ends or Release is called.
// It does not release them.
//
// It waits between steps with time.After and not with a time.Ticker: a ticker's timer that is due
// before its channel is waited for is run by the receiving goroutine, and several of these at once
// in one synctest bubble share state in the race detector of Go 1.26 and crash it.
func (m *Manager) Run(ctx context.Context) {
	ctx = platform.WithPurpose(ctx, platform.PurposeLease)
	for {
		m.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.options.tick()):
		}
	}
}

func (m *Manager) step(ctx context.Context) {
	m.stepLock <- struct{}{}
	defer func() { <-m.stepLock }()
	if ctx.Err() != nil || !m.readDue() {
		return
	}
	if err := m.readRows(ctx); err != nil {
		return
	}
	m.commitAll(ctx, m.planWrites())
}

// readDue reports whether the rows have to be read now. After a failed read it waits for the full
// interval, so that a table that recovers is not called by the whole fleet at once.
func (m *Manager) readDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.released {
		return false
	}
	if !m.readAttempted {
		return true
	}
	now := readClock(m.options.Clock)
	if m.readErr == nil && m.writeDue(now) {
		return true
	}
	return now.minElapsedSince(m.lastRead) >= m.readInterval()-m.options.tick()/2
}

func (m *Manager) writeDue(now Reading) bool {
	for _, d := range m.duties {
		if d.known && (m.renewalDue(d, now) || d.tenure == nil && m.canAcquire(d, now)) {
			return true
		}
	}
	return false
}

func (m *Manager) renewalDue(d *duty, now Reading) bool {
	return d.tenure != nil && now.maxElapsedSince(d.tenure.renewed) >= m.options.renewEvery()-m.options.tick()/2
}

func (m *Manager) readInterval() time.Duration {
	for _, d := range m.duties {
		if d.tenure != nil {
			return min(m.options.readEvery(), m.options.renewEvery())
		}
	}
	if m.readErr == nil && m.rowsHaveAges() {
		return max(m.options.readEvery(), m.options.watchEvery())
	}
	return m.options.readEvery()
}

// rowsHaveAges reports whether each row shows for how long its lease had not been renewed.
func (m *Manager) rowsHaveAges() bool {
	return !slices.ContainsFunc(m.duties, func(d *duty) bool { return !d.known || d.readAt <= 0 || d.record.Renewed <= 0 })
}

func (m *Manager) readRows(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.options.callTimeout())
	defer cancel()
	started := readClock(m.options.Clock)
	rows, err := m.options.Table.Get(ctx, m.keys...)
	now := readClock(m.options.Clock)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readStarted = started
	m.lastRead = now
	m.readAttempted = true
	m.readErr = err
	if err != nil {
		return err
	}
	for i, row := range rows {
		m.observeRow(m.duties[i], row, now)
	}
	return nil
}

func (m *Manager) observeRow(d *duty, row platform.Row, now Reading) {
	r, err := decode(row)
	if err != nil {
		r = unreadableRecord(row, d.record)
	}
	if (err != nil) != d.unreadable {
		d.unreadable = err != nil
		m.options.Logger.Error("lease row turned readable or unreadable", zap.String("duty", d.name), zap.Bool("readable", err == nil), zap.Error(err))
	}
	before := d.tenure
	sameEra := row.Era == d.version.Era
	m.options.Invariants.Check(!sameEra || r.Fencing >= d.record.Fencing, invariant.FencingNeverFalls,
		"%s from %d to %d at revision %d", d.name, d.record.Fencing, r.Fencing, row.Revision)
	d.observe(row, r, m.viewValid(d), now)
	if before != nil && d.tenure == nil {
		m.options.Logger.Info("lease lost", zap.String("duty", d.name), zap.String("holder", r.Holder), zap.Uint64("fencing", r.Fencing), zap.Stringer("version", d.version))
	}
}

// plannedWrite is one write of a step.
type plannedWrite struct {
	duty    *duty
	txn     string
	attempt attempt
}

// planWrites plans the writes of this step: all renewals that are due, and at most one
// acquisition, so that VMs that start together share the duties.
func (m *Manager) planWrites() []plannedWrite {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := readClock(m.options.Clock)
	var writes []plannedWrite
	acquiring := false
	for _, d := range m.duties {
		switch {
		case !d.known, m.options.Era() > d.version.Era:
		case d.tenure != nil:
			if m.renewalDue(d, now) {
				writes = append(writes, m.prepareWrite(d, d.record, now))
			}
		case !acquiring && m.canAcquire(d, now):
			acquiring = true
			writes = append(writes, m.prepareWrite(d, m.successor(d), now))
		}
	}
	return writes
}

func (m *Manager) successor(d *duty) record {
	return record{
		Holder:   m.options.VM,
		Nonce:    uuid.NewString(),
		Fencing:  d.record.nextFencing(d.version.Era),
		Duration: config.Duration(m.options.TTL),
	}
}

// prepareWrite plans a write. Its row records an upper bound of what the table's clock shows now:
// what it showed when the row was read, plus all the time since this VM started the read. The view
// counts from now. However late the write takes effect, the view has therefore ended when another
// VM takes the lease by that clock.
func (m *Manager) prepareWrite(d *duty, r record, now Reading) plannedWrite {
	r.Renewed, r.Era = 0, d.version.Era
	if d.readAt > 0 {
		r.Renewed = config.Duration(d.readAt + now.maxElapsedSince(m.readStarted))
	}
	p := plannedWrite{duty: d, txn: uuid.NewString(), attempt: attempt{sent: now, expected: d.version, record: r}}
	d.attempts[p.txn] = p.attempt
	return p
}

// canAcquire reports whether the lease is free or expired, and this VM's hold-off has passed as
// well.
func (m *Manager) canAcquire(d *duty, now Reading) bool {
	if m.options.hooks.skipObservation {
		return true
	}
	wait := d.availableAfter(m.options.TTL, m.options.FirstStart) + m.holdOff(d)
	return now.minElapsedSince(d.firstSeen) >= wait
}

// holdOff returns the time for which this VM leaves a free or expired lease to others. It is
// shorter for VMs that hold fewer leases, and beyond that ordered differently for each duty, so
// that the duties are spread and contenders rarely collide.
func (m *Manager) holdOff(d *duty) time.Duration {
	held := 0
	for _, other := range m.duties {
		if other.tenure != nil {
			held++
		}
	}
	share := time.Duration(rank(m.options.VM, d.name) % uint64(m.options.tick()))
	return time.Duration(min(held, maxPenalties))*m.options.penalty() + share
}

// commitAll sends the writes concurrently, so that a slow one does not delay the others.
func (m *Manager) commitAll(ctx context.Context, writes []plannedWrite) {
	ctx, cancel := context.WithTimeout(ctx, m.options.callTimeout())
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range writes {
		wg.Go(func() { _ = m.commit(ctx, p) })
	}
	wg.Wait()
}

func (m *Manager) commit(ctx context.Context, p plannedWrite) error {
	key := keyOf(p.duty.name)
	err := m.options.Table.Commit(ctx, platform.Txn{
		ID:         p.txn,
		Era:        p.attempt.expected.Era,
		Conditions: []platform.Condition{{Key: key, Revision: p.attempt.expected.Revision}},
		Writes:     []platform.Write{{Key: key, Value: p.attempt.record.encode()}},
	})
	now := readClock(m.options.Clock)
	m.mu.Lock()
	defer m.mu.Unlock()
	d := p.duty
	switch {
	case m.options.Era() > p.attempt.expected.Era:
		// The write may have been acknowledged and lost, or have overwritten another holder's row.
		delete(d.attempts, p.txn)
	case err == nil, m.options.hooks.trustAmbiguous && errors.Is(err, platform.ErrAmbiguous):
		m.confirmWrite(d, p, now)
	case errors.Is(err, platform.ErrRefused), errors.Is(err, platform.ErrUnavailable):
		delete(d.attempts, p.txn)
	}
	// Otherwise the write may have taken effect or may still do so. It counts once the row shows
	// its transaction: a holder that wrongly assumed that it had renewed would act while another
	// VM takes over.
	m.writeErr = err
	return err
}

func (m *Manager) confirmWrite(d *duty, p plannedWrite, now Reading) {
	acquired := d.tenure == nil
	d.applyWrite(p.txn, p.attempt, now)
	if acquired && d.tenure != nil {
		m.options.Logger.Info("lease acquired", zap.String("duty", d.name), zap.Uint64("fencing", d.tenure.fencing))
	}
}
