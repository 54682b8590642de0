package pushback

import (
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"
)

// exchange merges the notices of one ledger into another one.
func exchange(from, to *Ledger, seconds float64) {
	to.Merge(from.Notices(at(seconds)), 0, at(seconds))
}

// Guards against a limit, or its end, that a VM learns only from answers to its own requests.
func TestLimitAndItsEndAreMergedFromNotices(t *testing.T) {
	source, peer := NewLedger(zap.NewNop()), NewLedger(zap.NewNop())
	observe(source, Signal{Limit: LimitOf(5)}, 1, 2)
	exchange(source, peer, 3)
	if got := dumpedLimit(peer); got == nil || *got != 5 {
		t.Fatalf("limit %v", got)
	}
	observe(source, Signal{}, 4, 5)
	exchange(source, peer, 6)
	if got := dumpedLimit(peer); got != nil {
		t.Errorf("limit %v after a notice of its end", *got)
	}
}

// Guards against a limit that is set again by an old notice of a VM that does not know its end.
func TestOlderNoticeIsIgnored(t *testing.T) {
	source, peer := NewLedger(zap.NewNop()), NewLedger(zap.NewNop())
	observe(source, Signal{Limit: LimitOf(5)}, 1, 2)
	observe(peer, Signal{Limit: LimitOf(5)}, 1, 2)
	observe(peer, Signal{}, 3, 4)
	exchange(source, peer, 5)
	if got := dumpedLimit(peer); got != nil {
		t.Errorf("limit %v was set by an old notice", *got)
	}
}

// Guards against VMs that are no senders and never find out that the limit has ended.
func TestNonSenderSendsOneTrialRequest(t *testing.T) {
	l := NewLedger(zap.NewNop())
	l.SetFleet(Fleet{Self: "vm-1", Known: true, VMs: fleetVMs(2)}, at(0))
	l.quotas = func(Limit, Fleet, int) quota { return trialQuota(1, 0) }
	observe(l, Signal{Limit: LimitOf(1)}, 0, 0)
	early, late := at(0).Add(trialDelay-time.Millisecond), at(0).Add(trialDelay)
	if l.Take(testReplica, early) || !l.Take(testReplica, late) || l.Take(testReplica, late) {
		t.Error("want exactly one trial after trialDelay")
	}
}

// Guards against a token bucket that is refilled by each answer with the same limit.
func TestRepeatedLimitDoesNotRefillQuota(t *testing.T) {
	l := NewLedger(zap.NewNop())
	l.SetFleet(Fleet{Self: "vm-0", Known: true, VMs: fleetVMs(1)}, at(0))
	sent := 0
	for ms := range 4000 {
		now := at(float64(ms) / 1000)
		l.Observe(Origin{Replica: testReplica, Sent: now}, Signal{Limit: LimitOf(5)}, now)
		if l.Take(testReplica, now) {
			sent++
		}
	}
	if sent > 20 {
		t.Errorf("%d requests in 4 s at 5 per second", sent)
	}
}

// Guards against a limit that other VMs ignore: the first answer of a leaving replica had one that cannot
// be parsed, and the age of the notice overflowed into the future.
func TestNoticeWithoutKnownLimitDoesNotHideLaterOnes(t *testing.T) {
	source, peer := NewLedger(zap.NewNop()), NewLedger(zap.NewNop())
	observe(source, Signal{Leaving: true, LimitInvalid: true, ParseErr: errors.New("a limit of -1")}, 1, 2)
	notices := source.Notices(at(3))
	peer.Merge(notices, time.Minute, at(3))
	if !peer.Leaving(testReplica) {
		t.Error("replica is not marked as leaving")
	}
	observe(source, Signal{Limit: LimitOf(5)}, 4, 5)
	exchange(source, peer, 6)
	if got := dumpedLimit(peer); got == nil || *got != 5 {
		t.Errorf("limit %v", got)
	}
}
