package allocator

import (
	"context"
	"errors"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/layers"
)

func (v fakeVMs) client(names ...string) *Client {
	c := NewClient("c", v["c"].reserver, func(ctx context.Context, _, address string) (net.Conn, error) {
		return v[address].listener.DialContext(ctx)
	}, zap.NewNop())
	c.SetVMs(vmsOf(names...))
	c.begin(time.Now()) // connects
	synctest.Wait()
	return c
}

// vmsOf returns VMs that are candidates in the order of the names.
func vmsOf(names ...string) (vms []VM) {
	for i, name := range names {
		vms = append(vms, VM{Name: name, Address: name, Cores: float64(len(names) - i)})
	}
	return vms
}

// testClient runs a test in virtual time with a client of the VM c, the third candidate after a and b.
func testClient(t *testing.T, test func(t *testing.T, vms fakeVMs, c *Client)) {
	synctest.Test(t, func(t *testing.T) {
		vms := fakeVMs{"a": newFakeVM(), "b": newFakeVM(), "c": newFakeVM()}
		c := vms.client("a", "b", "c")
		for _, vm := range vms {
			defer vm.host.Stop()
		}
		defer c.Close()
		test(t, vms, c)
	})
}

// reserve reserves a path at an allocator; without a name, it expects that none answers.
func reserve(t *testing.T, c *Client, from string) Grant {
	t.Helper()
	synctest.Wait() // a candidate may be about to answer
	grant, err := c.Reserve(t.Context(), Request{Prompt: 1, MaxWait: time.Second})
	if c.Allocator() != from || from != "" && err != nil || from == "" && !errors.Is(err, ErrUnavailable) {
		t.Fatalf("got %v from %q, want a path from %q", err, c.Allocator(), from)
	}
	return grant
}

// Guards against a path that stays accounted for at the allocator after its request.
func TestClientReleasesAdoptedPath(t *testing.T) {
	testClient(t, func(t *testing.T, vms fakeVMs, c *Client) {
		grant := reserve(t, c, "a")
		own, _ := vms["c"].reserver.table.Adopt(layers.Query{}, grant.Path)
		own.OnRelease(grant.Release)
		vms["a"].expect(t, 1, 1)
		own.Release(true)
		vms["a"].expect(t, 0, 0)
	})
}

// Guards against an allocator that does not know the paths in use, and against releases it does not get.
func TestClientTellsNextAllocatorItsPaths(t *testing.T) {
	testClient(t, func(t *testing.T, vms fakeVMs, c *Client) {
		grants := []Grant{reserve(t, c, "a"), reserve(t, c, "a")}
		vms["a"].host.Stop()
		vms["a"].expect(t, 0, 0)
		grants = append(grants, reserve(t, c, "b"))
		vms["b"].expect(t, 3, 3)
		for _, grant := range grants {
			grant.Release(true)
			grant.Release(true)
		}
		vms["b"].expect(t, 0, 0)
	})
}

// Guards against requests that wait for a candidate that does not answer, and against passing it over for good.
func TestClientPassesOverSilentCandidate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vms := fakeVMs{"a": newFakeVM(), "b": newFakeVM(), "c": newFakeVM()}
		for _, vm := range vms {
			defer vm.host.Stop()
		}
		thawed := make(chan struct{})
		vms["a"].declines = func() bool { <-thawed; return false }
		c := vms.client("a", "b", "c")
		defer c.Close()
		began := time.Now()
		reserve(t, c, "")
		if waited := time.Since(began); waited > 0 {
			t.Errorf("waited %v for a candidate that has not answered", waited)
		}
		time.Sleep(helloTimeout)
		reserve(t, c, "b").Release(true)
		close(thawed)
		time.Sleep(firstAvoidance + time.Millisecond)
		_, _ = c.Reserve(t.Context(), Request{MaxWait: time.Second}) // connects to a
		reserve(t, c, "a")
	})
}

// Guards against requests that wait for an allocator that has frozen, and against leaving it for one lost answer.
func TestClientLeavesAllocatorWithoutReceipts(t *testing.T) {
	testClient(t, func(t *testing.T, vms fakeVMs, c *Client) {
		reserve(t, c, "a").Release(true)
		vms["a"].reserver.freeze = make(chan struct{})
		defer close(vms["a"].reserver.freeze)
		c.RecordRejection(Rejection{})
		for range maxMissed {
			began := time.Now()
			if _, err := c.Reserve(t.Context(), Request{MaxWait: time.Second}); !errors.Is(err, ErrUnavailable) || time.Since(began) != receiptTimeout {
				t.Errorf("got %v after %v", err, time.Since(began))
			}
		}
		reserve(t, c, "b")
	})
}

