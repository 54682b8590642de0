package roster

import (
	"context"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/membership"
	"geraniumcroft/internal/standin/platformsim"
)

// knownMembers is a membership in which everyone known has everything in force.
type knownMembers []membership.Member

func (k knownMembers) InForce(uint64) (confirmed, missing []string) {
	for _, m := range k {
		confirmed = append(confirmed, m.Name)
	}
	return confirmed, nil
}

func (k knownMembers) Members() []membership.Member { return k }

func newRoster(table *platformsim.Store, vm string, known ...string) *Roster {
	var members knownMembers
	for _, name := range known {
		members = append(members, membership.Member{Name: name})
	}
	return New(table, vm, members, zap.NewNop())
}

// An operator's change is about to be answered as accepted. A VM that nobody knows
// of yet has read the configuration before the change: it registered before, so it
// is named as missing, also when the rows were read a moment ago for another
// change. The first version trusted rows that were up to 200 ms old and accepted.
func TestUnknownVMWithARowIsMissing(t *testing.T) {
	ctx := context.Background()
	table := platformsim.NewStore()
	accepting := newRoster(table, "entry-1")
	if _, missing := accepting.InForce(1); len(missing) != 0 {
		t.Fatalf("missing %v in an empty fleet", missing)
	}
	if err := newRoster(table, "entry-2").Register(ctx); err != nil {
		t.Fatal(err)
	}
	if _, missing := accepting.InForce(2); !slices.Equal(missing, []string{"entry-2"}) {
		t.Errorf("missing %v", missing)
	}
	if _, missing := accepting.InForce(1); !slices.Equal(missing, []string{"entry-2"}) {
		t.Errorf("missing %v of the older change", missing)
	}
}

// The store goes out between the commit and the reading of the rows. Nobody can
// have read an older configuration from it since, so membership alone answers and
// the operator is not kept waiting for the store.
func TestStoreOutageLeavesTheAnswerToMembership(t *testing.T) {
	table := platformsim.NewStore()
	accepting := newRoster(table, "entry-1", "entry-3")
	table.Faults.Set(platformsim.Order{Outage: platformsim.OutageUnavailable})
	confirmed, missing := accepting.InForce(1)
	if !slices.Equal(confirmed, []string{"entry-3"}) || len(missing) != 0 {
		t.Errorf("confirmed %v, missing %v", confirmed, missing)
	}
}

// A VM died without deleting its row. It holds up operators' changes until the
// sweep has seen it dead or unknown for long enough, and not longer; the rows of
// VMs that serve stay.
func TestSweepDeletesRowsOfTheDeadAlone(t *testing.T) {
	ctx := context.Background()
	table := platformsim.NewStore()
	for _, vm := range []string{"entry-1", "entry-2", "entry-3"} {
		if err := newRoster(table, vm).Register(ctx); err != nil {
			t.Fatal(err)
		}
	}
	sweeping := newRoster(table, "entry-1", "entry-3")
	start := time.Now()
	for _, after := range []time.Duration{0, forgetAfter - time.Second} {
		if err := sweeping.Sweep(ctx, start.Add(after)); err != nil {
			t.Fatal(err)
		}
	}
	if _, missing := sweeping.InForce(1); !slices.Equal(missing, []string{"entry-2"}) {
		t.Errorf("missing %v before the bound", missing)
	}
	if err := sweeping.Sweep(ctx, start.Add(forgetAfter)); err != nil {
		t.Fatal(err)
	}
	rows, err := table.Scan(ctx, rowPrefix, rowEnd, scanLimit)
	if err != nil || !slices.Equal(names(rows), []string{"entry-1", "entry-3"}) {
		t.Errorf("left are %v, %v", names(rows), err)
	}
}
