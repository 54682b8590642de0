package fleettest

import (
	"encoding/json"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/outcome"
)

const (
	changesFrom = "config/change/"
	changesTo   = "config/change0"
	lateBound   = 3 * time.Second
)

// lease is what the oracle reads of a lease's row.
type lease struct {
	Holder  string `json:"holder"`
	Fencing uint64 `json:"fencing"`
}

func leaseRow(store *platformsim.Store, duty string) lease {
	var l lease
	if row := store.Peek("lease/" + duty); row.Revision != 0 {
		if err := json.Unmarshal(row.Value, &l); err != nil {
			panic(err)
		}
	}
	return l
}

// changes returns the history that the table holds.
func (w *world) changes() []config.Change {
	var all []config.Change
	for _, key := range w.store.PeekKeys(changesFrom, changesTo) {
		var change config.Change
		if err := json.Unmarshal(w.store.Peek(key).Value, &change); err != nil {
			panic(err)
		}
		all = append(all, change)
	}
	return all
}

// judge compares what callers and operators were told with what happened.
func (w *world) judge(all []told) []string {
	history := w.changes()
	w.judgeHistory(history)
	w.judgeOperators(history)
	w.judgeDrains(history)
	for _, got := range all {
		w.judgeCaller(got)
	}
	for name, e := range w.engines {
		counts := e.Counts()
		if counts.CutOff > 0 {
			w.wrong("a reload of %s cut off %d requests", name, counts.CutOff)
		}
		if e.Target().RefusesOldFencing == false && counts.OldFencing > 0 {
			w.wrong("%s, which ignores fencing numbers, got %d orders of an old holder after one of a new", name, counts.OldFencing)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.problems
}

// judgeHistory replays the table: no gaps, and each VM that put a version in force
// had what the table says.
func (w *world) judgeHistory(history []config.Change) {
	s := config.NewSnapshot()
	for _, change := range history {
		next, err := s.Apply(change)
		if err != nil {
			w.wrong("the history cannot be replayed: %v", err)
			return
		}
		s = next
		print, _ := json.Marshal(s)
		w.mu.Lock()
		seen, known := w.prints[s.Version]
		w.mu.Unlock()
		if known && seen != string(print) {
			w.wrong("version %d on a VM is %s, in the table %s", s.Version, seen, print)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for version := range w.prints {
		if version > s.Version {
			w.problems = append(w.problems, "a VM had a version in force that the table does not have")
		}
	}
}

// judgeOperators: what was written stands under its version, what was refused
// everywhere it was proposed does not.
func (w *world) judgeOperators(history []config.Change) {
	byID := map[string]config.Change{}
	for _, change := range history {
		byID[change.ID] = change
	}
	refusedOnly := map[string]bool{}
	for _, a := range w.history.list() {
		change, stands := byID[a.ID]
		written := a.kind == toldWritten || a.kind == toldAccepted
		if written && (!stands || change.Version != a.version) {
			w.wrong("%s told an operator version %d for %s, the table has %d", a.vm, a.version, a.ID, change.Version)
		}
		so, seen := refusedOnly[a.ID]
		refusedOnly[a.ID] = a.kind == toldRefused && (so || !seen)
	}
	for id, refused := range refusedOnly {
		if change, stands := byID[id]; refused && stands {
			w.wrong("proposal %s (%s %s) was refused and is version %d", id, change.Kind, change.Name, change.Version)
		}
	}
}

// quiet is a time in which a target may get no request that arrived within it.
type quiet struct {
	target      string
	from, until time.Time
}

// judgeDrains: no request that arrived after a drain was accepted is sent to the
// target before somebody asks for it back.
func (w *world) judgeDrains(history []config.Change) {
	drains := w.quietTimes(history)
	names := map[string]string{}
	for _, change := range history {
		var target config.Target
		if change.Kind == config.EntityTarget && json.Unmarshal(change.Value, &target) == nil {
			names[target.Address] = change.Name
		}
	}
	w.sends.mu.Lock()
	defer w.sends.mu.Unlock()
	for _, s := range w.sends.all {
		w.mu.Lock()
		arrived, known := w.arrivals[s.request]
		w.mu.Unlock()
		if !known {
			w.wrong("%v, which never arrived", s)
			continue
		}
		for _, q := range drains {
			if names[s.address] == q.target && arrived.After(q.from) && s.at.Before(q.until) {
				w.wrong("%v at %s; it arrived %s after the drain was accepted", s, s.at, arrived.Sub(q.from))
			}
		}
	}
}

func (w *world) quietTimes(history []config.Change) []quiet {
	proposed := map[string]time.Time{}
	for _, a := range w.history.list() {
		if first, ok := proposed[a.ID]; !ok || a.from.Before(first) {
			proposed[a.ID] = a.from
		}
	}
	var all []quiet
	for _, a := range w.history.list() {
		if a.Kind != config.EntityTarget || a.kind != toldAccepted || takesWork(a.Value) {
			continue
		}
		all = append(all, quiet{a.Name, a.until, endOf(a, history, proposed)})
	}
	return all
}

func takesWork(value json.RawMessage) bool {
	var target config.Target
	return json.Unmarshal(value, &target) == nil && target.TakesWork()
}

// endOf returns when a target could get work again after a drain.
func endOf(drain answered, history []config.Change, proposed map[string]time.Time) time.Time {
	for _, change := range history {
		if change.Version <= drain.version || change.Kind != drain.Kind || change.Name != drain.Name || !takesWork(change.Value) {
			continue
		}
		if from, ok := proposed[change.ID]; ok && from.Before(change.Time) {
			return from
		}
		return change.Time
	}
	return time.Now().Add(time.Hour)
}

func (w *world) judgeCaller(got told) {
	if got.skipped {
		return
	}
	for position, text := range got.tokens {
		if text != enginesim.TokenText(position) {
			w.wrong("%v: token %d is %q", got, position, text)
		}
	}
	if got.profile == "hold" || got.profile == "ask" {
		w.judgeCall(got)
	}
	if got.lost {
		return
	}
	if got.late > lateBound {
		w.wrong("%v was answered %s after its deadline", got, got.late)
	}
	if got.profile == "draft" || got.profile == "check" {
		w.judgeGeneration(got)
	}
	if got.reason == outcome.ReasonInternal {
		w.wrong("%v ended in a way that nobody foresaw", got)
	}
	if got.reason == outcome.ReasonCallerGone && got.gone == 0 {
		w.wrong("%v was cut off (orderly stop %t)", got, got.inOrder)
	}
}

func (w *world) judgeGeneration(got told) {
	switch {
	case got.outcome == outcome.Complete && len(got.tokens) != got.arrival.tokens:
		w.wrong("%v: complete with %d of %d tokens", got, len(got.tokens), got.arrival.tokens)
	case got.outcome == outcome.NotRun && len(got.tokens) != 0:
		w.wrong("%v: not-run with %d tokens", got, len(got.tokens))
	}
}

func (w *world) judgeCall(got told) {
	ran := w.services.timesRun(got.body)
	switch {
	case got.profile == "hold" && ran > 1:
		w.wrong("%v ran %d times", got, ran)
	case got.lost:
	case got.outcome == outcome.NotRun && ran > 0:
		w.wrong("%v was told as not run and ran %d times", got, ran)
	case got.outcome == outcome.Complete && ran == 0:
		w.wrong("%v was told as complete and never ran", got)
	}
}
