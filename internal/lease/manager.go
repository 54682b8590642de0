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

// Manager competes for leases and renews those that it holds. It is safe for
// concurrent use.
type Manager struct {
	options Options
	keys    []string

	// stepping serialises the loop and Release, which write to the table. It is no
	// mutex, since it is held while the table is slow.
	stepping chan struct{}

	mu     sync.Mutex // guards the fields below
	duties []*duty
	// released ends all views for good.
	released bool
	// lastTry is when the rows were last asked for, tried whether ever, and readErr
	// what came of it.
	lastTry Reading
	tried   bool
	// asked is the reading before the rows were last asked for.
	asked   Reading
	readErr error
	// writeErr is what came of the newest write.
	writeErr error
}

// NewManager returns a manager; Run makes it compete.
func NewManager(o Options) *Manager {
	o.setDefaults()
	m := &Manager{options: o, stepping: make(chan struct{}, 1)}
	for _, name := range inPreference(o.VM, o.Duties) {
		m.keys = append(m.keys, keyOf(name))
		m.duties = append(m.duties, &duty{name: name, attempts: map[string]attempt{}})
	}
	return m
}

// inPreference orders the duties differently on each VM, so that VMs which start
// together do not all try for the same one.
func inPreference(vm string, duties []string) []string {
	return slices.SortedFunc(slices.Values(duties), func(a, b string) int {
		return cmp.Compare(rank(vm, a), rank(vm, b))
	})
}

func rank(vm, duty string) uint64 { return xxhash.Sum64String(vm + "\x00" + duty) }

// Run acquires free and expired leases and renews the held ones until ctx ends or
// Release is called. It does not release them.
//
// The pause between steps is a timer of its own and not a time.Ticker: a timer that is due
// before its channel is waited for is run by the reading goroutine, and several at once in one
// synctest bubble share state in Go 1.26's race detector and crash it.
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
	m.stepping <- struct{}{}
	defer func() { <-m.stepping }()
	if ctx.Err() != nil || !m.due() {
		return
	}
	if err := m.readRows(ctx); err != nil {
		return
	}
	m.write(ctx, m.plan())
}

// due reports whether the rows are to be read now. After a failed read nobody
// hurries, so that a table which comes back is not met by the whole fleet.
func (m *Manager) due() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.released {
		return false
	}
	if !m.tried {
		return true
	}
	now := read(m.options.Clock)
	if m.readErr == nil && m.anyWrite(now) {
		return true
	}
	return now.certainSince(m.lastTry) >= m.interval()-m.options.tick()/2
}

func (m *Manager) anyWrite(now Reading) bool {
	for _, d := range m.duties {
		if d.known && (m.renewable(d, now) || d.tenure == nil && m.takeable(d, now)) {
			return true
		}
	}
	return false
}

func (m *Manager) renewable(d *duty, now Reading) bool {
	return d.tenure != nil && now.longestSince(d.tenure.renewed) >= m.options.renewEvery()-m.options.tick()/2
}

func (m *Manager) interval() time.Duration {
	for _, d := range m.duties {
		if d.tenure != nil {
			return min(m.options.readEvery(), m.options.renewEvery())
		}
	}
	if m.readErr == nil && m.tellAges() {
		return max(m.options.readEvery(), m.options.watchEvery())
	}
	return m.options.readEvery()
}

// tellAges reports whether the rows tell for how long each lease had not been renewed.
func (m *Manager) tellAges() bool {
	return !slices.ContainsFunc(m.duties, func(d *duty) bool { return !d.known || d.readAt <= 0 || d.record.Renewed <= 0 })
}

func (m *Manager) readRows(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.options.callTimeout())
	defer cancel()
	asked := read(m.options.Clock)
	rows, err := m.options.Table.Get(ctx, m.keys...)
	now := read(m.options.Clock)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked = asked
	m.lastTry = now
	m.tried = true
	m.readErr = err
	if err != nil {
		return err
	}
	for i, row := range rows {
		m.observe(m.duties[i], row, now)
	}
	return nil
}

