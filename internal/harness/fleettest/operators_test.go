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
	operatorPatience = 15 * time.Second
	closeAnswers     = 50 * time.Millisecond
)

// answerKind is what an operator was told.
type answerKind uint8

const (
	// toldNothing: the VM died, or the change may have been written.
	toldNothing answerKind = iota
	toldRefused
	// toldWritten: it is in the history, but not yet in force everywhere.
	toldWritten
	toldAccepted
)

// answered is one proposal with its answer.
type answered struct {
	confstore.Proposal
	vm      string
	kind    answerKind
	version uint64
	err     error
	from    time.Time
	until   time.Time
}

// operators remembers what they proposed and were told.
type operators struct {
	mu  sync.Mutex // guards all
	all []answered
}

func (o *operators) add(a answered) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, a)
}

func (o *operators) list() []answered {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]answered(nil), o.all...)
}

// propose proposes at one VM and judges the answer on the spot.
func (w *world) propose(v *vm, p confstore.Proposal) answered {
	a := answered{Proposal: p, vm: v.name, from: time.Now()}
	w.trace.note("%s is asked for %s: %s %s at %d: %s", v.name, p.ID, p.Kind, p.Name, p.IfRevision, p.Value)
	ctx, cancel := context.WithTimeout(v.requests, operatorPatience)
	defer cancel()
	acceptance, err := v.Change(ctx, p)
	a.until, a.version, a.err = time.Now(), acceptance.Version, err
	w.trace.note("%s answers %s: %+v %v", v.name, p.ID, acceptance, err)
	switch {
	case v.severed.Load():
	case err == nil && acceptance.Accepted:
		a.kind = toldAccepted
		w.raise(acceptance.Version)
		w.judgeServing("as it was accepted on " + v.name)
	case err == nil:
		a.kind = toldWritten
	case isRefusal(err):
		a.kind = toldRefused
	}
	w.history.add(a)
	return a
}

func (w *world) raise(version uint64) {
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

// operate carries out one operation: it reads at a VM, edits and proposes.
func (w *world) operate(o operation) {
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
		time.Sleep(closeAnswers)
		both.Go(func() { w.propose(second, p) })
	}
	both.Wait()
}

// edit returns the proposal of an operation, as an operator's tool makes it. As
// the admin API does, it leaves a target alone that is being reloaded.
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
