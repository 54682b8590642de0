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

// changesBeforeOutage takes the table away as soon as a VM has put a change in
// force, which is right after the table took it and before any peer has it. Its
// author can be told that it is accepted only once the table is back.
func (s *scene) changesBeforeOutage(ctx context.Context, t *Trial) error {
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
	t.figure("table out right after the commit: in force, median", "ms", inForce.quantile(50))
	t.limited("table out right after the commit: in force, longest", "ms", inForce.highest(), atMost(wantedChangeMost))
	return nil
}

func (s *scene) endOutage() { s.Platform.Faults.Set(platformsim.Order{}) }

// changesPastSilence makes all connections of the last VM's peers to it silent
// before each change.
func (s *scene) changesPastSilence(ctx context.Context, t *Trial, m *muffler) error {
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
	t.figure("one VM's peers silent: in force, median", "ms", inForce.quantile(50))
	t.limited("one VM's peers silent: in force, longest", "ms", inForce.highest(), atMost(wantedChangeMost))
	t.figure("one VM's peers silent: told accepted, longest", "ms", accepted.highest())
	return nil
}
