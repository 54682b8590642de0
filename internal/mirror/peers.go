package mirror

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Peers are the addresses, IP:port, that a VM may ask.
type Peers struct {
	// LocalFollowers are the VMs of its own data centre that follow the store. They are asked first:
	// links between data centres are few and shared.
	LocalFollowers []string
	// RemoteFollowers are those of each other data centre.
	RemoteFollowers [][]string
	// Fallback are asked where none of those answers.
	Fallback []string
}

// withoutAny returns the peers but those at some addresses.
func (p Peers) withoutAny(addresses map[string]time.Time) Peers {
	rest := Peers{LocalFollowers: withoutThese(p.LocalFollowers, addresses), Fallback: withoutThese(p.Fallback, addresses)}
	for _, far := range p.RemoteFollowers {
		rest.RemoteFollowers = append(rest.RemoteFollowers, withoutThese(far, addresses))
	}
	return rest
}

func withoutThese(from []string, addresses map[string]time.Time) []string {
	return slices.DeleteFunc(slices.Clone(from), func(address string) bool {
		_, is := addresses[address]
		return is
	})
}

// order lists whom to ask: a near one at random, a far one, then others. Each is there
// once.
func (p Peers) order() []string {
	var order []string
	for _, some := range [][]string{shuffled(p.LocalFollowers), shuffled(slices.Concat(p.RemoteFollowers...)), shuffled(p.Fallback)} {
		for _, address := range some {
			if !slices.Contains(order, address) {
				order = append(order, address)
			}
		}
	}
	return order
}

// second returns one more peer beside the first, of another data centre if there is one,
// "" if there is none.
func (p Peers) second(first string) string {
	for _, some := range [][]string{shuffled(slices.Concat(p.RemoteFollowers...)), shuffled(p.LocalFollowers), shuffled(p.Fallback)} {
		if rest := withoutThese(some, map[string]time.Time{first: {}}); len(rest) > 0 {
			return rest[0]
		}
	}
	return ""
}

// onePerDataCentre returns one follower of each data centre.
func (p Peers) onePerDataCentre() []string {
	var some []string
	for _, group := range append([][]string{p.LocalFollowers}, p.RemoteFollowers...) {
		if len(group) > 0 {
			some = append(some, group[rand.IntN(len(group))])
		}
	}
	return some
}

// fewPeers is up to how many VMs a change is offered to all of them.
const fewPeers = 16

// offeredAll returns whom a change is offered to that is to be known everywhere at once: all VMs
// where there are few, else the followers, which the others ask each second.
func (p Peers) offeredAll() []string {
	all := p.order()
	if len(all) <= fewPeers {
		return all
	}
	return slices.Concat(append([][]string{p.LocalFollowers}, p.RemoteFollowers...)...)
}

func shuffled(addresses []string) []string {
	order := slices.Clone(addresses)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}
