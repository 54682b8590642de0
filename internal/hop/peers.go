package hop

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxNear and maxFar bound the peers that are asked, in this data centre and in all others.
	maxNear = 16
	maxFar  = 16
	// choices is among how many peers connections are spread.
	choices = 3
	// maxUnfitNear is the number of avoided peers of this data centre from which the others of it are
	// asked last.
	maxUnfitNear = 3
	// unfitTime is how long a peer that declined or did not answer is asked only if no other is left.
	unfitTime = time.Second
	// maxUnfitTime bounds that time, which doubles each time that the peer declines again.
	maxUnfitTime = 8 * time.Second
	// cutOffTime is the same for a peer that says that it is cut off itself.
	cutOffTime = 2 * time.Second
)

// Peer is a VM that may be asked.
type Peer struct {
	// Address is the IP:port of the listener for peers.
	Address    string
	DataCentre string
}

// Peers chooses the peers that pass connections on: those of this data centre first, among these the
// ones with the fewest connections of this VM. Each VM asks a few peers of its own, so that a large
// fleet's connections are spread. It is safe for concurrent use.
type Peers struct {
	self Peer

	mu sync.Mutex // guards the fields below
	// near and far are in the order in which they are preferred.
	near, far []string
	// unfitUntil holds peers that are avoided.
	unfitUntil map[string]time.Time
	active     map[string]int
	// declines counts how often in a row a peer has declined.
	declines map[string]int
}

// NewPeers returns the peers of a VM, none until SetPeers is called.
func NewPeers(self Peer) *Peers {
	return &Peers{self: self, unfitUntil: map[string]time.Time{}, active: map[string]int{}, declines: map[string]int{}}
}

// SetPeers replaces the peers. The VM itself is left out.
func (p *Peers) SetPeers(all []Peer) {
	var near, far []string
	for _, peer := range all {
		switch {
		case peer.Address == p.self.Address:
		case peer.DataCentre == p.self.DataCentre:
			near = append(near, peer.Address)
		default:
			far = append(far, peer.Address)
		}
	}
	near, far = p.preferred(near, maxNear), p.preferred(far, maxFar)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.near, p.far = near, far
	maps.DeleteFunc(p.unfitUntil, func(address string, _ time.Time) bool { return !p.knows(address) })
	maps.DeleteFunc(p.declines, func(address string, _ int) bool { return !p.knows(address) })
}

// preferred returns the first peers in the order of this VM, which differs from those of other VMs.
func (p *Peers) preferred(addresses []string, limit int) []string {
	weights := make(map[string]uint64, len(addresses))
	for _, address := range addresses {
		weights[address] = xxhash.Sum64String(p.self.Address + "\x00" + address)
	}
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(weights[a], weights[b]) })
	return slices.Clone(addresses[:min(limit, len(addresses))])
}

// knows reports whether a peer may be asked. p.mu is held.
func (p *Peers) knows(address string) bool {
	return slices.Contains(p.near, address) || slices.Contains(p.far, address)
}

// Pick returns the peer to ask, other than those that were asked already, "" if there is none. After one
// of this data centre it is one of another, as all of this one may be cut off, and the other way round.
func (p *Peers) Pick(asked []string, now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	groups := [][]string{p.near, p.far}
	if p.farFirst(asked, now) {
		groups = [][]string{p.far, p.near}
	}
	for _, group := range groups {
		if picked := p.pickFit(group, asked, now); picked != "" {
			return picked
		}
	}
	return p.pickUnfit(slices.Concat(groups...), asked)
}

// farFirst reports whether a peer of another data centre is asked next, if there is one that is not
// avoided. p.mu is held.
func (p *Peers) farFirst(asked []string, now time.Time) bool {
	if len(asked) > 0 {
		return slices.Contains(p.near, asked[len(asked)-1])
	}
	return p.unfit(p.near, now) >= maxUnfitNear
}

// unfit returns how many peers of a group are avoided. p.mu is held.
func (p *Peers) unfit(group []string, now time.Time) int {
	unfit := 0
	for _, address := range group {
		if now.Before(p.unfitUntil[address]) {
			unfit++
		}
	}
	return unfit
}

// pickFit returns the peer with the fewest connections among the first ones of a group that are not
// avoided. p.mu is held.
func (p *Peers) pickFit(group, asked []string, now time.Time) string {
	picked, ties, seen := "", 0, 0
	for _, address := range group {
		if slices.Contains(asked, address) || now.Before(p.unfitUntil[address]) {
			continue
		}
		switch fewer := cmp.Compare(p.active[address], p.active[picked]); {
		case picked == "" || fewer < 0:
			picked, ties = address, 1
		case fewer == 0:
			if ties++; rand.IntN(ties) == 0 {
				picked = address
			}
		}
		if seen++; seen == choices {
			break
		}
	}
	return picked
}

// pickUnfit returns the peer that is avoided for the shortest time from now on, so that all are asked in
// turn. p.mu is held.
func (p *Peers) pickUnfit(all, asked []string) string {
	picked := ""
	for _, address := range all {
		if !slices.Contains(asked, address) && (picked == "" || p.unfitUntil[address].Before(p.unfitUntil[picked])) {
			picked = address
		}
	}
	return picked
}

// Avoid makes Pick avoid a peer for a while.
func (p *Peers) Avoid(address string, d time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.knows(address) {
		p.unfitUntil[address] = now.Add(d)
	}
}

// RecordAnswer records whether a peer has passed a connection on.
func (p *Peers) RecordAnswer(address string, passedOn bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case passedOn:
		delete(p.declines, address)
		delete(p.unfitUntil, address)
	case p.knows(address):
		p.unfitUntil[address] = now.Add(min(maxUnfitTime, unfitTime<<min(p.declines[address], 8)))
		p.declines[address]++
	}
}

// ObserveCutOff records that a peer said in an answer that it is cut off.
func (p *Peers) ObserveCutOff(address string, now time.Time) { p.Avoid(address, cutOffTime, now) }

// count adds to the number of connections through a peer.
func (p *Peers) count(address string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active[address] += n; p.active[address] == 0 {
		delete(p.active, address)
	}
}

// activeAt returns the number of connections through a peer, and whether it may still be asked.
func (p *Peers) activeAt(address string) (active int, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active[address], p.knows(address)
}

// Active returns the number of connections through each peer.
func (p *Peers) Active() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.active)
}
