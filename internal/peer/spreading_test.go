package peer

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/membership"
	"geraniumcroft/internal/peer/peerpb"
)

const (
	joinBound   = 30 * time.Second
	settleTime  = 3 * time.Second
	smallBound  = 2 * time.Second
	pushBound   = 200 * time.Millisecond
	deathBound  = time.Minute
	healBound   = 2 * time.Minute
	spreadBound = 16 * time.Second
)

// run tests a fleet in virtual time, once all its VMs know each other and keep
// connections.
func run(t *testing.T, size int, s Settings, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, size, s)
		defer f.stop()
		f.within(joinBound, "all know all", f.joined(size))
		time.Sleep(settleTime)
		test(t, f)
	})
}

// An operator changes a profile and waits for the answer. The VM that took the
// change pushes it to all; each confirms in the answer to the push, so the
// operator has to wait for no timer.
func TestChangeIsInForceOnAll(t *testing.T) {
	run(t, 6, Settings{}, func(t *testing.T, f *fleet) {
		version := f.vm(2).change("a")
		f.within(pushBound, "in force on all", f.allAt(version))
		f.within(pushBound, "the origin knows", func() bool {
			confirmed, missing := f.vm(2).node.InForce(version)
			return len(confirmed) == 6 && len(missing) == 0
		})
	})
}

// An operator drains a target. One VM has taken the change in, but its balancer
// has yet to act by it. The operator is told that this VM is missing until it does:
// a confirmation of what was merely received would let the target get new work
// after "accepted".
func TestReceivedIsNotInForce(t *testing.T) {
	run(t, 3, Settings{}, func(t *testing.T, f *fleet) {
		first := f.vm(0).change("a")
		f.within(smallBound, "in force on all", f.allAt(first))
		slow := f.vm(1).store.(*memoryStore)
		slow.hold(first)
		second := f.vm(0).change("b")
		f.within(smallBound, "received by all", f.allAt(second))
		time.Sleep(settleTime)
		if _, missing := f.vm(0).node.InForce(second); !slices.Equal(missing, []string{vmName(1)}) {
			t.Errorf("missing %v", missing)
		}
		slow.hold(0)
		f.within(settleTime, "the origin knows", func() bool {
			_, missing := f.vm(0).node.InForce(second)
			return len(missing) == 0
		})
	})
}

// An operator asks any VM of a large fleet who has a change in force. The change
// is passed on by pushes and anti-entropy, and each VM's version by gossip, so
// that VM knows it of all without asking each.
func TestLargeFleetKnowsWhatIsInForce(t *testing.T) {
	run(t, 40, Settings{}, func(t *testing.T, f *fleet) {
		version := f.vm(7).change("a")
		f.within(spreadBound, "in force on all", f.allAt(version))
		f.within(spreadBound, "all know of all", func() bool {
			for _, vm := range f.vms {
				if confirmed, _ := vm.node.InForce(version); len(confirmed) != 40 {
					return false
				}
			}
			return true
		})
	})
}

// An operator's change reaches all though the pushing VM dies right after its
// first push: the VM that has it hands it on by anti-entropy. There is no store
// in this test at all.
func TestChangeOutlivesItsOrigin(t *testing.T) {
	run(t, 6, Settings{}, func(t *testing.T, f *fleet) {
		origin := vmName(5)
		f.network.SetCut(func(from, to string) bool {
			return (from == origin || to == origin) && from != vmName(0) && to != vmName(0)
		})
		version := f.vm(5).change("a")
		f.within(pushBound, "one VM has it", func() bool { return f.vm(0).store.Current().Version == version })
		f.kill(origin)
		f.within(smallBound, "in force on all others", f.allAt(version))
	})
}

