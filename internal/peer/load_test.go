package peer

import (
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/peer/peerpb"
)

// loadTable is a LoadStore in memory.
type loadTable struct {
	mu    sync.Mutex
	own   map[string]int
	peers map[string]map[string]int
}

func newLoadTable(own map[string]int) *loadTable {
	return &loadTable{own: own, peers: map[string]map[string]int{}}
}

func (l *loadTable) InFlight() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.own)
}

func (l *loadTable) PeerLoad(vm string, inFlight map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if inFlight == nil {
		delete(l.peers, vm)
		return
	}
	l.peers[vm] = inFlight
}

func (l *loadTable) set(target string, inFlight int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own[target] = inFlight
}

func (l *loadTable) peer(vm string) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers[vm]
}

// Two VMs send to the same targets and pick by what both have in flight. Each
// hears of the other's changes alone, also after messages were lost, and forgets
// the other's load once it is gone: it would hold targets back for a VM that
// sends them nothing.
func TestLoadIsExchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, Settings{})
		defer f.stop()
		many := map[string]int{}
		for i := range 2 * maxLoadPerMessage {
			many[targetName(i)] = i + 1
		}
		loads := []*loadTable{newLoadTable(many), newLoadTable(map[string]int{targetName(0): 1})}
		for i, load := range loads {
			store := newMemoryStore()
			fill(store, 1, len(many))
			f.startWith(vmName(i), store, load, Settings{})
		}
		agree := func() bool { return maps.Equal(loads[1].peer(vmName(0)), nonZero(loads[0].InFlight())) }
		f.within(joinBound, "the first load is known", agree)
		loads[0].set(targetName(1), 9)
		loads[0].set(targetName(3), 0)
		f.within(joinBound, "the changes are known", agree)
		f.network.SetCut(func(from, to string) bool { return true })
		loads[0].set(targetName(1), 4)
		f.within(deathBound, "the load is forgotten", func() bool { return loads[1].peer(vmName(0)) == nil })
		f.network.SetCut(func(string, string) bool { return false })
		f.within(healBound, "the load is known again", agree)
	})
}

// A peer was silent for a while and its load was forgotten here; it goes on with
// what changed since. Taken as the whole, that would hide most of its load, so it
// is refused and the peer starts anew.
func TestForgottenLoadIsSentWhole(t *testing.T) {
	store := newMemoryStore()
	fill(store, 1, 2)
	own := newLoadTable(map[string]int{targetName(0): 1})
	sender := newLoadExchange(own, time.Minute, store)
	sink := newLoadTable(map[string]int{})
	receiver := newLoadExchange(sink, time.Minute, store)
	exchange := func() {
		sender.refresh()
		load, seen := sender.give("receiver")
		receiver.take(&peerpb.Envelope{Vm: "sender"}, load, seen)
		load, seen = receiver.give("sender")
		sender.take(&peerpb.Envelope{Vm: "receiver"}, load, seen)
	}
	exchange()
	receiver.expire(time.Now().Add(time.Hour), func(string) bool { return true })
	own.set(targetName(1), 2)
	exchange()
	if got := sink.peer("sender"); got != nil {
		t.Fatalf("changes were taken as the whole: %v", got)
	}
	exchange()
	if got, want := sink.peer("sender"), own.InFlight(); !maps.Equal(got, want) {
		t.Fatalf("the peer's load is %v, want %v", got, want)
	}
}

func nonZero(load map[string]int) map[string]int {
	maps.DeleteFunc(load, func(_ string, n int) bool { return n == 0 })
	return load
}