func (m *Manager) observe(d *duty, row platform.Row, now Reading) {
	r, err := decode(row)
	if err != nil {
		r = unreadable(row, d.record)
	}
	if (err != nil) != d.unreadable {
		d.unreadable = err != nil
		m.options.Logger.Error("lease row turned readable or unreadable", zap.String("duty", d.name), zap.Bool("readable", err == nil), zap.Error(err))
	}
	before := d.tenure
	m.options.Invariants.Check(r.Fencing >= d.record.Fencing, invariant.FencingNeverFalls,
		"%s from %d to %d at revision %d", d.name, d.record.Fencing, r.Fencing, row.Revision)
	d.observe(row, r, now)
	if before != nil && d.tenure == nil {
		m.options.Logger.Info("lease lost", zap.String("duty", d.name), zap.String("holder", r.Holder), zap.Uint64("fencing", r.Fencing))
	}
}

// planned is one write that a step makes.
type planned struct {
	duty    *duty
	txn     string
	attempt attempt
}

// plan decides on the writes of this step: all renewals that are due, and at most
// one acquisition, so that VMs which start together share the duties.
func (m *Manager) plan() []planned {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := read(m.options.Clock)
	var writes []planned
	acquiring := false
	for _, d := range m.duties {
		switch {
		case !d.known:
		case d.tenure != nil:
			if m.renewable(d, now) {
				writes = append(writes, m.prepare(d, d.record, now))
			}
		case !acquiring && m.takeable(d, now):
			acquiring = true
			writes = append(writes, m.prepare(d, m.successor(d.record), now))
		}
	}
	return writes
}

func (m *Manager) successor(r record) record {
	return record{
		Holder:   m.options.VM,
		Nonce:    uuid.NewString(),
		Fencing:  r.Fencing + 1,
		Duration: config.Duration(m.options.TTL),
	}
}

// prepare plans a write. The row tells what the table's clock shows now at most: what it showed
// when the row was read, and all the time since this VM asked for it. The view counts from
// now, so it has ended when another VM takes the lease by that clock, however late the write
// takes effect.
func (m *Manager) prepare(d *duty, r record, now Reading) planned {
	r.Renewed = 0
	if d.readAt > 0 {
		r.Renewed = config.Duration(d.readAt + now.longestSince(m.asked))
	}
	p := planned{duty: d, txn: uuid.NewString(), attempt: attempt{sent: now, condition: d.revision, record: r}}
	d.attempts[p.txn] = p.attempt
	return p
}

// takeable reports whether the lease is free or expired, and this VM's hold-off
// has passed as well.
func (m *Manager) takeable(d *duty, now Reading) bool {
	if m.options.hooks.skipObservation {
		return true
	}
	wait := d.takeableAfter(m.options.TTL) + m.holdOff(d)
	return now.certainSince(d.firstSeen) >= wait
}

// holdOff lets VMs that hold fewer leases go first, and in an order that differs
// from duty to duty, so that duties are spread and contenders rarely collide.
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

// write sends the planned writes side by side, so that a slow one does not make
// the others late.
func (m *Manager) write(ctx context.Context, writes []planned) {
	ctx, cancel := context.WithTimeout(ctx, m.options.callTimeout())
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range writes {
		wg.Go(func() { _ = m.commit(ctx, p) })
	}
	wg.Wait()
}

func (m *Manager) commit(ctx context.Context, p planned) error {
	key := keyOf(p.duty.name)
	err := m.options.Table.Commit(ctx, platform.Txn{
		ID:         p.txn,
		Conditions: []platform.Condition{{Key: key, Revision: p.attempt.condition}},
		Writes:     []platform.Write{{Key: key, Value: p.attempt.record.encode()}},
	})
	now := read(m.options.Clock)
	m.mu.Lock()
	defer m.mu.Unlock()
	d := p.duty
	switch {
	case err == nil, m.options.hooks.trustAmbiguous && errors.Is(err, platform.ErrAmbiguous):
		m.confirmed(d, p, now)
	case errors.Is(err, platform.ErrRefused), errors.Is(err, platform.ErrUnavailable):
		delete(d.attempts, p.txn)
	}
	// Otherwise the write may have taken effect or may yet do so. It counts once the
	// row shows its transaction: a holder that believed it had renewed would act on
	// while another VM takes over.
	m.writeErr = err
	return err
}

func (m *Manager) confirmed(d *duty, p planned, now Reading) {
	fresh := d.tenure == nil
	d.adopt(p.attempt, now)
	if fresh && d.tenure != nil {
		m.options.Logger.Info("lease acquired", zap.String("duty", d.name), zap.Uint64("fencing", d.tenure.fencing))
	}
}