// Guards against all VMs moving back and forth between a candidate that has died and the next one.
func TestClientKeepsAllocatorWhileBetterCandidateIsDead(t *testing.T) {
	testClient(t, func(t *testing.T, vms fakeVMs, c *Client) {
		reserve(t, c, "a").Release(true)
		vms["a"].host.Stop()
		vms["b"].expect(t, 0, 0)
		for range 100 {
			reserve(t, c, "b").Release(true)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against a path that nobody uses or releases: its answer comes after the caller has given up.
func TestClientReleasesPathThatComesTooLate(t *testing.T) {
	testClient(t, func(t *testing.T, vms fakeVMs, c *Client) {
		reserve(t, c, "a")
		c.link.send(clientMessage{ID: 7, Request: &Request{}})
		vms["a"].expect(t, 1, 1)
	})
}

// Guards against requests that are sent to a VM which is about to end.
func TestClientPassesOverDrainingAllocator(t *testing.T) {
	testClient(t, func(t *testing.T, vms fakeVMs, c *Client) {
		c.SetVMs(vmsOf("b", "a", "c"))
		reserve(t, c, "b").Release(true)
		vms["a"].declines = func() bool { return true }
		c.SetVMs(vmsOf("a", "b", "c"))
		reserve(t, c, "b")
		reserve(t, c, "b")
	})
}

// Guards against one allocator's answers and releases reaching another while lists of VMs differ.
func TestClientsWithDifferentVMsUseTwoAllocators(t *testing.T) {
	testClient(t, func(t *testing.T, vms fakeVMs, c *Client) {
		other := vms.client("b", "c")
		defer other.Close()
		first, second := reserve(t, c, "a"), reserve(t, other, "b")
		first.Release(true)
		vms["a"].expect(t, 0, 0)
		vms["b"].expect(t, 1, 1)
		second.Release(true)
		vms["b"].expect(t, 0, 0)
	})
}

// Guards against VMs that choose different allocators, and changes of allocator without need.
func TestCandidatesOrder(t *testing.T) {
	ordered := Candidates([]VM{{Name: "s1", Cores: 4}, {Name: "l1", Cores: 16}, {Name: "s2", Cores: 4}, {Name: "l2", Cores: 16}, {Name: "m", Cores: 8}})
	if ordered[0].Cores != 16 || ordered[1].Cores != 16 || ordered[2].Cores != 8 {
		t.Errorf("not the largest first: %v", ordered)
	}
	for i := range ordered {
		rest := slices.Delete(slices.Clone(ordered), i, i+1)
		if !slices.Equal(Candidates(slices.Concat(rest[2:], rest[:2])), rest) {
			t.Errorf("the order of the others is not the same after %s has left", ordered[i].Name)
		}
	}
}

// Guards against a path that stays reserved because its release did not fit into the queue of messages.
func TestClientReleaseWithFullQueueEndsLink(t *testing.T) {
	c := NewClient("c", nil, nil, zap.NewNop())
	c.link = newLink(VM{Name: "a"})
	for c.link.send(clientMessage{}) {
	}
	if c.release(1, true); c.Allocator() != "" {
		t.Error("the allocator that does not get the release is in use")
	}
}

// Guards against a path unknown to the allocator: granted by one, recorded after the next was connected.
func TestClientTellsAllocatorPathGrantedByEarlierOne(t *testing.T) {
	testClient(t, func(t *testing.T, vms fakeVMs, c *Client) {
		reserve(t, c, "a").Release(true)
		c.hold(7, newLink(VM{}), Hold{Path: []Stage{{ID: "r", Born: 1, To: 4}}}, nil)
		vms["a"].expect(t, 1, 1)
	})
}

// Guards against a VM that becomes the allocator without accounting for the paths that it uses itself.
func TestClientBecomesAllocatorWithItsPaths(t *testing.T) {
	testClient(t, func(t *testing.T, vms fakeVMs, c *Client) {
		grants := []Grant{reserve(t, c, "a")}
		c.SetVMs(vmsOf("c"))
		grants = append(grants, reserve(t, c, "c"))
		vms["c"].expect(t, 0, 2)
		c.SetVMs(vmsOf("b", "c"))
		synctest.Wait()
		grants = append(grants, reserve(t, c, "b"))
		vms["b"].expect(t, 3, 3)
		for _, grant := range grants {
			grant.Release(true)
		}
		vms["b"].expect(t, 0, 0)
		vms["c"].expect(t, 0, 0)
	})
}
