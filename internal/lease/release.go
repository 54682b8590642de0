package lease

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
)

// Release hands all leases back, so that other VMs need not wait for them to
// expire, and ends the manager's competing for good. Acts under the leases should
// have ended before; one that has not is to its targets like that of a holder which
// was paused. When the table does not answer, the leases expire by themselves.
func (m *Manager) Release(ctx context.Context) {
	ctx = platform.WithPurpose(ctx, platform.PurposeLease)
	m.stepping <- struct{}{}
	defer func() { <-m.stepping }()
	nonces := m.endTenures()
	for range releaseAttempts {
		if m.releaseOnce(ctx, nonces) {
			return
		}
	}
	m.options.Logger.Warn("leases not handed back; they expire by themselves")
}

// releaseOnce reports whether nothing is left to hand back. It reads the rows
// first, since a write whose answer was lost may have changed their revisions.
func (m *Manager) releaseOnce(ctx context.Context, nonces map[string]string) bool {
	if err := m.readRows(ctx); err != nil {
		return false
	}
	done := true
	for _, p := range m.planRelease(nonces) {
		err := m.commit(ctx, p)
		done = done && err == nil
		if err != nil && !errors.Is(err, platform.ErrUnavailable) {
			m.options.Logger.Info("lease not handed back yet", zap.String("duty", p.duty.name), zap.Error(err))
		}
	}
	return done
}

// endTenures ends this VM's views before anything is written: no act may follow a
// release that another VM already sees.
func (m *Manager) endTenures() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.released = true
	nonces := map[string]string{}
	for _, d := range m.duties {
		if d.tenure != nil {
			nonces[d.name] = d.tenure.nonce
			d.tenure = nil
		}
	}
	return nonces
}

func (m *Manager) planRelease(nonces map[string]string) []planned {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := read(m.options.Clock)
	var writes []planned
	for _, d := range m.duties {
		if d.tenure != nil {
			nonces[d.name] = d.tenure.nonce // an acquisition that took effect late
			d.tenure = nil
		}
		if !d.known || d.record.free() || nonces[d.name] != d.record.Nonce {
			continue
		}
		released := record{Fencing: d.record.Fencing, Duration: d.record.Duration}
		writes = append(writes, m.prepare(d, released, now))
	}
	return writes
}
