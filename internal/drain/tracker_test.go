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

// fixture is a Tracker with one target, and the arguments of its calls of OnChange.
type fixture struct {
	source   *config.StaticSource
	tracker  *Tracker
	notified []map[string]Cause
}

func newFixture() *fixture {
	f := &fixture{source: config.NewStaticSource(config.NewSnapshot())}
	f.tracker = New(Options{ConfigSource: f.source, OnChange: func(m map[string]Cause) { f.notified = append(f.notified, m) }})
	f.setState(config.StateActive)
	return f
}

func (f *fixture) setState(state config.TargetState) {
	value, err := json.Marshal(config.Target{Address: address + ":9000", State: state})
	if err != nil {
		panic(err)
	}
	now := f.source.Current()
	next, err := now.Apply(config.Change{Version: now.Version + 1, Kind: config.EntityTarget, Name: name, Value: value})
	if err != nil {
		panic(err)
	}
	f.source.Set(next)
	f.tracker.Refresh()
}

func (f *fixture) setListed(leaving bool) {
	f.tracker.SetVMs([]platform.VM{{Name: "vm", Address: "::ffff:" + address, Role: "target", Leaving: leaving}})
}

func (f *fixture) expect(t *testing.T, want Cause) {
	t.Helper()
	if got := f.tracker.Leaving()[name]; got != want {
		t.Fatalf("leaving for %q, want %q", got, want)
	}
	if last := f.notified[len(f.notified)-1]; last[name] != want {
		t.Fatalf("OnChange got %q, want %q", last[name], want)
	}
}

// An operator undrains a target while the list, which lags, still shows its machine as leaving. The
// target must get no new work until the list agrees: work sent to a machine that goes would be cut
// off, while withheld work is only sent elsewhere.
func TestUndrainWaitsForTheList(t *testing.T) {
	f := newFixture()
	f.setState(config.StateDraining)
	f.setListed(true)
	f.expect(t, CauseOperator|CauseVMList)
	f.setState(config.StateActive)
	f.expect(t, CauseVMList)
	f.setListed(false)
	f.expect(t, 0)
}

// An operator drains a target while the list shows its machine as live, as it did before. The list
// does not know about operators' drains and must not end one.
func TestListDoesNotEndAnOperatorsDrain(t *testing.T) {
	f := newFixture()
	f.setListed(true)
	f.setState(config.StateDraining)
	f.setListed(false)
	f.expect(t, CauseOperator)
	f.tracker.SetVMs(nil)
	f.expect(t, CauseOperator)
}

// A target reports that it is leaving before the list shows it. Its newest report must count, and
// the report of a target that is not configured must be dropped.
func TestNewestReportCounts(t *testing.T) {
	f := newFixture()
	f.tracker.Report(name, engine.LoadReport{Leaving: true})
	f.expect(t, CauseReport)
	f.tracker.Report("stranger", engine.LoadReport{Leaving: true})
	if all := f.tracker.Leaving(); !maps.Equal(all, map[string]Cause{name: CauseReport}) {
		t.Fatalf("leaving %v", all)
	}
	f.tracker.Report(name, engine.LoadReport{})
	f.expect(t, 0)
}

// An address passes from a machine that is gone to a new one, and the list shows both. The newer
// entry must count, and of two equally old ones the leaving one.
func TestAddressBelongsToItsNewestMachine(t *testing.T) {
	then := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	old := platform.VM{Name: "old", Address: address, Leaving: true, Since: then}
	fresh := platform.VM{Name: "new", Address: address, Since: then.Add(time.Minute)}
	for _, vms := range [][]platform.VM{{old, fresh}, {fresh, old}} {
		f := newFixture()
		f.tracker.SetVMs(vms)
		f.expect(t, 0)
	}
	twin := fresh
	twin.Since = then
	f := newFixture()
	f.tracker.SetVMs([]platform.VM{old, twin})
	f.expect(t, CauseVMList)
}

// OnChange must not be called when nothing has changed, or the balancer would be updated each
// second for nothing.
func TestOnChangeIsCalledOnlyOnChange(t *testing.T) {
	f := newFixture()
	f.setListed(true)
	notified := len(f.notified)
	f.setListed(true)
	if len(f.notified) != notified {
		t.Fatalf("OnChange was called %d times", len(f.notified)-notified)
	}
}
