package experiment

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
	"geraniumcroft/internal/node"
	"geraniumcroft/internal/sleep"
)

const (
	deploymentVMs      = 6
	maxMedianChangeMS  = 200.0
	maxChangeMS        = 2000.0
	changePollInterval = time.Millisecond
	changeInterval     = 100 * time.Millisecond
	changeTimeout      = 30 * time.Second
	faultChanges       = 4
	outageTime         = 300 * time.Millisecond
	// outageRecovery is the time for the circuit breaker of the table to close again and
	// for silent connections that have been detected to be reopened.
	outageRecovery = 3 * time.Second
)

// change measures the time from an operator's request until the change is in force on
// each of six VMs.
func change(ctx context.Context, t *Trial) error {
	s, silencer, err := newChangeSystem(ctx)
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.measureChanges(ctx, t); err != nil {
		return err
	}
	if err := s.measureDrains(ctx, t); err != nil {
		return err
	}
	if err := s.changesBeforeOutage(ctx, t); err != nil {
		return err
	}
	if err := s.changesWithSilentPeers(ctx, t, silencer); err != nil {
		return err
	}
	s.reportViolations(t)
	return nil
}

// newChangeSystem returns a system and the silencer of the connections to its last VM.
func newChangeSystem(ctx context.Context) (*system, *connSilencer, error) {
	silencer := &connSilencer{}
	s, err := newSystem(ctx, deploymentVMs, silencer.adjust)
	if err != nil {
		return nil, nil, err
	}
	small := urgentPool
	small.copies, small.instances = 2, 2
	err = s.addPool(ctx, small)
	if err == nil {
		err = s.applyProfiles(ctx, generationProfile("summary", config.Bulk, 20*time.Second))
	}
	s, err = s.orClose(err)
	return s, silencer, err
}

// proposeChange makes one change on a VM and returns its version.
func (s *system) proposeChange(ctx context.Context, vm int, kind config.EntityKind, name string, entity any, revision uint64) (uint64, error) {
	value, err := json.Marshal(entity)
	if err != nil {
		return 0, err
	}
	accepted, err := s.Nodes[vm%len(s.Nodes)].Change(ctx, confstore.Proposal{
		ID: uuid.NewString(), Author: "experiment", Kind: kind, Name: name, Value: value, IfRevision: revision,
	})
	return accepted.Version, err
}

// measureChanges changes the deadline of a profile repeatedly, on the VMs in turn.
func (s *system) measureChanges(ctx context.Context, t *Trial) error {
	inForce, accepted := newDistribution(), newDistribution()
	ends := time.Now().Add(t.Duration)
	for number := 0; time.Now().Before(ends) && ctx.Err() == nil; number++ {
		took, err := s.timeChange(ctx, number, inForce)
		if err != nil {
			return err
		}
		accepted.add(took)
		sleep.For(ctx, changeInterval)
	}
	t.figure("changes made", "", float64(inForce.count()))
	t.limited("in force on all 6 VMs, median", "ms", inForce.percentile(50), atMost(maxMedianChangeMS))
	t.limited("in force on all 6 VMs, longest", "ms", inForce.maximum(), atMost(maxChangeMS))
	t.figure("told accepted, median", "ms", accepted.percentile(50))
	t.figure("told accepted, longest", "ms", accepted.maximum())
	return nil
}

// timeChange makes one change. It adds to inForce the time until the last VM has the
// change in force, and returns the time until the change was reported as accepted.
func (s *system) timeChange(ctx context.Context, number int, inForce *distribution) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	profile := *s.Nodes[0].Store().Current().Profiles["summary"]
	profile.Deadline = config.Duration(20*time.Second + time.Duration(number)*time.Millisecond)
	started := time.Now()
	reached := make(chan error, 1)
	var inForceAfter time.Duration
	go func() {
		var err error
		inForceAfter, err = awaitOnAll(ctx, s.Nodes, started, func(n *node.Node) bool {
			return n.Store().Current().Profiles["summary"].Deadline == profile.Deadline
		})
		reached <- err
	}()
	if _, err := s.proposeChange(ctx, number, config.EntityProfile, profile.Name, &profile, profile.Revision); err != nil {
		return 0, err
	}
	took := time.Since(started)
	if err := <-reached; err != nil {
		return 0, err
	}
	inForce.add(inForceAfter)
	return took, nil
}

// awaitOnAll waits until applied returns true for every VM. It returns the time that has passed since the
// given start, or an error if ctx ends first.
func awaitOnAll(ctx context.Context, nodes []*node.Node, since time.Time, applied func(*node.Node) bool) (time.Duration, error) {
	for i, n := range nodes {
		for !applied(n) {
			if !sleep.For(ctx, changePollInterval) {
				return 0, errors.Wrapf(ctx.Err(), "change not in force on VM %d", i)
			}
		}
	}
	return time.Since(since), nil
}

// measureDrains drains a target and reactivates it, repeatedly. It measures the time until
// no VM would send a request to the target any more.
func (s *system) measureDrains(ctx context.Context, t *Trial) error {
	drained := newDistribution()
	ends := time.Now().Add(t.Duration / 2)
	for number := 0; time.Now().Before(ends) && ctx.Err() == nil; number++ {
		for _, state := range []config.TargetState{config.StateDraining, config.StateActive} {
			target := *s.Nodes[0].Store().Current().Targets[engineName(0, 0)]
			target.State = state
			started := time.Now()
			if _, err := s.proposeChange(ctx, number, config.EntityTarget, target.Name, &target, target.Revision); err != nil {
				return err
			}
			took, err := awaitOnAll(ctx, s.Nodes, started, func(n *node.Node) bool { return n.Store().Current().Targets[target.Name].State == state })
			if err != nil {
				return err
			}
			if state == config.StateDraining {
				drained.add(took)
			}
		}
	}
	t.figure("drain in force on all 6 VMs, median", "ms", drained.percentile(50))
	t.limited("drain in force on all 6 VMs, longest", "ms", drained.maximum(), atMost(maxChangeMS))
	return nil
}
