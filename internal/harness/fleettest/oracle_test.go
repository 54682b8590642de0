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
	maxLateness = 3 * time.Second
)

// lease holds the fields of a lease's row that the oracle reads.
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

// changes returns the history of configuration changes in the table.
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

// check compares the answers to callers and operators with what happened. It returns
// all problems found in the run.
func (w *world) check(all []callerResult) []string {
	history := w.changes()
	w.checkHistory(history)
	w.checkOperators(history)
	w.checkDrains(history)
	for _, got := range all {
		w.checkCaller(got)
	}
	for name, e := range w.engines {
		counts := e.Counts()
		if counts.CutOff > 0 {
			w.problemf("a reload of %s cut off %d requests", name, counts.CutOff)
		}
		if e.Target().RefusesOldFencing == false && counts.OldFencing > 0 {
			w.problemf("%s, which ignores fencing numbers, got %d orders of an old holder after one of a newer holder", name, counts.OldFencing)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.problems
}

// checkHistory replays the history in the table: it must have no gaps, and each
// version that a VM had in force must equal the one in the table.
func (w *world) checkHistory(history []config.Change) {
	s := config.NewSnapshot()
	for _, change := range history {
		next, err := s.Apply(change)
		if err != nil {
			w.problemf("the history cannot be replayed: %v", err)
			return
		}
		s = next
		encoded, _ := json.Marshal(s)
		w.mu.Lock()
		seen, known := w.snapshots[s.Version]
		w.mu.Unlock()
		if known && seen != string(encoded) {
			w.problemf("version %d on a VM is %s, in the table %s", s.Version, seen, encoded)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for version := range w.snapshots {
		if version > s.Version {
			w.problems = append(w.problems, "a VM had a version in force that the table does not have")
		}
	}
}

// checkOperators checks the answers to proposals: a change reported as written must be
// in the history under its version, and a change that was refused at every VM where it
// was proposed must not be in it.
func (w *world) checkOperators(history []config.Change) {
	byID := map[string]config.Change{}
	for _, change := range history {
		byID[change.ID] = change
	}
	refusedOnly := map[string]bool{}
	for _, a := range w.proposals.list() {
		change, stands := byID[a.ID]
		written := a.kind == answerWritten || a.kind == answerAccepted
		if written && (!stands || change.Version != a.version) {
			w.problemf("%s reported version %d for %s, the table has %d", a.vm, a.version, a.ID, change.Version)
		}
		so, seen := refusedOnly[a.ID]
		refusedOnly[a.ID] = a.kind == answerRefused && (so || !seen)
	}
	for id, refused := range refusedOnly {
		if change, stands := byID[id]; refused && stands {
			w.problemf("proposal %s (%s %s) was refused but is version %d", id, change.Kind, change.Name, change.Version)
		}
	}
}

// drainPeriod is a period in which a drained target must not get any request that
// arrived within the period.
type drainPeriod struct {
	target      string
	from, until time.Time
}

// checkDrains checks that no request that arrived after a drain was accepted is sent
// to the target before it is put back into service.
func (w *world) checkDrains(history []config.Change) {
	drains := w.drainPeriods(history)
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
			w.problemf("%v, a request that never arrived", s)
			continue
		}
		for _, q := range drains {
			if names[s.address] == q.target && arrived.After(q.from) && s.at.Before(q.until) {
				w.problemf("%v at %s; it arrived %s after the drain was accepted", s, s.at, arrived.Sub(q.from))
			}
		}
	}
}

// drainPeriods returns the periods that follow the accepted drains.
func (w *world) drainPeriods(history []config.Change) []drainPeriod {
	proposed := map[string]time.Time{}
	for _, a := range w.proposals.list() {
		if first, ok := proposed[a.ID]; !ok || a.from.Before(first) {
			proposed[a.ID] = a.from
		}
	}
	var all []drainPeriod
	for _, a := range w.proposals.list() {
		if a.Kind != config.EntityTarget || a.kind != answerAccepted || takesWork(a.Value) {
			continue
		}
		all = append(all, drainPeriod{a.Name, a.until, drainEnd(a, history, proposed)})
	}
	return all
}

func takesWork(value json.RawMessage) bool {
	var target config.Target
	return json.Unmarshal(value, &target) == nil && target.TakesWork()
}

// drainEnd returns the earliest time at which a target may get work after a drain: the
// first proposal of the next change that lets it take work, or, if that is not known
// to be earlier, the time of the change itself. Without such a change it is a time
// after the run.
func drainEnd(drain proposalResult, history []config.Change, proposed map[string]time.Time) time.Time {
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

// checkCaller checks the answer to one caller.
func (w *world) checkCaller(got callerResult) {
	if got.skipped {
		return
	}
	for position, text := range got.tokens {
		if text != enginesim.TokenText(position) {
			w.problemf("%v: token %d is %q", got, position, text)
		}
	}
	if got.profile == "hold" || got.profile == "ask" {
		w.checkCall(got)
	}
	if got.lost {
		return
	}
	if got.late > maxLateness {
		w.problemf("%v was answered %s after its deadline", got, got.late)
	}
	if got.profile == "draft" || got.profile == "check" {
		w.checkGeneration(got)
	}
	if got.reason == outcome.ReasonInternal {
		w.problemf("%v ended with an internal error", got)
	}
	if got.reason == outcome.ReasonCallerGone && got.disconnectAfter == 0 {
		w.problemf("%v was cut off (graceful stop %t)", got, got.graceful)
	}
}

func (w *world) checkGeneration(got callerResult) {
	switch {
	case got.outcome == outcome.Complete && len(got.tokens) != got.arrival.tokens:
		w.problemf("%v: complete with %d of %d tokens", got, len(got.tokens), got.arrival.tokens)
	case got.outcome == outcome.NotRun && len(got.tokens) != 0:
		w.problemf("%v: not-run with %d tokens", got, len(got.tokens))
	}
}

func (w *world) checkCall(got callerResult) {
	ran := w.services.timesRun(got.body)
	switch {
	case got.profile == "hold" && ran > 1:
		w.problemf("%v ran %d times", got, ran)
	case got.lost:
	case got.outcome == outcome.NotRun && ran > 0:
		w.problemf("%v was reported as not run but ran %d times", got, ran)
	case got.outcome == outcome.Complete && ran == 0:
		w.problemf("%v was reported as complete but never ran", got)
	}
}
