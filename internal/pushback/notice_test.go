package pushback

import (
	"testing"
	"time"

	"go.uber.org/zap"
)

// tell passes on what one ledger knows at a moment.
func tell(from, to *Ledger, seconds float64) {
	to.Merge(from.Notices(at(seconds)), 0, at(seconds))
}

// Guards against a limit that other VMs learn of only by answers of their own.
func TestLimitAndItsEndAreLearnedFromOtherVMs(t *testing.T) {
	heard, told := NewLedger(zap.NewNop()), NewLedger(zap.NewNop())
	hear(heard, Signal{Limit: LimitOf(5)}, 1, 2)
	tell(heard, told, 3)
	if got := named(told); got == nil || *got != 5 {
		t.Fatalf("limit %v", got)
	}
	hear(heard, Signal{}, 4, 5)
	tell(heard, told, 6)
	if got := named(told); got != nil {
		t.Errorf("limit %v after its end was told", *got)
	}
}

// Guards against a limit that comes back by the late word of a VM which has not heard of its end.
func TestOlderWordOfAnotherVMEndsNothing(t *testing.T) {
	heard, told := NewLedger(zap.NewNop()), NewLedger(zap.NewNop())
	hear(heard, Signal{Limit: LimitOf(5)}, 1, 2)
	hear(told, Signal{Limit: LimitOf(5)}, 1, 2)
	hear(told, Signal{}, 3, 4)
	tell(heard, told, 5)
	if got := named(told); got != nil {
		t.Errorf("limit %v is back", *got)
	}
}

// Guards against VMs without a part in a limit that never find out that it has ended.
func TestVMWithoutAPartTriesOneRequestAfterAWhile(t *testing.T) {
	l := NewLedger(zap.NewNop())
	l.SetFleet(Fleet{Self: "vm-1", Known: true, VMs: fleetOf(2)}, at(0))
	l.parts = func(Limit, Fleet, int) part { return trialPart(1, 0) }
	hear(l, Signal{Limit: LimitOf(1)}, 0, 0)
	early, late := at(0).Add(trialAfter-time.Millisecond), at(0).Add(trialAfter)
	if l.Take(desk, early) || !l.Take(desk, late) || l.Take(desk, late) {
		t.Error("not one trial after the time without news")
	}
}

// Guards against an answer that names the same limit again and makes the VM forget what it sent.
func TestLimitThatIsNamedAgainGivesNoNewRequests(t *testing.T) {
	l := NewLedger(zap.NewNop())
	l.SetFleet(Fleet{Self: "vm-0", Known: true, VMs: fleetOf(1)}, at(0))
	sent := 0
	for ms := range 4000 {
		now := at(float64(ms) / 1000)
		l.Observe(Origin{Replica: desk, Sent: now}, Signal{Limit: LimitOf(5)}, now)
		if l.Take(desk, now) {
			sent++
		}
	}
	if sent > 20 {
		t.Errorf("%d requests in 4 s at 5 a second", sent)
	}
}
