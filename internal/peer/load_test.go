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

// Two VMs send to the same targets and choose targets by what both have in flight. Each must
// receive the other's changes, also after messages were lost, and must drop the other's load once
// the other is unreachable; otherwise targets would be avoided because of a VM that sends them
// nothing.
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
		f.waitFor(joinBound, "the initial load is received", agree)
		loads[0].set(targetName(1), 9)
		loads[0].set(targetName(3), 0)
		f.waitFor(joinBound, "the changes are received", agree)
		f.network.SetCut(func(from, to string) bool { return true })
		loads[0].set(targetName(1), 4)
		f.waitFor(deathBound, "the load has expired", func() bool { return loads[1].peer(vmName(0)) == nil })
		f.network.SetCut(func(string, string) bool { return false })
		f.waitFor(healBound, "the load is received again", agree)
	})
}

// A peer was silent for a while, so its load has expired here, and it continues with changes. If
// these were accepted as the whole load, most of it would be missing. They must be rejected, and
// the peer must send its whole load again.
func TestExpiredLoadIsSentInFull(t *testing.T) {
	store := newMemoryStore()
	fill(store, 1, 2)
	own := newLoadTable(map[string]int{targetName(0): 1})
	sender := newLoadExchange(own, time.Minute, store)
	sink := newLoadTable(map[string]int{})
	receiver := newLoadExchange(sink, time.Minute, store)
	exchange := func() {
		sender.refresh()
		load, seen := sender.messageFor("receiver")
		receiver.receive(&peerpb.Envelope{Vm: "sender"}, load, seen)
		load, seen = receiver.messageFor("sender")
		sender.receive(&peerpb.Envelope{Vm: "receiver"}, load, seen)
	}
	exchange()
	receiver.expire(time.Now().Add(time.Hour), func(string) bool { return true })
	own.set(targetName(1), 2)
	exchange()
	if got := sink.peer("sender"); got != nil {
		t.Fatalf("changes were accepted as the whole load: %v", got)
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
