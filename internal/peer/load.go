package peer

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/membership"
	"geraniumcroft/internal/peer/peerpb"
)

// maxLoadEntries bounds the sequence of this VM's own load; idle targets that
// were removed from the configuration would otherwise stay in it.
const maxLoadEntries = 4096

// loadExchange tells peers what this VM has in flight, each only what changed
// since it last heard, and keeps what they tell.
type loadExchange struct {
	sink   LoadStore
	expiry time.Duration
	names  *targetNames

	mu    sync.Mutex // guards the fields below
	seq   uint64
	floor uint64
	own   map[string]loadEntry
	peers map[string]*peerLoad
}

type loadEntry struct {
	inFlight int
	seq      uint64
}

// peerLoad is what one life of a peer has told, and how much of this VM's load
// it has.
type peerLoad struct {
	life     uint64
	held     uint64
	inFlight map[uint32]int // by hash of the target's name
	heard    time.Time
	// seen is how far the peer holds this VM's load.
	seen uint64
}

func newLoadExchange(sink LoadStore, expiry time.Duration, source config.Source) *loadExchange {
	names := &targetNames{source: source}
	return &loadExchange{sink: sink, expiry: expiry, names: names, own: map[string]loadEntry{}, peers: map[string]*peerLoad{}}
}

// refresh reads this VM's load and numbers what changed.
func (l *loadExchange) refresh() {
	if l.sink == nil {
		return
	}
	current := l.sink.InFlight()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.own) > maxLoadEntries {
		l.own = map[string]loadEntry{}
		l.floor = l.seq
	}
	for target, inFlight := range current {
		if old, known := l.own[target]; (known || inFlight != 0) && old.inFlight != inFlight {
			l.set(target, inFlight)
		}
	}
	for target, entry := range l.own {
		if _, present := current[target]; !present && entry.inFlight != 0 {
			l.set(target, 0)
		}
	}
}

func (l *loadExchange) set(target string, inFlight int) {
	l.seq++
	l.own[target] = loadEntry{inFlight: inFlight, seq: l.seq}
}

// give returns what a peer has yet to hear, and how far this VM holds its load.
func (l *loadExchange) give(to string) (*peerpb.Load, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var after, held uint64
	if p := l.peers[to]; p != nil {
		after, held = p.seen, p.held
	}
	if after < l.floor || after > l.seq {
		after = 0
	}
	return l.changesAfter(after), held
}

func (l *loadExchange) changesAfter(after uint64) *peerpb.Load {
	var changed []string
	for target, entry := range l.own {
		if entry.seq > after && (after > 0 || entry.inFlight > 0) {
			changed = append(changed, target)
		}
	}
	slices.SortFunc(changed, func(a, b string) int { return cmp.Compare(l.own[a].seq, l.own[b].seq) })
	load := &peerpb.Load{After: after, Upto: l.seq}
	if len(changed) > maxLoadPerMessage {
		changed = changed[:maxLoadPerMessage]
		load.Upto = l.own[changed[maxLoadPerMessage-1]].seq
	}
	for _, target := range changed {
		load.Targets = append(load.Targets, hashName(target))
		load.InFlight = append(load.InFlight, uint32(l.own[target].inFlight))
	}
	return load
}

// take records a peer's load and how far it holds this VM's.
func (l *loadExchange) take(from *peerpb.Envelope, load *peerpb.Load, seen uint64) {
	if l.sink == nil || load == nil || !wellFormed(load) {
		return
	}
	if inFlight, changed := l.record(from, load, seen); changed {
		l.sink.PeerLoad(from.GetVm(), l.names.resolve(inFlight))
	}
}

func wellFormed(load *peerpb.Load) bool {
	count := len(load.GetTargets())
	return count <= maxLoadPerMessage && count == len(load.GetInFlight())
}

func (l *loadExchange) record(from *peerpb.Envelope, load *peerpb.Load, seen uint64) (map[uint32]int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peerOf(from)
	p.heard = time.Now()
	p.seen = seen
	// A gap means that a message was lost; held tells the peer to go back.
	if load.GetAfter() > p.held || load.GetUpto() < p.held && load.GetAfter() > 0 {
		return nil, false
	}
	if load.GetAfter() == 0 {
		p.inFlight = map[uint32]int{}
	}
	p.held = load.GetUpto()
	for i, target := range load.GetTargets() {
		p.inFlight[target] = int(load.GetInFlight()[i])
		if p.inFlight[target] == 0 {
			delete(p.inFlight, target)
		}
	}
	return maps.Clone(p.inFlight), load.GetAfter() == 0 || len(load.GetTargets()) > 0
}

func (l *loadExchange) peerOf(from *peerpb.Envelope) *peerLoad {
	life := membership.Incarnation(from.GetIncarnation()).ProcessStart()
	p := l.peers[from.GetVm()]
	if p == nil || p.life != life {
		p = &peerLoad{life: life, inFlight: map[uint32]int{}}
		l.peers[from.GetVm()] = p
	}
	return p
}

// expire forgets peers that were not heard for the expiry or may not serve.
func (l *loadExchange) expire(now time.Time, mayServe func(string) bool) {
	if l.sink == nil {
		return
	}
	for _, vm := range l.known() {
		if l.forget(vm, now, mayServe(vm)) {
			l.sink.PeerLoad(vm, nil)
		}
	}
}

func (l *loadExchange) known() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.peers))
}

func (l *loadExchange) forget(vm string, now time.Time, mayServe bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[vm]
	if p == nil || mayServe && now.Sub(p.heard) <= l.expiry {
		return false
	}
	delete(l.peers, vm)
	return true
}

// loadFor returns the load for a message to a VM; none when it does not share
// targets.
func (n *Node) loadFor(vm string) (*peerpb.Load, uint64) {
	if n.options.Load == nil || vm == "" || !n.exchangesLoad(vm) {
		return nil, 0
	}
	return n.load.give(vm)
}

func (n *Node) exchangesLoad(vm string) bool {
	n.mu.Lock()
	small := n.wholeFleetInView()
	n.mu.Unlock()
	return small || n.options.SharesTargets != nil && n.options.SharesTargets(vm)
}
