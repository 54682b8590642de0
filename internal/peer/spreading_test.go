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
	joinBound       = 30 * time.Second
	convergenceTime = 3 * time.Second
	smallBound      = 2 * time.Second
	pushBound       = 200 * time.Millisecond
	deathBound      = time.Minute
	healBound       = 2 * time.Minute
	spreadBound     = 16 * time.Second
)

// runFleet runs a test on a fleet in virtual time, once all its VMs know each other and have pooled
// connections.
func runFleet(t *testing.T, size int, s Settings, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, size, s)
		defer f.stop()
		f.waitFor(joinBound, "every VM knows all others", f.joined(size))
		time.Sleep(convergenceTime)
		test(t, f)
	})
}

// The VM that accepts a change pushes it to all others, and each confirms it in its answer. The
// operator must not have to wait for a timer.
func TestChangeIsInForceOnAll(t *testing.T) {
	runFleet(t, 6, Settings{}, func(t *testing.T, f *fleet) {
		version := f.vm(2).change("a")
		f.waitFor(pushBound, "in force on all", f.allAt(version))
		f.waitFor(pushBound, "confirmed at the origin", func() bool {
			confirmed, missing := f.vm(2).node.InForce(version)
			return len(confirmed) == 6 && len(missing) == 0
		})
	})
}

// A VM has received a change, but its balancer does not apply it yet. Until it does, the VM must be
// reported as missing. If receiving the change counted as confirmation, a drained target could get
// new work after the drain was reported as accepted.
func TestReceivedIsNotInForce(t *testing.T) {
	runFleet(t, 3, Settings{}, func(t *testing.T, f *fleet) {
		first := f.vm(0).change("a")
		f.waitFor(smallBound, "in force on all", f.allAt(first))
		slow := f.vm(1).store.(*memoryStore)
		slow.limitInForce(first)
		second := f.vm(0).change("b")
		f.waitFor(smallBound, "received by all", f.allAt(second))
		time.Sleep(convergenceTime)
		if _, missing := f.vm(0).node.InForce(second); !slices.Equal(missing, []string{vmName(1)}) {
			t.Errorf("missing %v", missing)
		}
		slow.limitInForce(0)
		f.waitFor(convergenceTime, "confirmed at the origin", func() bool {
			_, missing := f.vm(0).node.InForce(second)
			return len(missing) == 0
		})
	})
}

// An operator can ask any VM of a large fleet which VMs have a change in force. The change spreads
// by pushes and anti-entropy, and the version of each VM by gossip, so no VM has to ask all others.
func TestChangeIsConfirmedInLargeFleet(t *testing.T) {
	runFleet(t, 40, Settings{}, func(t *testing.T, f *fleet) {
		version := f.vm(7).change("a")
		f.waitFor(spreadBound, "in force on all", f.allAt(version))
		f.waitFor(spreadBound, "confirmed at every VM", func() bool {
			for _, vm := range f.vms {
				if confirmed, _ := vm.node.InForce(version); len(confirmed) != 40 {
					return false
				}
			}
			return true
		})
	})
}

// A change must reach all VMs even if the VM that pushes it dies right after its first push: the VM
// that has received it passes it on by anti-entropy. This test has no store at all.
func TestChangeSpreadsAfterItsOriginDied(t *testing.T) {
	runFleet(t, 6, Settings{}, func(t *testing.T, f *fleet) {
		origin := vmName(5)
		f.network.SetCut(func(from, to string) bool {
			return (from == origin || to == origin) && from != vmName(0) && to != vmName(0)
		})
		version := f.vm(5).change("a")
		f.waitFor(pushBound, "one VM has the change", func() bool { return f.vm(0).store.Current().Version == version })
		f.kill(origin)
		f.waitFor(smallBound, "in force on all others", f.allAt(version))
	})
}

