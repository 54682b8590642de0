package entry

import (
	"sync"

	"geraniumcroft/internal/census"
	"geraniumcroft/internal/mirror"
)

// peerSelection selects the peers that this VM fetches tables from, out of the list of VMs and the seeds of the
// settings. It is safe for concurrent use.
type peerSelection struct {
	dataCentre string
	// followsFeed and relays report whether this VM follows the store's feed, or is another one that peers ask.
	followsFeed, relays func() bool
	// apply is called with each selection, one call at a time.
	apply func(mirror.Peers)

	mu    sync.Mutex // guards the fields below
	vms   []census.VM
	seeds []string
}

// setVMs replaces the list of VMs.
func (s *peerSelection) setVMs(vms []census.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = vms
	s.apply(s.selected())
}

// setSeeds replaces the seeds. The VMs of the list stay.
func (s *peerSelection) setSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = seeds
	s.apply(s.selected())
}

// selected returns all followers, or those that follow the feed if others ask this VM. A VM that follows the
// feed itself asks all followers of the other data centres: the store may turn away all that follow the
// feed and answer others. s.mu must be held.
func (s *peerSelection) selected() mirror.Peers {
	feedFollowers, followers := census.FeedFollowersOf(s.vms), census.FollowersOf(s.vms)
	near, far := followers, followers
	switch {
	case s.followsFeed():
		near = feedFollowers
	case s.relays():
		near, far = feedFollowers, feedFollowers
	}
	peers := mirror.Peers{
		DataCentre: s.dataCentre, LocalFollowers: addressesOf(near[s.dataCentre]), LocalRelays: addressesOf(followers[s.dataCentre]),
		Fallback: append(addressesOf(s.vms), s.seeds...), FeedFollowers: map[string][]string{},
	}
	for dataCentre, vms := range far {
		if dataCentre != s.dataCentre {
			peers.RemoteFollowers = append(peers.RemoteFollowers, addressesOf(vms))
		}
	}
	for dataCentre, vms := range feedFollowers {
		peers.FeedFollowers[dataCentre] = addressesOf(vms)
	}
	return peers
}
