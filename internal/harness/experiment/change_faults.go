package experiment

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/sleep"
)

// changesBeforeOutage makes the table unavailable as soon as a VM has put a change in
// force. This is right after the table has committed the change and before a peer has
// it. The change can be reported as accepted only once the table is available again.
func (s *system) changesBeforeOutage(ctx context.Context, t *Trial) error {
	inForce := newDistribution()
	var armed atomic.Bool
	s.Nodes[0].Store().Subscribe(func(*config.Snapshot) {
		if armed.Swap(false) {
			s.Platform.Faults.Set(platformsim.Order{Outage: platformsim.OutageUnavailable})
		}
	})
	for number := range faultChanges {
		armed.Store(true)
		ended := time.AfterFunc(outageRecovery, s.endOutage)
		if _, err := s.timeChange(ctx, len(s.Nodes)*(100+number), inForce); err != nil {
			return errors.Wrap(err, "change before an outage")
		}
		ended.Stop()
		s.endOutage()
		sleep.For(ctx, outageRecovery)
	}
	t.figure("table out right after the commit: in force, median", "ms", inForce.percentile(50))
	t.limited("table out right after the commit: in force, longest", "ms", inForce.maximum(), atMost(maxChangeMS))
	return nil
}

// endOutage makes the table available again.
func (s *system) endOutage() { s.Platform.Faults.Set(platformsim.Order{}) }

// changesWithSilentPeers makes all connections from the peers to the last VM silent before
// each change.
func (s *system) changesWithSilentPeers(ctx context.Context, t *Trial, m *connSilencer) error {
	inForce, accepted := newDistribution(), newDistribution()
	for number := range faultChanges {
		m.silence()
		took, err := s.timeChange(ctx, number, inForce)
		if err != nil {
			return errors.Wrap(err, "change past silent connections")
		}
		accepted.add(took)
		sleep.For(ctx, outageRecovery)
	}
	t.figure("one VM's peers silent: in force, median", "ms", inForce.percentile(50))
	t.limited("one VM's peers silent: in force, longest", "ms", inForce.maximum(), atMost(maxChangeMS))
	t.figure("one VM's peers silent: told accepted, longest", "ms", accepted.maximum())
	return nil
}
