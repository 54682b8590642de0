package drain

import (
	"encoding/json"
	"maps"
	"testing"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/platform"
)

const (
	name    = "engine-1"
	address = "10.0.0.7"
)

// bench is a tracker over one target, with what OnChange was told.
type bench struct {
	source  *config.StaticSource
	tracker *Tracker
	told    []map[string]Cause
}

func newBench() *bench {
	b := &bench{source: config.NewStaticSource(config.NewSnapshot())}
	b.tracker = New(Options{ConfigSource: b.source, OnChange: func(m map[string]Cause) { b.told = append(b.told, m) }})
	b.operator(config.StateActive)
	return b
}

func (b *bench) operator(state config.TargetState) {
	value, err := json.Marshal(config.Target{Address: address + ":9000", State: state})
	if err != nil {
		panic(err)
	}
	now := b.source.Current()
	next, err := now.Apply(config.Change{Version: now.Version + 1, Kind: config.EntityTarget, Name: name, Value: value})
	if err != nil {
		panic(err)
	}
	b.source.Set(next)
	b.tracker.Refresh()
}

func (b *bench) list(leaving bool) {
	b.tracker.SetVMs([]platform.VM{{Name: "vm", Address: "::ffff:" + address, Role: "target", Leaving: leaving}})
}

func (b *bench) expect(t *testing.T, want Cause) {
	t.Helper()
	if got := b.tracker.Leaving()[name]; got != want {
		t.Fatalf("leaving for %q, want %q", got, want)
	}
	if last := b.told[len(b.told)-1]; last[name] != want {
		t.Fatalf("told %q, want %q", last[name], want)
	}
}

// The operator undrains a target while the list, which lags, still shows its machine
// as leaving. The target gets no new work until the list agrees: work given to a
// machine that goes would be cut off, work withheld only takes a detour.
func TestUndrainWaitsForTheList(t *testing.T) {
	b := newBench()
	b.operator(config.StateDraining)
	b.list(true)
	b.expect(t, CauseOperator|CauseVMList)
	b.operator(config.StateActive)
	b.expect(t, CauseVMList)
	b.list(false)
	b.expect(t, 0)
}

// The operator drains a target and the list shows its machine as live, as it did
// before. The list knows nothing of operators and ends no drain.
func TestListDoesNotEndAnOperatorsDrain(t *testing.T) {
	b := newBench()
	b.list(true)
	b.operator(config.StateDraining)
	b.list(false)
	b.expect(t, CauseOperator)
	b.tracker.SetVMs(nil)
	b.expect(t, CauseOperator)
}

// A target says in its report that it goes, before the list knows; its newest report
// counts, and one of a target that was removed is forgotten.
func TestOwnReportCounts(t *testing.T) {
	b := newBench()
	b.tracker.Report(name, engine.LoadReport{Leaving: true})
	b.expect(t, CauseReport)
	b.tracker.Report("stranger", engine.LoadReport{Leaving: true})
	if all := b.tracker.Leaving(); !maps.Equal(all, map[string]Cause{name: CauseReport}) {
		t.Fatalf("leaving %v", all)
	}
	b.tracker.Report(name, engine.LoadReport{})
	b.expect(t, 0)
}

// An address passes from a machine that went to a new one, and the list shows both.
func TestAddressBelongsToItsNewestMachine(t *testing.T) {
	then := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	old := platform.VM{Name: "old", Address: address, Leaving: true, Since: then}
	fresh := platform.VM{Name: "new", Address: address, Since: then.Add(time.Minute)}
	for _, vms := range [][]platform.VM{{old, fresh}, {fresh, old}} {
		b := newBench()
		b.tracker.SetVMs(vms)
		b.expect(t, 0)
	}
	twin := fresh
	twin.Since = then
	b := newBench()
	b.tracker.SetVMs([]platform.VM{old, twin})
	b.expect(t, CauseVMList)
}

// Nothing is told when nothing changed, so the balancer is not disturbed each second.
func TestOnChangeOnlyOnChange(t *testing.T) {
	b := newBench()
	b.list(true)
	told := len(b.told)
	b.list(true)
	if len(b.told) != told {
		t.Fatalf("told %d times", len(b.told)-told)
	}
}
