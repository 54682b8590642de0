package mirror

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
)

// tableCopy is a VM's copy of one table, served to peers.
type tableCopy struct {
	mu     sync.Mutex // guards the fields below
	change platform.TableChange
	age    time.Duration
}

func (s *tableCopy) since(string, platform.Cursor) (platform.TableChange, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.change, s.age, s.change.Whole
}

func (s *tableCopy) take(_ string, change platform.TableChange, age time.Duration, _ bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change, s.age = change, age
}

// cursorAt returns the cursor of a copy of a revision in the store's only era.
func cursorAt(revision uint64) platform.Cursor {
	return platform.Cursor{Version: platform.Version{Revision: revision}}
}

// serve starts the server of a VM and returns its address.
func serve(t *testing.T, s *tableCopy) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(s.since, s.take, zap.NewNop())
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := server.Serve(lis); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		server.Stop()
		serving.Wait()
	})
	return lis.Addr().String()
}

// A copy that one VM offers to a follower must be available, with its age, to a VM that asks this
// follower. A peer that has no copy returns nothing, and another one is asked.
func TestOfferedCopyIsFetched(t *testing.T) {
	empty, kept := &tableCopy{}, &tableCopy{}
	emptyAt, keptAt := serve(t, empty), serve(t, kept)

	maker := NewClient("", nil, zap.NewNop())
	defer maker.Close()
	maker.SetPeers(Peers{LocalFollowers: []string{keptAt}, FeedFollowers: map[string][]string{"dc": {keptAt}}})
	offered := platform.TableChange{Version: platform.Version{Revision: 7}, Whole: true, Written: map[string][]byte{"all": []byte("loads")}}
	offer(t, maker, kept, offered)

	asking := NewClient("", nil, zap.NewNop())
	defer asking.Close()
	asking.SetPeers(Peers{LocalFollowers: []string{emptyAt}, Fallback: []string{keptAt}})
	change, age, ok := fetch(t, asking)
	if !ok || change.Revision != 7 || string(change.Written["all"]) != "loads" || age != time.Second {
		t.Errorf("%+v, %s, %v", change, age, ok)
	}
}

// offer repeats the offer until the peer has it: on a busy machine an attempt may time out.
func offer(t *testing.T, c *Client, at *tableCopy, change platform.TableChange) {
	t.Helper()
	for range 100 {
		c.Offer(context.Background(), "loads", change, time.Second)
		if _, _, ok := at.since("", platform.Cursor{}); ok {
			return
		}
	}
	t.Fatal("the peer did not receive the offer")
}

func fetch(t *testing.T, c *Client) (platform.TableChange, time.Duration, bool) {
	t.Helper()
	for range 100 {
		if change, age, ok := c.Fetch(context.Background(), "loads", platform.Cursor{}); ok {
			return change, age, ok
		}
	}
	t.Fatal("no peer answered")
	return platform.TableChange{}, 0, false
}

// A peer is dead and still listed. It must be asked once and then be skipped for a while, so that
// it does not cost each request its timeout.
func TestSilentPeerIsPassedOver(t *testing.T) {
	kept := &tableCopy{change: platform.TableChange{Version: platform.Version{Revision: 3}, Whole: true, Written: map[string][]byte{"all": []byte("loads")}}}
	keptAt := serve(t, kept)
	asked := map[string]int{}
	c := NewClient("", nil, zap.NewNop())
	defer c.Close()
	c.SetPeers(Peers{LocalFollowers: []string{"dead"}, Fallback: []string{keptAt}})
	callPeer := c.roundTrip
	c.roundTrip = func(ctx context.Context, address string, req fetchRequest) *fetchResponse {
		asked[address]++
		if address == "dead" {
			return nil
		}
		return callPeer(ctx, address, req)
	}
	for range 5 {
		if _, _, ok := c.FetchOne(context.Background(), "loads", platform.Version{}); !ok {
			t.Fatal("no answer")
		}
	}
	if asked["dead"] != 1 {
		t.Errorf("the dead peer was asked %d times", asked["dead"])
	}
}

// The store rejects one of two peers, which therefore reports that rows may reappear; it serves
// the other peer, which reports that they may not. A VM that asks both must use the status of the
// more recently confirmed copy. Otherwise it keeps using a replica that has left, and requests
// reach it seconds after they may.
func TestFresherPeerSaysWhetherRowsMayComeBack(t *testing.T) {
	rejected := &tableCopy{change: platform.TableChange{Version: platform.Version{Revision: 5}, Whole: true, Settling: true}, age: 3 * time.Second}
	served := &tableCopy{change: platform.TableChange{Version: platform.Version{Revision: 5}, Whole: true}, age: time.Second / 2}
	rejectedAt, servedAt := serve(t, rejected), serve(t, served)
	for name, peers := range map[string]Peers{
		"the local peer is rejected":  {LocalFollowers: []string{rejectedAt}, RemoteFollowers: [][]string{{servedAt}}},
		"the remote peer is rejected": {LocalFollowers: []string{servedAt}, RemoteFollowers: [][]string{{rejectedAt}}},
	} {
		for after, what := range map[uint64]string{4: "news", 5: "no news"} {
			c := NewClient("", nil, zap.NewNop())
			c.SetPeers(peers)
			for range 100 {
				change, age, ok := c.Fetch(context.Background(), "servers", cursorAt(after))
				if !ok || age >= 3*time.Second {
					continue // a request timed out on a busy machine
				}
				if change.Settling {
					t.Errorf("%s, %s: settling, at an age of %s", name, what, age)
				}
				break
			}
			c.Close()
		}
	}
}

