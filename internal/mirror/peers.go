package mirror

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Peers holds the addresses, IP:port, of the peers that a VM may ask.
type Peers struct {
	// LocalFollowers are the VMs of the VM's own data centre that follow the store's feed. They
	// are asked first, because links between data centres are few and shared.
	LocalFollowers []string
	// RemoteFollowers are the VMs that follow the feed in the other data centres, one list for
	// each.
	RemoteFollowers [][]string
	// Fallback lists the peers that are asked if no follower answers.
	Fallback []string
	// DataCentre is the VM's own data centre.
	DataCentre string
	// LocalRelays are the VMs of the VM's own data centre that others ask. An offer that is to
	// reach the whole data centre is forwarded to them.
	LocalRelays []string
	// FeedFollowers are the VMs that follow the feed, by data centre. Offers are sent to them.
	FeedFollowers map[string][]string
}

// exclude returns the peers without the given addresses.
func (p Peers) exclude(addresses map[string]time.Time) Peers {
	remaining := Peers{
		DataCentre: p.DataCentre, LocalFollowers: excluding(p.LocalFollowers, addresses), Fallback: excluding(p.Fallback, addresses),
		LocalRelays: excluding(p.LocalRelays, addresses), FeedFollowers: make(map[string][]string, len(p.FeedFollowers)),
	}
	for dataCentre, followers := range p.FeedFollowers {
		remaining.FeedFollowers[dataCentre] = excluding(followers, addresses)
	}
	for _, far := range p.RemoteFollowers {
		remaining.RemoteFollowers = append(remaining.RemoteFollowers, excluding(far, addresses))
	}
	return remaining
}

func excluding(from []string, addresses map[string]time.Time) []string {
	return slices.DeleteFunc(slices.Clone(from), func(address string) bool {
		_, found := addresses[address]
		return found
	})
}

// order returns up to limit distinct peers in the order in which they are asked: local followers,
// remote ones, the fallback, each group in random order. The fallback has all VMs of the fleet, so
// only as many of it are drawn as are needed.
func (p Peers) order(limit int) []string {
	var order []string
	for _, group := range [][]string{p.LocalFollowers, slices.Concat(p.RemoteFollowers...), p.Fallback} {
		next := draw(group)
		for address, ok := next(); ok && len(order) < limit; address, ok = next() {
			if !slices.Contains(order, address) {
				order = append(order, address)
			}
		}
	}
	return order
}

// second returns a random peer other than first, in another data centre if possible. It returns ""
// if there is none.
func (p Peers) second(first string) string {
	for _, group := range [][]string{slices.Concat(p.RemoteFollowers...), p.LocalFollowers, p.Fallback} {
		next := draw(group)
		for address, ok := next(); ok; address, ok = next() {
			if address != first {
				return address
			}
		}
	}
	return ""
}

// draw returns a function that returns the addresses one by one, each once and in random order, and
// false when there are no more.
func draw(addresses []string) func() (string, bool) {
	if len(addresses) == 0 {
		return func() (string, bool) { return "", false }
	}
	// The order is a random start and a random step without a common divisor with the length.
	n := len(addresses)
	at, step, left := rand.IntN(n), 1+rand.IntN(n), n
	for gcd(step, n) != 1 {
		step = 1 + rand.IntN(n)
	}
	return func() (string, bool) {
		if left == 0 {
			return "", false
		}
		left--
		at = (at + step) % n
		return addresses[at], true
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// smallFleet is the largest number of peers at which a change is offered to all of them.
const smallFleet = 16

// offersPerDataCentre is how many feed followers of each data centre an urgent change is offered
// to. Each forwards it, so that one that fails in between delays nothing.
const offersPerDataCentre = 2

// offerTargets returns the peers to which a change is offered, and whether they have to forward it
// to the others of their data centre that peers ask. In a small fleet an urgent change is offered
// to all peers. Otherwise the targets are feed followers, n of each data centre: what this VM sends
// does not grow with the number of VMs.
func (p Peers) offerTargets(urgent bool, n int) (targets []string, forward bool) {
	if all := p.order(smallFleet + 1); urgent && len(all) <= smallFleet {
		return all, false
	}
	for _, followers := range p.FeedFollowers {
		some := shuffled(followers)
		targets = append(targets, some[:min(n, len(some))]...)
	}
	if len(p.FeedFollowers[p.DataCentre]) == 0 {
		targets = append(targets, p.LocalRelays...) // no other VM could forward to them
	}
	return targets, true
}

func shuffled(addresses []string) []string {
	order := slices.Clone(addresses)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}
