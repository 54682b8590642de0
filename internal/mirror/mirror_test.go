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

// shelf is a VM's copy of one table, served to peers.
type shelf struct {
	mu     sync.Mutex // guards the fields below
	change platform.TableChange
	age    time.Duration
}

func (s *shelf) since(string, uint64) (platform.TableChange, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.change, s.age, s.change.Whole
}

func (s *shelf) take(_ string, change platform.TableChange, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change, s.age = change, age
}

// serve starts a VM's server and returns its address.
func serve(t *testing.T, s *shelf) string {
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

// What one VM offers to a preferred peer, another one gets by asking that peer, with its
// age. A peer that has nothing to give does not answer, and another one is asked.
func TestOfferedCopyIsFetched(t *testing.T) {
	empty, kept := &shelf{}, &shelf{}
	emptyAt, keptAt := serve(t, empty), serve(t, kept)

	maker := NewClient("", nil, zap.NewNop())
	defer maker.Close()
	maker.SetPeers(Peers{LocalFollowers: []string{keptAt}})
	offered := platform.TableChange{Revision: 7, Whole: true, Written: map[string][]byte{"all": []byte("loads")}}
	offer(t, maker, kept, offered)

	asking := NewClient("", nil, zap.NewNop())
	defer asking.Close()
	asking.SetPeers(Peers{LocalFollowers: []string{emptyAt}, Fallback: []string{keptAt}})
	change, age, ok := fetch(t, asking)
	if !ok || change.Revision != 7 || string(change.Written["all"]) != "loads" || age != time.Second {
		t.Errorf("%+v, %s, %v", change, age, ok)
	}
}

// offer offers until the peer has it: a busy machine may let one round time out.
func offer(t *testing.T, c *Client, at *shelf, change platform.TableChange) {
	t.Helper()
	for range 100 {
		c.Offer(context.Background(), "loads", change, time.Second)
		if _, _, ok := at.since("", 0); ok {
			return
		}
	}
	t.Fatal("the peer never got what was offered")
}

func fetch(t *testing.T, c *Client) (platform.TableChange, time.Duration, bool) {
	t.Helper()
	for range 100 {
		if change, age, ok := c.Fetch(context.Background(), "loads", 0); ok {
			return change, age, ok
		}
	}
	t.Fatal("no peer answered")
	return platform.TableChange{}, 0, false
}

// A peer is dead and still listed. It is asked once; for a while the others are asked in its
// place, so that it does not cost each question its time limit.
func TestSilentPeerIsPassedOver(t *testing.T) {
	kept := &shelf{change: platform.TableChange{Revision: 3, Whole: true, Written: map[string][]byte{"all": []byte("loads")}}}
	keptAt := serve(t, kept)
	asked := map[string]int{}
	c := NewClient("", nil, zap.NewNop())
	defer c.Close()
	c.SetPeers(Peers{LocalFollowers: []string{"dead"}, Fallback: []string{keptAt}})
	askPeer := c.asker
	c.asker = func(ctx context.Context, address string, q question) *answer {
		asked[address]++
		if address == "dead" {
			return nil
		}
		return askPeer(ctx, address, q)
	}
	for range 5 {
		if _, _, ok := c.FetchOne(context.Background(), "loads", 0); !ok {
			t.Fatal("no answer")
		}
	}
	if asked["dead"] != 1 {
		t.Errorf("the dead peer was asked %d times", asked["dead"])
	}
}

// The store turns one of two peers away, which therefore says that rows may be missing for a
// moment; the other is served and says they are not. A VM that asks both must believe the
// one whose copy is fresher: otherwise it keeps a replica that has left among those that may
// come back, and callers' requests reach it seconds later than they may.
func TestFresherPeerSaysWhetherRowsMayComeBack(t *testing.T) {
	turnedAway := &shelf{change: platform.TableChange{Revision: 5, Whole: true, Settling: true}, age: 3 * time.Second}
	served := &shelf{change: platform.TableChange{Revision: 5, Whole: true}, age: time.Second / 2}
	turnedAwayAt, servedAt := serve(t, turnedAway), serve(t, served)
	for name, peers := range map[string]Peers{
		"the near one is turned away": {LocalFollowers: []string{turnedAwayAt}, RemoteFollowers: [][]string{{servedAt}}},
		"the far one is turned away":  {LocalFollowers: []string{servedAt}, RemoteFollowers: [][]string{{turnedAwayAt}}},
	} {
		for after, what := range map[uint64]string{4: "news", 5: "no news"} {
			c := NewClient("", nil, zap.NewNop())
			c.SetPeers(peers)
			for range 100 {
				change, age, ok := c.Fetch(context.Background(), "servers", after)
				if !ok || age >= 3*time.Second {
					continue // a busy machine let a question time out
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

// This VM was cut off, and each of its few peers was silent. When the cut ends it must hear
// from them with its next question, not after the time for which silent peers are passed over.
func TestAllPeersSilentAreAskedAgain(t *testing.T) {
	kept := &shelf{change: platform.TableChange{Revision: 3, Whole: true, Written: map[string][]byte{"all": []byte("loads")}}}
	keptAt := serve(t, kept)
	c := NewClient("", nil, zap.NewNop())
	defer c.Close()
	c.SetPeers(Peers{LocalFollowers: []string{keptAt}, RemoteFollowers: [][]string{{"dead"}}})
	askPeer := c.asker
	c.asker = func(context.Context, string, question) *answer { return nil }
	for range 3 {
		if _, _, ok := c.Fetch(context.Background(), "loads", 0); ok {
			t.Fatal("an answer while cut off")
		}
	}
	c.asker = func(ctx context.Context, address string, q question) *answer {
		if address == "dead" {
			return nil
		}
		return askPeer(ctx, address, q)
	}
	if change, _, _ := fetch(t, c); change.Revision != 3 {
		t.Errorf("%+v", change)
	}
}

// A VM learns from a peer that there is news, and the peer stops before it has handed it
// over. The change is here as soon as another peer was asked, half a second later: waiting
// for the first one's time limit, callers were refused by the older configuration for 2 s.
func TestPeerThatStopsBetweenTwoQuestions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient("", nil, zap.NewNop())
		c.SetPeers(Peers{LocalFollowers: []string{"stops"}, RemoteFollowers: [][]string{{"lives"}}})
		c.asker = func(ctx context.Context, address string, q question) *answer {
			if !q.Brief && address == "stops" {
				<-ctx.Done()
				return nil
			}
			a := &answer{Revision: 7}
			if address == "lives" && q.Brief {
				a.Revision = 6 // so that the one that stops is asked first
			}
			return a
		}
		began := time.Now()
		change, _, ok := c.Fetch(t.Context(), "op", 5)
		if !ok || change.Revision != 7 {
			t.Errorf("%+v, %t", change, ok)
		}
		if took := time.Since(began); took != secondAfter {
			t.Errorf("it took %s", took)
		}
	})
}

// A question that its asker gave up says nothing about the peer, which must not be passed
// over for it: the asker would go without its news for ten seconds.
func TestPeerThatWasNotWaitedForIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient("", nil, zap.NewNop())
		c.SetPeers(Peers{LocalFollowers: []string{"slow"}, RemoteFollowers: [][]string{{"other"}}})
		c.asker = func(ctx context.Context, _ string, _ question) *answer {
			<-ctx.Done()
			return nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), askTimeout/2)
		defer cancel()
		c.Fetch(ctx, "op", 5)
		synctest.Wait()
		if known := c.known().order(); len(known) != 2 || len(c.silent) != 0 {
			t.Errorf("asked next: %v, silent: %v", known, c.silent)
		}
	})
}