// This VM was cut off, and none of its few peers answered. Afterwards it must reach them with its
// next request, and not only after the time for which silent peers are skipped.
func TestAllPeersSilentAreAskedAgain(t *testing.T) {
	kept := &tableCopy{change: platform.TableChange{Version: platform.Version{Revision: 3}, Whole: true, Written: map[string][]byte{"all": []byte("loads")}}}
	keptAt := serve(t, kept)
	c := NewClient("", nil, zap.NewNop())
	defer c.Close()
	c.SetPeers(Peers{LocalFollowers: []string{keptAt}, RemoteFollowers: [][]string{{"dead"}}})
	callPeer := c.roundTrip
	c.roundTrip = func(context.Context, string, fetchRequest) *fetchResponse { return nil }
	for range 3 {
		if _, _, ok := c.Fetch(context.Background(), "loads", platform.Cursor{}); ok {
			t.Fatal("an answer while cut off")
		}
	}
	c.roundTrip = func(ctx context.Context, address string, req fetchRequest) *fetchResponse {
		if address == "dead" {
			return nil
		}
		return callPeer(ctx, address, req)
	}
	if change, _, _ := fetch(t, c); change.Revision != 3 {
		t.Errorf("%+v", change)
	}
}

// A VM learns from a peer that there is a change, and the peer stops before it has sent it. The VM
// must have the change as soon as another peer has been asked, half a second later. When it waited
// for the timeout of the first peer, requests were refused by the older configuration for 2 s.
func TestPeerThatStopsBetweenTwoQuestions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient("", nil, zap.NewNop())
		c.SetPeers(Peers{LocalFollowers: []string{"stops"}, RemoteFollowers: [][]string{{"lives"}}})
		c.roundTrip = func(ctx context.Context, address string, req fetchRequest) *fetchResponse {
			if !req.Brief && address == "stops" {
				<-ctx.Done()
				return nil
			}
			a := &fetchResponse{Cursor: cursorAt(7)}
			if address == "lives" && req.Brief {
				a.Revision = 6 // so that the one that stops is asked first
			}
			return a
		}
		began := time.Now()
		change, _, ok := c.Fetch(t.Context(), "op", cursorAt(5))
		if !ok || change.Revision != 7 {
			t.Errorf("%+v, %t", change, ok)
		}
		if took := time.Since(began); took != hedgeDelay {
			t.Errorf("it took %s", took)
		}
	})
}

// A request that the caller has cancelled says nothing about the peer. The peer must not be
// skipped for it, or the caller would have no updates for ten seconds.
func TestPeerOfCancelledRequestIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient("", nil, zap.NewNop())
		c.SetPeers(Peers{LocalFollowers: []string{"slow"}, RemoteFollowers: [][]string{{"other"}}})
		c.roundTrip = func(ctx context.Context, _ string, _ fetchRequest) *fetchResponse {
			<-ctx.Done()
			return nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), requestTimeout/2)
		defer cancel()
		c.Fetch(ctx, "op", cursorAt(5))
		synctest.Wait()
		if known := c.availablePeers().order(smallFleet); len(known) != 2 || len(c.silentUntil) != 0 {
			t.Errorf("asked next: %v, silent: %v", known, c.silentUntil)
		}
	})
}

// The whole fleet starts together after a power loss. For the first seconds no VM has a load
// snapshot, and VMs that ask for one get that answer. Once the placement has a holder again, its
// snapshot must reach the others at once. When followers without a snapshot counted as silent, the
// snapshot was neither offered to nor requested from any of them for 10 s: VMs knew no load and no
// dead replica, and after 8 s all of them read the lease. With 195 VMs started within 0.2 s, one
// had the lease after 4.5 s and its first snapshot a second later; 10 s after the start no other VM
// had a snapshot.
func TestPeerWithoutACopyIsNotSilent(t *testing.T) {
	near, far, maker := &tableCopy{}, &tableCopy{}, NewClient("", nil, zap.NewNop())
	defer maker.Close()
	nearAt, farAt := serve(t, near), serve(t, far)
	maker.SetPeers(Peers{LocalFollowers: []string{nearAt}, RemoteFollowers: [][]string{{farAt}}, Fallback: []string{serve(t, &tableCopy{}), "127.0.0.1:1"},
		FeedFollowers: map[string][]string{"near": {nearAt}, "far": {farAt}}})
	asking := NewClient("", nil, zap.NewNop())
	defer asking.Close()
	asking.SetPeers(Peers{LocalFollowers: []string{nearAt}, Fallback: []string{serve(t, &tableCopy{}), serve(t, &tableCopy{}), "127.0.0.1:1"}})
	for _, c := range []*Client{maker, asking} {
		if _, _, ok := c.FetchOne(t.Context(), "loads", platform.Version{}); ok {
			t.Fatal("there is a copy before one was offered")
		}
	}
	snapshot := platform.TableChange{Version: platform.Version{Revision: 9}, Whole: true, Written: map[string][]byte{"all": []byte("loads")}}
	offer(t, maker, near, snapshot)
	offer(t, maker, far, snapshot)
	if change, _, ok := asking.FetchOne(t.Context(), "loads", platform.Version{}); !ok || change.Revision != snapshot.Revision {
		t.Errorf("%+v, %t", change, ok)
	}
}
