package experiment

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
	"geraniumcroft/internal/node"
	"geraniumcroft/internal/sleep"
)

const (
	fleetToday         = 6
	wantedChangeMedian = 200.0
	wantedChangeMost   = 2000.0
	changePoll         = time.Millisecond
	changePause        = 100 * time.Millisecond
	changeTimeout      = 30 * time.Second
	faultChanges       = 4
	outageTime         = 300 * time.Millisecond
	// outageRecovery lets the circuit to the table close again, and connections that
	// were found silent be opened anew.
	outageRecovery = 3 * time.Second
)

// change measures how long after an operator's request a change is in force on
// each of six VMs.
func change(ctx context.Context, t *Trial) error {
	s, muffled, err := changeScene(ctx)
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.plainChanges(ctx, t); err != nil {
		return err
	}
	if err := s.drains(ctx, t); err != nil {
		return err
	}
	if err := s.changesBeforeOutage(ctx, t); err != nil {
		return err
	}
	if err := s.changesPastSilence(ctx, t, muffled); err != nil {
		return err
	}
	s.finish(t)
	return nil
}

// changeScene returns a fleet and the listeners of its last VM.
func changeScene(ctx context.Context) (*scene, *muffler, error) {
	muffled := &muffler{}
	s, err := newScene(ctx, fleetToday, muffled.adjust)
	if err != nil {
		return nil, nil, err
	}
	small := urgentPool
	small.copies, small.instances = 2, 2
	if err := s.addPool(ctx, small); err != nil {
		return s, muffled, err
	}
	return s, muffled, s.applyProfiles(ctx, generationProfile("summary", config.Bulk, 20*time.Second))
}

// propose makes one change on a VM and returns its version.
func (s *scene) propose(ctx context.Context, vm int, kind config.EntityKind, name string, entity any, revision uint64) (uint64, error) {
	value, err := json.Marshal(entity)
	if err != nil {
		return 0, err
	}
	accepted, err := s.Nodes[vm%len(s.Nodes)].Change(ctx, confstore.Proposal{
		ID: uuid.NewString(), Author: "experiment", Kind: kind, Name: name, Value: value, IfRevision: revision,
	})
	return accepted.Version, err
}

// plainChanges makes new deadlines on the VMs by turns.
func (s *scene) plainChanges(ctx context.Context, t *Trial) error {
	inForce, accepted := newDistribution(), newDistribution()
	ends := time.Now().Add(t.Duration)
	for number := 0; time.Now().Before(ends) && ctx.Err() == nil; number++ {
		took, err := s.timeChange(ctx, number, inForce)
		if err != nil {
			return err
		}
		accepted.add(took)
		sleep.For(ctx, changePause)
	}
	t.figure("changes made", "", float64(inForce.count()))
	t.limited("in force on all 6 VMs, median", "ms", inForce.quantile(50), atMost(wantedChangeMedian))
	t.limited("in force on all 6 VMs, longest", "ms", inForce.highest(), atMost(wantedChangeMost))
	t.figure("told accepted, median", "ms", accepted.quantile(50))
	t.figure("told accepted, longest", "ms", accepted.highest())
	return nil
}

// timeChange adds how long it took until the last VM had a change in force and
// returns how long until its author was told so.
func (s *scene) timeChange(ctx context.Context, number int, inForce *distribution) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	profile := *s.Nodes[0].Store().Current().Profiles["summary"]
	profile.Deadline = config.Duration(20*time.Second + time.Duration(number)*time.Millisecond)
	started := time.Now()
	reached := make(chan time.Duration, 1)
	go func() {
		reached <- s.awaitEverywhere(ctx, started, func(n *node.Node) bool {
			return n.Store().Current().Profiles["summary"].Deadline == profile.Deadline
		})
	}()
	if _, err := s.propose(ctx, number, config.EntityProfile, profile.Name, &profile, profile.Revision); err != nil {
		return 0, err
	}
	took := time.Since(started)
	inForce.add(<-reached)
	return took, nil
}

// awaitEverywhere returns how long after a moment the last VM shows what is waited
// for.
func (s *scene) awaitEverywhere(ctx context.Context, since time.Time, shows func(*node.Node) bool) time.Duration {
	for _, n := range s.Nodes {
		for !shows(n) && sleep.For(ctx, changePoll) {
		}
	}
	return time.Since(since)
}

// drains lets an operator drain a target and take it back, and measures when no VM
// would send to it any more.
func (s *scene) drains(ctx context.Context, t *Trial) error {
	drained := newDistribution()
	ends := time.Now().Add(t.Duration / 2)
	for number := 0; time.Now().Before(ends) && ctx.Err() == nil; number++ {
		for _, state := range []config.TargetState{config.StateDraining, config.StateActive} {
			target := *s.Nodes[0].Store().Current().Targets[engineName(0, 0)]
			target.State = state
			started := time.Now()
			if _, err := s.propose(ctx, number, config.EntityTarget, target.Name, &target, target.Revision); err != nil {
				return err
			}
			took := s.awaitEverywhere(ctx, started, func(n *node.Node) bool { return n.Store().Current().Targets[target.Name].State == state })
			if state == config.StateDraining {
				drained.add(took)
			}
		}
	}
	t.figure("drain in force on all 6 VMs, median", "ms", drained.quantile(50))
	t.limited("drain in force on all 6 VMs, longest", "ms", drained.highest(), atMost(wantedChangeMost))
	return nil
}