// All power is lost and all VMs start together. For the first seconds nobody has a board of
// loads, and VMs that ask for one are told so. When the placement has a holder again, its board
// must reach the others at once: for 10 s it was offered to nobody and asked of nobody, as all
// followers that had had none passed for silent, so that VMs knew no load and no dead replica,
// and after 8 s all of them read the lease. Evidence: 195 VMs started within 0.2 s, one had the
// lease 4.5 s later and its first board a second after that; 10 s after the start no other VM
// had a board.
func TestPeerWithoutACopyIsNotSilent(t *testing.T) {
	near, far, maker := &shelf{}, &shelf{}, NewClient("", nil, zap.NewNop())
	defer maker.Close()
	nearAt, farAt := serve(t, near), serve(t, far)
	maker.SetPeers(Peers{LocalFollowers: []string{nearAt}, RemoteFollowers: [][]string{{farAt}}, Fallback: []string{serve(t, &shelf{}), "127.0.0.1:1"}})
	asking := NewClient("", nil, zap.NewNop())
	defer asking.Close()
	asking.SetPeers(Peers{LocalFollowers: []string{nearAt}, Fallback: []string{serve(t, &shelf{}), serve(t, &shelf{}), "127.0.0.1:1"}})
	for _, c := range []*Client{maker, asking} {
		if _, _, ok := c.FetchOne(t.Context(), "loads", 0); ok {
			t.Fatal("there is a copy before anybody made one")
		}
	}
	board := platform.TableChange{Revision: 9, Whole: true, Written: map[string][]byte{"all": []byte("loads")}}
	offer(t, maker, near, board)
	offer(t, maker, far, board)
	if change, _, ok := asking.FetchOne(t.Context(), "loads", 0); !ok || change.Revision != board.Revision {
		t.Errorf("%+v, %t", change, ok)
	}
}
