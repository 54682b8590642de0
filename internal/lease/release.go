package lease

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
)

// Release releases all leases, so that other VMs need not wait until they expire, and stops the
// manager from competing for good. Acts under the leases should have ended before; to its target,
// an act that has not ended is like one of a holder that was paused. If the table does not answer,
// the leases expire by themselves.
func (m *Manager) Release(ctx context.Context) { m.release(ctx, true) }

// GiveUp is Release, but the manager competes again when Run is called again. Run must have returned;
// otherwise it would acquire the leases that it has just released.
func (m *Manager) GiveUp(ctx context.Context) { m.release(ctx, false) }

func (m *Manager) release(ctx context.Context, forGood bool) {
	ctx = platform.WithPurpose(ctx, platform.PurposeLease)
	m.stepLock <- struct{}{}
	defer func() { <-m.stepLock }()
	nonces := m.endTenures(forGood)
	for range releaseAttempts {
		if m.releaseOnce(ctx, nonces) {
			return
		}
	}
	m.options.Logger.Warn("leases not handed back; they expire by themselves")
}

// releaseOnce reports whether nothing is left to release. It reads the rows first, since a write
// whose answer was lost may have changed their revisions.
func (m *Manager) releaseOnce(ctx context.Context, nonces map[string]string) bool {
	if err := m.readRows(ctx); err != nil {
		return false
	}
	done := true
	for _, p := range m.planRelease(nonces) {
		err := m.commit(ctx, p)
		done = done && err == nil
		if err != nil && !errors.Is(err, platform.ErrUnavailable) {
			m.options.Logger.Info("lease not released", zap.String("duty", p.duty.name), zap.Error(err))
		}
	}
	return done
}

// endTenures ends this VM's views before anything is written: no act may follow a release that
// another VM can already see.
func (m *Manager) endTenures(forGood bool) map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.released = m.released || forGood
	nonces := map[string]string{}
	for _, d := range m.duties {
		if d.tenure != nil {
			nonces[d.name] = d.tenure.nonce
			d.tenure = nil
		}
	}
	return nonces
}

func (m *Manager) planRelease(nonces map[string]string) []plannedWrite {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := readClock(m.options.Clock)
	var writes []plannedWrite
	for _, d := range m.duties {
		if d.tenure != nil {
			nonces[d.name] = d.tenure.nonce // an acquisition that took effect late
			d.tenure = nil
		}
		if !d.known || d.record.free() || nonces[d.name] != d.record.Nonce {
			continue
		}
		released := record{Fencing: d.record.Fencing, Duration: d.record.Duration}
		writes = append(writes, m.prepareWrite(d, released, now))
	}
	return writes
}
