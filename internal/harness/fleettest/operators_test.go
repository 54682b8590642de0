package fleettest

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
)

const (
	operatorTimeout = 15 * time.Second
	copyDelay       = 50 * time.Millisecond
)

// answerKind is the kind of answer to a proposal.
type answerKind uint8

const (
	// answerUnknown means that the VM died or that the change may have been written.
	answerUnknown answerKind = iota
	answerRefused
	// answerWritten means that the change is in the history but not yet in force
	// everywhere.
	answerWritten
	answerAccepted
)

// proposalResult is a proposal with its answer.
type proposalResult struct {
	confstore.Proposal
	vm      string
	kind    answerKind
	version uint64
	err     error
	from    time.Time
	until   time.Time
}

// proposalLog records all proposals with their answers. It is safe for concurrent use.
type proposalLog struct {
	mu  sync.Mutex // guards all
	all []proposalResult
}

func (o *proposalLog) add(a proposalResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, a)
}

func (o *proposalLog) list() []proposalResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]proposalResult(nil), o.all...)
}

// propose proposes a change at a VM and records the answer. If the change is accepted,
// it immediately checks that no VM serves under an older version.
func (w *world) propose(v *vm, p confstore.Proposal) proposalResult {
	a := proposalResult{Proposal: p, vm: v.name, from: time.Now()}
	w.trace.note("%s gets proposal %s: %s %s at %d: %s", v.name, p.ID, p.Kind, p.Name, p.IfRevision, p.Value)
	ctx, cancel := context.WithTimeout(v.requests, operatorTimeout)
	defer cancel()
	acceptance, err := v.Change(ctx, p)
	a.until, a.version, a.err = time.Now(), acceptance.Version, err
	w.trace.note("%s answers %s: %+v %v", v.name, p.ID, acceptance, err)
	switch {
	case v.dead.Load():
	case err == nil && acceptance.Accepted:
		a.kind = answerAccepted
		w.raiseAccepted(acceptance.Version)
		w.checkServing("as it was accepted on " + v.name)
	case err == nil:
		a.kind = answerWritten
	case isRefusal(err):
		a.kind = answerRefused
	}
	w.proposals.add(a)
	return a
}

// raiseAccepted raises the highest accepted version to at least version.
func (w *world) raiseAccepted(version uint64) {
	for {
		before := w.accepted.Load()
		if before >= version || w.accepted.CompareAndSwap(before, version) {
			return
		}
	}
}

func isRefusal(err error) bool {
	var conflict *confstore.ConflictError
	var notWritten *confstore.NotWrittenError
	var invalid *config.ValidationError
	var reused *confstore.IDReusedError
	return errors.As(err, &conflict) || errors.As(err, &notWritten) || errors.As(err, &invalid) || errors.As(err, &reused)
}

// runOperation carries out an operation: it reads the entity at a VM, edits it and
// proposes the change.
func (w *world) runOperation(o operation) {
	time.Sleep(o.at)
	v := w.vm(o.vm)
	if v == nil {
		return
	}
	p, ok := edit(v.Store().Current(), o)
	if !ok {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { w.propose(v, p) })
	if second := w.vm(o.second); second != nil && o.second >= 0 {
		time.Sleep(copyDelay)
		both.Go(func() { w.propose(second, p) })
	}
	both.Wait()
}

// edit returns the proposal of an operation, as an operator's tool creates it. Like the
// admin API, it does not change a target that is being reloaded.
func edit(s *config.Snapshot, o operation) (confstore.Proposal, bool) {
	if o.kind == "profile" {
		profile := s.Profiles[o.name]
		if profile == nil {
			return confstore.Proposal{}, false
		}
		changed := *profile
		changed.Models = []config.ModelRef{{Model: "m", Version: otherVersion(profile.Models[0].Version), Weight: 1}}
		return proposal(config.EntityProfile, o.name, changed, profile.Revision), true
	}
	target := s.Targets[o.name]
	if target == nil || target.State == config.StateReloading {
		return confstore.Proposal{}, false
	}
	changed := *target
	switch o.kind {
	case "drain":
		changed.State = config.StateDraining
	case "undrain":
		changed.State = config.StateActive
	case "version":
		changed.Version = otherVersion(target.Version)
	}
	return proposal(config.EntityTarget, o.name, changed, target.Revision), true
}

func otherVersion(v string) string {
	if v == "1" {
		return "2"
	}
	return "1"
}

func proposal(kind config.EntityKind, name string, entity any, revision uint64) confstore.Proposal {
	value, err := json.Marshal(entity)
	if err != nil {
		panic(err)
	}
	return confstore.Proposal{ID: uuid.NewString(), Author: "operator", Kind: kind, Name: name, Value: value, IfRevision: revision}
}