// One VM's connections all went silent, with no error on either side. The
// operator's change is in force on it within two seconds all the same: the push
// fails on the kept connection and succeeds on a new one, and the VM is not
// suspected.
func TestSilentConnectionsDoNotDelay(t *testing.T) {
	run(t, 6, Settings{}, func(t *testing.T, f *fleet) {
		silent := vmName(3)
		f.network.Silence(func(from, to string) bool { return from == silent || to == silent })
		version := f.vm(0).change("a")
		f.within(smallBound, "in force on all", f.allAt(version))
		for _, vm := range f.vms {
			if s := vm.node.Counters().Suspicions; s != 0 {
				t.Fatalf("%s suspected a VM %d times for silent connections", vm.name, s)
			}
		}
		f.within(smallBound, "the pushing VM found its connection silent", func() bool {
			return f.vm(0).node.Counters().Reconnects > 0
		})
	})
}

// One VM is cut off from all others. The operator's change is in force on the
// rest at once and pending with just that VM's name; once the VM is dead by
// evidence the change is accepted without it, and once it is back it catches up.
func TestSilentPeerIsNamedAndHoldsNobodyUp(t *testing.T) {
	run(t, 6, Settings{}, func(t *testing.T, f *fleet) {
		silent := vmName(3)
		f.network.SetCut(func(from, to string) bool { return from == silent || to == silent })
		version := f.vm(0).change("a")
		f.within(pushBound, "only the silent VM is missing", func() bool {
			confirmed, missing := f.vm(0).node.InForce(version)
			return len(confirmed) == 5 && len(missing) == 1 && missing[0] == silent
		})
		f.within(deathBound, "nothing is missing", func() bool {
			_, missing := f.vm(0).node.InForce(version)
			return len(missing) == 0
		})
		f.within(deathBound, "the silent VM holds all others dead", func() bool { return f.vm(3).node.PeerCount() == 0 })
		if f.vm(3).node.Reachable() || !f.vm(3).node.HasPeers() {
			t.Fatal("the silent VM takes itself for a fleet of one and would serve on")
		}
		f.network.SetCut(func(string, string) bool { return false })
		f.within(healBound, "in force on all", f.allAt(version))
		f.within(healBound, "all know all", f.joined(6))
	})
}

// Half the VMs cannot reach the other half, for so long that each half holds the
// other dead, and only one half can commit. Once the cut is mended, operators
// see one fleet again, at the newest version.
func TestPartitionHeals(t *testing.T) {
	run(t, 6, Settings{}, func(t *testing.T, f *fleet) {
		f.network.SetCut(func(from, to string) bool { return (from < vmName(3)) != (to < vmName(3)) })
		f.within(deathBound, "the halves hold each other dead", f.joined(3))
		var version uint64
		for i := range 5 {
			version = f.vm(4).change(fmt.Sprint("change-", i))
		}
		f.network.SetCut(func(string, string) bool { return false })
		f.within(healBound, "in force on all", f.allAt(version))
		f.within(healBound, "one fleet", f.joined(6))
	})
}