// All connections of one VM have become silent, without an error on either side. A change must
// still be in force on it within two seconds: the push fails on the pooled connection and succeeds
// on a new one. The VM must not be suspected.
func TestSilentConnectionsDoNotDelay(t *testing.T) {
	runFleet(t, 6, Settings{}, func(t *testing.T, f *fleet) {
		silent := vmName(3)
		f.network.Silence(func(from, to string) bool { return from == silent || to == silent })
		version := f.vm(0).change("a")
		f.waitFor(smallBound, "in force on all", f.allAt(version))
		for _, vm := range f.vms {
			if s := vm.node.Counters().Suspicions; s != 0 {
				t.Fatalf("%s suspected VMs %d times because of silent connections", vm.name, s)
			}
		}
		f.waitFor(smallBound, "the pushing VM has reconnected", func() bool {
			return f.vm(0).node.Counters().Reconnects > 0
		})
	})
}

// One VM is cut off from all others. A change must be in force on the others at once, with only
// that VM missing. Once the VM is dead the change must be accepted without it, and once it is
// connected again it must catch up.
func TestSilentPeerIsMissingUntilItIsDead(t *testing.T) {
	runFleet(t, 6, Settings{}, func(t *testing.T, f *fleet) {
		silent := vmName(3)
		f.network.SetCut(func(from, to string) bool { return from == silent || to == silent })
		version := f.vm(0).change("a")
		f.waitFor(pushBound, "only the silent VM is missing", func() bool {
			confirmed, missing := f.vm(0).node.InForce(version)
			return len(confirmed) == 5 && len(missing) == 1 && missing[0] == silent
		})
		f.waitFor(deathBound, "no VM is missing", func() bool {
			_, missing := f.vm(0).node.InForce(version)
			return len(missing) == 0
		})
		f.waitFor(deathBound, "the silent VM holds all others dead", func() bool { return f.vm(3).node.PeerCount() == 0 })
		if f.vm(3).node.Reachable() || !f.vm(3).node.HasPeers() {
			t.Fatal("the silent VM has not detected that it is cut off and would continue to serve")
		}
		f.network.SetCut(func(string, string) bool { return false })
		f.waitFor(healBound, "in force on all", f.allAt(version))
		f.waitFor(healBound, "every VM knows all others", f.joined(6))
	})
}

// Half of the VMs cannot reach the other half for so long that each half holds the other dead. Only
// one half can commit changes. Once the partition has healed, all VMs must be one fleet again and
// have the newest version.
func TestPartitionHeals(t *testing.T) {
	runFleet(t, 6, Settings{}, func(t *testing.T, f *fleet) {
		f.network.SetCut(func(from, to string) bool { return (from < vmName(3)) != (to < vmName(3)) })
		f.waitFor(deathBound, "the halves hold each other dead", f.joined(3))
		var version uint64
		for i := range 5 {
			version = f.vm(4).change(fmt.Sprint("change-", i))
		}
		f.network.SetCut(func(string, string) bool { return false })
		f.waitFor(healBound, "in force on all", f.allAt(version))
		f.waitFor(healBound, "one fleet", f.joined(6))
	})
}

// A VM starts while the platform's store is unavailable. It has only its seeds, and no peer has
// kept the whole history of changes. It must have the newest configuration before it takes
// requests, so Join must fetch a snapshot and the changes that followed it.
func TestJoinerGetsNewestConfigurationFromPeers(t *testing.T) {
	runFleet(t, 4, Settings{}, func(t *testing.T, f *fleet) {
		fill(f.vm(0).store.(*memoryStore), 100, 20)
		version := f.vm(0).change("a")
		f.waitFor(smallBound, "in force on all", f.allAt(version))
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
			t.Fatalf("joined with version %d and %d workspaces, want version %d and 101 workspaces", got.Version, len(got.Workspaces), version)
		}
		if joiner.PeerCount() != 4 {
			t.Fatalf("the joiner knows %d peers, want 4", joiner.PeerCount())
		}
	})
}

