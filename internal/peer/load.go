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

// maxLoadEntries bounds the entries of this VM's own load. Otherwise the entries of targets that
// are idle and no longer configured would accumulate.
const maxLoadEntries = 4096

// loadExchange sends this VM's requests in flight to peers, to each only what has changed since the
// last message that it acknowledged, and stores what peers send. It is safe for concurrent use.
type loadExchange struct {
	loads  LoadStore
	expiry time.Duration
	names  *targetNames

	mu sync.Mutex // guards the fields below
	// seq numbers the changes of this VM's load.
	seq uint64
	// resetSeq is the sequence number at which own was last emptied. A peer that has received less
	// gets the whole load.
	resetSeq uint64
	own      map[string]loadEntry
	peers    map[string]*peerLoad
}

// loadEntry is the load of one target and the sequence number of its last change.
type loadEntry struct {
	inFlight int
	seq      uint64
}

// peerLoad is the load that one process of a peer has sent, and how much of this VM's load that
// process has received.
type peerLoad struct {
	processStart uint64
	// receivedUpTo is the sequence number up to which this VM has received the peer's load.
	receivedUpTo uint64
	inFlight     map[uint32]int // requests in flight by hash of the target's name
	receivedAt   time.Time
	// ackedUpTo is the sequence number up to which the peer has received this VM's load.
	ackedUpTo uint64
}

func newLoadExchange(loads LoadStore, expiry time.Duration, source config.Source) *loadExchange {
	names := &targetNames{source: source}
	return &loadExchange{loads: loads, expiry: expiry, names: names, own: map[string]loadEntry{}, peers: map[string]*peerLoad{}}
}

// refresh reads this VM's load and assigns a sequence number to each change.
func (l *loadExchange) refresh() {
	if l.loads == nil {
		return
	}
	current := l.loads.InFlight()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.own) > maxLoadEntries {
		l.own = map[string]loadEntry{}
		l.resetSeq = l.seq
	}
	for target, inFlight := range current {
		if old, known := l.own[target]; (known || inFlight != 0) && old.inFlight != inFlight {
			l.setOwn(target, inFlight)
		}
	}
	for target, entry := range l.own {
		if _, present := current[target]; !present && entry.inFlight != 0 {
			l.setOwn(target, 0)
		}
	}
}

// setOwn records a change of this VM's load. The caller holds l.mu.
func (l *loadExchange) setOwn(target string, inFlight int) {
	l.seq++
	l.own[target] = loadEntry{inFlight: inFlight, seq: l.seq}
}

// messageFor returns the load that a peer has not yet received, and the sequence number up to which
// this VM has received the peer's load.
func (l *loadExchange) messageFor(to string) (*peerpb.Load, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var after, receivedUpTo uint64
	if p := l.peers[to]; p != nil {
		after, receivedUpTo = p.ackedUpTo, p.receivedUpTo
	}
	if after < l.resetSeq || after > l.seq {
		after = 0
	}
	return l.changesAfter(after), receivedUpTo
}

// changesAfter returns the oldest changes after a sequence number, up to maxLoadPerMessage; after 0
// the whole load. The caller holds l.mu.
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

// receive records a peer's load, and the sequence number up to which the peer has received this
// VM's load.
func (l *loadExchange) receive(from *peerpb.Envelope, load *peerpb.Load, ackedUpTo uint64) {
	if l.loads == nil || load == nil || !wellFormed(load) {
		return
	}
	if inFlight, changed := l.record(from, load, ackedUpTo); changed {
		l.loads.PeerLoad(from.GetVm(), l.names.resolve(inFlight))
	}
}

// wellFormed reports whether the sizes of a load from a peer are valid.
func wellFormed(load *peerpb.Load) bool {
	count := len(load.GetTargets())
	return count <= maxLoadPerMessage && count == len(load.GetInFlight())
}

// record stores a peer's load. It returns the whole load of the peer by hash of the target's name,
// and whether it may have changed.
func (l *loadExchange) record(from *peerpb.Envelope, load *peerpb.Load, ackedUpTo uint64) (map[uint32]int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peerFor(from)
	p.receivedAt = time.Now()
	p.ackedUpTo = ackedUpTo
	// A gap means that a message was lost. The next message to the peer contains receivedUpTo,
	// from which the peer then continues.
	if load.GetAfter() > p.receivedUpTo || load.GetUpto() < p.receivedUpTo && load.GetAfter() > 0 {
		return nil, false
	}
	if load.GetAfter() == 0 {
		p.inFlight = map[uint32]int{}
	}
	p.receivedUpTo = load.GetUpto()
	for i, target := range load.GetTargets() {
		p.inFlight[target] = int(load.GetInFlight()[i])
		if p.inFlight[target] == 0 {
			delete(p.inFlight, target)
		}
	}
	return maps.Clone(p.inFlight), load.GetAfter() == 0 || len(load.GetTargets()) > 0
}

// peerFor returns the entry of the peer, a new one if the peer's process is new. The caller holds
// l.mu.
func (l *loadExchange) peerFor(from *peerpb.Envelope) *peerLoad {
	processStart := membership.Incarnation(from.GetIncarnation()).ProcessStart()
	p := l.peers[from.GetVm()]
	if p == nil || p.processStart != processStart {
		p = &peerLoad{processStart: processStart, inFlight: map[uint32]int{}}
		l.peers[from.GetVm()] = p
	}
	return p
}

// expire removes the load of peers that sent none for the expiry or that may not serve.
func (l *loadExchange) expire(now time.Time, mayServe func(string) bool) {
	if l.loads == nil {
		return
	}
	for _, vm := range l.peerNames() {
		if l.removeExpired(vm, now, mayServe(vm)) {
			l.loads.PeerLoad(vm, nil)
		}
	}
}

// peerNames returns the names of the peers whose load is known.
func (l *loadExchange) peerNames() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.peers))
}

// removeExpired removes the load of a peer if it has expired, and reports whether it did.
func (l *loadExchange) removeExpired(vm string, now time.Time, mayServe bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[vm]
	if p == nil || mayServe && now.Sub(p.receivedAt) <= l.expiry {
		return false
	}
	delete(l.peers, vm)
	return true
}

// loadFor returns the load for a message to a VM, none if the VM does not share targets with this
// one.
func (n *Node) loadFor(vm string) (*peerpb.Load, uint64) {
	if n.options.Load == nil || vm == "" || !n.exchangesLoad(vm) {
		return nil, 0
	}
	return n.load.messageFor(vm)
}

// exchangesLoad reports whether this VM exchanges load with another one.
func (n *Node) exchangesLoad(vm string) bool {
	n.mu.Lock()
	small := n.wholeFleetInView()
	n.mu.Unlock()
	return small || n.options.SharesTargets != nil && n.options.SharesTargets(vm)
}