// A VM starts while the platform's store is out. It has only its seeds, and no
// peer kept all changes of the history; it must have the newest configuration
// before it takes requests, so Join brings a snapshot and what followed it.
func TestJoinerGetsTheNewestFromPeers(t *testing.T) {
	run(t, 4, Settings{}, func(t *testing.T, f *fleet) {
		fill(f.vm(0).store.(*memoryStore), 100, 20)
		version := f.vm(0).change("a")
		f.within(smallBound, "in force on all", f.allAt(version))
		store := newMemoryStore()
		joiner := New(Options{
			VM: "joiner", Address: "joiner", Seeds: []string{vmName(1)}, Store: store,
			Dial: f.network.DialFrom("joiner"),
		})
		defer joiner.Stop()
		if err := joiner.Join(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := store.Current(); got.Version != version || len(got.Workspaces) != 101 {
			t.Fatalf("joined with version %d and %d workspaces, want %d and 101", got.Version, len(got.Workspaces), version)
		}
		if joiner.PeerCount() != 4 {
			t.Fatalf("the joiner knows %d peers, want 4", joiner.PeerCount())
		}
	})
}

// A message that was delayed for long arrives: an old push of its sender, or one
// that the sender's earlier life sent. The configuration must not go back, and
// the earlier life's message is refused.
func TestDelayedMessagesChangeNothing(t *testing.T) {
	run(t, 2, Settings{}, func(t *testing.T, f *fleet) {
		target := &service{node: f.vm(1).node}
		first := f.vm(0).store.(*memoryStore).commit("a")
		delayed := &peerpb.PushRequest{Envelope: f.vm(0).node.seal(vmName(1), 0), Configuration: f.vm(0).node.encodeChanges(first)}
		old := config.NewSnapshot()
		old.Version = 1
		version := f.vm(0).change("b")
		f.within(smallBound, "in force on both", f.allAt(version))
		encoded, _ := new(snapshotCache).encode(old)
		for _, c := range []*peerpb.Configuration{delayed.Configuration, {Snapshot: encoded}} {
			delayed.Configuration = c
			if _, err := target.Push(t.Context(), delayed); err != nil {
				t.Fatal(err)
			}
			if got := f.vm(1).store.Current(); got.Version != version || got.Workspaces["b"] == nil {
				t.Fatalf("a delayed push took the configuration back to %d", got.Version)
			}
		}
		delayed.Envelope.Incarnation -= 1 << 20
		if _, err := target.Push(t.Context(), delayed); err != errDropped {
			t.Fatalf("a push of an earlier life was answered with %v", err)
		}
	})
}

// An operator stops a VM in order. It announces that, and from then on no change
// waits for it and nobody suspects it.
func TestLeavingVMIsNotWaitedFor(t *testing.T) {
	run(t, 6, Settings{}, func(t *testing.T, f *fleet) {
		f.vm(5).node.Leave(t.Context())
		f.kill(vmName(5))
		version := f.vm(0).change("a")
		f.within(pushBound, "in force without the VM that left", func() bool {
			confirmed, missing := f.vm(0).node.InForce(version)
			return len(confirmed) == 5 && len(missing) == 0
		})
	})
}

// Two VMs cannot reach each other while all else is well. Neither may drop out of
// those that confirm changes: a helper that reaches both answers for each.
func TestCutLinkBetweenTwoSuspectsNobody(t *testing.T) {
	run(t, 4, Settings{}, func(t *testing.T, f *fleet) {
		f.network.SetCut(func(from, to string) bool { return from == vmName(0) && to == vmName(1) })
		time.Sleep(deathBound)
		for _, vm := range f.vms {
			if c := vm.node.Counters(); c.Suspicions != 0 || vm.node.PeerCount() != 3 {
				t.Fatalf("%s suspected %d times and knows %d peers", vm.name, c.Suspicions, vm.node.PeerCount())
			}
		}
	})
}

// A VM died and another one got its address. The answers at that address are not
// the dead VM's: taken for it, they would make changes wait for it for ever.
func TestAddressOfDeadVMIsTakenOver(t *testing.T) {
	run(t, 4, Settings{}, func(t *testing.T, f *fleet) {
		if f.vm(0).node.probe(t.Context(), vmName(3), vmName(1)) != nil {
			t.Fatal("one VM's answer was taken for another's")
		}
		f.kill(vmName(3))
		f.network.SetCut(func(string, string) bool { return false })
		f.startAt("young", vmName(3))
		f.within(deathBound, "the dead VM is gone and the young one known", func() bool {
			for _, vm := range f.vms {
				if confirmed, _ := vm.node.InForce(0); slices.Contains(confirmed, vmName(3)) || !slices.Contains(confirmed, "young") {
					return false
				}
			}
			return true
		})
	})
}

// A VM restarts under its name and has kept nothing. What its former life had in
// force says nothing of the new one: the change is pending with its name until it
// has caught up.
func TestRestartedVMHasNothingInForce(t *testing.T) {
	run(t, 4, Settings{}, func(t *testing.T, f *fleet) {
		version := f.vm(0).change("a")
		f.within(smallBound, "in force on all", f.allAt(version))
		f.kill(vmName(3))
		id := f.vm(0).node.identity(time.Now())
		id.Name, id.Address, id.Version = vmName(3), vmName(3), 0
		f.vm(0).node.open(envelopeOf(id, nil))
		if _, missing := f.vm(0).node.InForce(version); !slices.Equal(missing, []string{vmName(3)}) {
			t.Fatalf("missing %v, want the restarted VM", missing)
		}
		f.network.SetCut(func(string, string) bool { return false })
		f.start(vmName(3), newMemoryStore(), Settings{})
		f.within(smallBound, "in force on the restarted VM", f.allAt(version))
	})
}

// A VM that is cut off stops serving before the others accept a change without
// it: otherwise a drained target would get new work from it after the operator
// was told that the drain is in force everywhere.
func TestCutOffVMKnowsItBeforeItIsHeldDead(t *testing.T) {
	run(t, 6, Settings{}, func(t *testing.T, f *fleet) {
		alone := vmName(3)
		f.network.SetCut(func(from, to string) bool { return from == alone || to == alone })
		f.within(deathBound, "some VM does not wait for it any more", func() bool {
			for name, vm := range f.vms {
				if name != alone && vm.node.PeerCount() < 5 {
					return true
				}
			}
			return false
		})
		if f.vm(3).node.Reachable() {
			t.Fatal("the VM was held dead while it still took itself for reachable")
		}
	})
}

// Operators see the same VMs on every VM though rumours died out before they had
// reached all, as they may when many VMs start at once. Here each rumour is passed
// on once and nothing rotates; comparing digests brings what is missing.
func TestLostRumoursAreRepaired(t *testing.T) {
	s := Settings{Membership: membership.Settings{TransmitFactor: -1, Rotation: -1}}
	run(t, 40, s, func(t *testing.T, f *fleet) {
		version := f.vm(7).change("a")
		f.within(joinBound, "the origin knows", func() bool {
			confirmed, _ := f.vm(7).node.InForce(version)
			return len(confirmed) == 40
		})
	})
}

// A VM's kept connection is silent when it compares versions. The comparison may
// carry a snapshot and so may take long, but a silent connection must not use that
// time up: the second try, on a new connection, comes soon.
func TestSyncOnSilentConnectionComesThroughSoon(t *testing.T) {
	noProbes := Settings{ProbePeriod: time.Hour} // they would find the silence first
	run(t, 2, noProbes, func(t *testing.T, f *fleet) {
		f.network.Silence(func(string, string) bool { return true })
		ctx, cancel := context.WithTimeout(t.Context(), smallBound)
		defer cancel()
		if err := f.vm(0).node.syncWith(ctx, vmName(1), vmName(1)); err != nil {
			t.Fatal(err)
		}
	})
}

// refusingStore takes no change, as one that does not know a new kind of entity.
type refusingStore struct{ *memoryStore }

func (refusingStore) ApplyChanges([]config.Change) (uint64, error) {
	return 0, &config.VersionGapError{}
}

// One VM cannot apply a change. It stays named as missing; the others do not send
// it the change over and over at the speed of the network.
func TestChangeThatIsNotTakenIsNotPushedInALoop(t *testing.T) {
	run(t, 1, Settings{}, func(t *testing.T, f *fleet) {
		f.launch("refusing", "refusing", refusingStore{newMemoryStore()}, nil, Settings{})
		f.within(joinBound, "the two know each other", func() bool { return f.vm(0).node.PeerCount() == 1 })
		before := f.vm(0).node.Counters().Pushes
		version := f.vm(0).change("a")
		time.Sleep(pushBound)
		const tolerated = 4 // the push itself and what rounds of anti-entropy add
		if pushes := f.vm(0).node.Counters().Pushes - before; pushes > tolerated {
			t.Fatalf("pushed %d times", pushes)
		}
		if _, missing := f.vm(0).node.InForce(version); !slices.Equal(missing, []string{"refusing"}) {
			t.Fatalf("missing %v, want the refusing VM", missing)
		}
	})
}