// A message arrives long after it was sent: an old push of a VM, or a push of an earlier process of
// that VM. The configuration must not return to an earlier version, and the message of the earlier
// process must be refused.
func TestDelayedMessagesChangeNothing(t *testing.T) {
	runFleet(t, 2, Settings{}, func(t *testing.T, f *fleet) {
		target := &service{node: f.vm(1).node}
		first := f.vm(0).store.(*memoryStore).commit("a")
		delayed := &peerpb.PushRequest{Envelope: f.vm(0).node.newEnvelope(vmName(1), 0), Configuration: f.vm(0).node.encodeChanges(first)}
		old := config.NewSnapshot()
		old.Version = 1
		version := f.vm(0).change("b")
		f.waitFor(smallBound, "in force on both", f.allAt(version))
		encoded, _ := new(snapshotCache).encode(old)
		for _, c := range []*peerpb.Configuration{delayed.Configuration, {Snapshot: encoded}} {
			delayed.Configuration = c
			if _, err := target.Push(t.Context(), delayed); err != nil {
				t.Fatal(err)
			}
			if got := f.vm(1).store.Current(); got.Version != version || got.Workspaces["b"] == nil {
				t.Fatalf("a delayed push set the configuration back to version %d", got.Version)
			}
		}
		delayed.Envelope.Incarnation -= 1 << 20
		if _, err := target.Push(t.Context(), delayed); err != errDropped {
			t.Fatalf("a push of an earlier process was answered with %v", err)
		}
	})
}

// A VM is stopped regularly and announces that it leaves. From then on no change may wait for it
// and no VM suspects it.
func TestLeavingVMIsNotWaitedFor(t *testing.T) {
	runFleet(t, 6, Settings{}, func(t *testing.T, f *fleet) {
		f.vm(5).node.Leave(t.Context())
		f.kill(vmName(5))
		version := f.vm(0).change("a")
		f.waitFor(pushBound, "in force without the VM that left", func() bool {
			confirmed, missing := f.vm(0).node.InForce(version)
			return len(confirmed) == 5 && len(missing) == 0
		})
	})
}

// Two VMs cannot reach each other, while all other links work. Both must stay among the VMs that
// confirm changes, because a helper that reaches both reports their answers.
func TestCutLinkCausesNoSuspicion(t *testing.T) {
	runFleet(t, 4, Settings{}, func(t *testing.T, f *fleet) {
		f.network.SetCut(func(from, to string) bool { return from == vmName(0) && to == vmName(1) })
		time.Sleep(deathBound)
		for _, vm := range f.vms {
			if c := vm.node.Counters(); c.Suspicions != 0 || vm.node.PeerCount() != 3 {
				t.Fatalf("%s suspected %d times and knows %d peers", vm.name, c.Suspicions, vm.node.PeerCount())
			}
		}
	})
}

// A VM has died and another one got its address. Answers from that address must not count for the
// dead VM, or changes would wait for it forever.
func TestAddressOfDeadVMIsTakenOver(t *testing.T) {
	runFleet(t, 4, Settings{}, func(t *testing.T, f *fleet) {
		if f.vm(0).node.probe(t.Context(), vmName(3), vmName(1)) != nil {
			t.Fatal("the answer of one VM counted for another")
		}
		f.kill(vmName(3))
		f.network.SetCut(func(string, string) bool { return false })
		f.startAt("young", vmName(3))
		f.waitFor(deathBound, "the dead VM is removed and the new one known", func() bool {
			for _, vm := range f.vms {
				if confirmed, _ := vm.node.InForce(0); slices.Contains(confirmed, vmName(3)) || !slices.Contains(confirmed, "young") {
					return false
				}
			}
			return true
		})
	})
}

// A VM restarts under the same name without its state. What its earlier process had in force must
// not count for the new one: a change must be pending with its name until the VM has caught up.
func TestRestartedVMHasNothingInForce(t *testing.T) {
	runFleet(t, 4, Settings{}, func(t *testing.T, f *fleet) {
		version := f.vm(0).change("a")
		f.waitFor(smallBound, "in force on all", f.allAt(version))
		f.kill(vmName(3))
		id := f.vm(0).node.identity(time.Now())
		id.Name, id.Address, id.Version = vmName(3), vmName(3), 0
		f.vm(0).node.acceptEnvelope(envelopeOf(id, nil))
		if _, missing := f.vm(0).node.InForce(version); !slices.Equal(missing, []string{vmName(3)}) {
			t.Fatalf("missing %v, want the restarted VM", missing)
		}
		f.network.SetCut(func(string, string) bool { return false })
		f.start(vmName(3), newMemoryStore(), Settings{})
		f.waitFor(smallBound, "in force on the restarted VM", f.allAt(version))
	})
}

// A VM that is cut off must stop serving before the others accept a change without it. Otherwise it
// could send new work to a drained target after the operator was told that the drain is in force
// everywhere.
func TestCutOffVMKnowsItBeforeItIsHeldDead(t *testing.T) {
	runFleet(t, 6, Settings{}, func(t *testing.T, f *fleet) {
		alone := vmName(3)
		f.network.SetCut(func(from, to string) bool { return from == alone || to == alone })
		f.waitFor(deathBound, "some VM no longer waits for it", func() bool {
			for name, vm := range f.vms {
				if name != alone && vm.node.PeerCount() < 5 {
					return true
				}
			}
			return false
		})
		if f.vm(3).node.Reachable() {
			t.Fatal("the VM was held dead while it still reported itself as reachable")
		}
	})
}

// All VMs must report the same members even if rumours die out before they have reached every VM,
// as they may when many VMs start at once. In this test each rumour is transmitted once and there
// is no rotation, so only the comparison of digests can repair what is missing.
func TestLostRumoursAreRepaired(t *testing.T) {
	s := Settings{Membership: membership.Settings{TransmitFactor: -1, Rotation: -1}}
	runFleet(t, 40, s, func(t *testing.T, f *fleet) {
		version := f.vm(7).change("a")
		f.waitFor(joinBound, "confirmed at the origin", func() bool {
			confirmed, _ := f.vm(7).node.InForce(version)
			return len(confirmed) == 40
		})
	})
}

// A VM compares versions over a pooled connection that is silent. The call may carry a snapshot and
// so has a long timeout, but the silent connection must not use it up: the second attempt, on a new
// connection, must follow soon.
func TestSyncOnSilentConnectionComesThroughSoon(t *testing.T) {
	noProbes := Settings{ProbePeriod: time.Hour} // probes would detect the silent connection first
	runFleet(t, 2, noProbes, func(t *testing.T, f *fleet) {
		f.network.Silence(func(string, string) bool { return true })
		ctx, cancel := context.WithTimeout(t.Context(), smallBound)
		defer cancel()
		if err := f.vm(0).node.syncWith(ctx, vmName(1), vmName(1)); err != nil {
			t.Fatal(err)
		}
	})
}

// refusingStore rejects every change, as a store does that does not know a new kind of entity.
type refusingStore struct{ *memoryStore }

func (refusingStore) ApplyChanges([]config.Change) (uint64, error) {
	return 0, &config.VersionGapError{}
}

// One VM cannot apply a change. It must stay reported as missing, and the others must not send it
// the change again and again without a pause.
func TestRejectedChangeIsNotPushedInALoop(t *testing.T) {
	runFleet(t, 1, Settings{}, func(t *testing.T, f *fleet) {
		f.launch("refusing", "refusing", refusingStore{newMemoryStore()}, nil, Settings{})
		f.waitFor(joinBound, "the two know each other", func() bool { return f.vm(0).node.PeerCount() == 1 })
		before := f.vm(0).node.Counters().Pushes
		version := f.vm(0).change("a")
		time.Sleep(pushBound)
		const maxPushes = 4 // the push itself and those that rounds of anti-entropy start
		if pushes := f.vm(0).node.Counters().Pushes - before; pushes > maxPushes {
			t.Fatalf("pushed %d times", pushes)
		}
		if _, missing := f.vm(0).node.InForce(version); !slices.Equal(missing, []string{"refusing"}) {
			t.Fatalf("missing %v, want the refusing VM", missing)
		}
	})
}
