package census

const (
	// minFollowers is the least number of VMs of each data centre that peers ask, if there are so
	// many, and the number of those that follow the store's feed. The others get the changes from
	// them. With three, one is left when some VMs cannot reach the store.
	minFollowers = 3
	// maxVMsPerFollower bounds the VMs that get their changes from one follower. A configuration
	// of 1,770 profiles is some 40 KB for each: for 16 VMs it takes a link of 20 Mbit/s 0.3 s.
	maxVMsPerFollower = 16
)

// FollowersOf returns the VMs that the others ask for changes, by data centre. They are the largest
// ones; a hash of the name decides among VMs of equal size. All VMs with the same list agree.
func FollowersOf(all []VM) map[string][]VM {
	counts := map[string]int{}
	for _, vm := range all {
		counts[vm.DataCentre]++
	}
	return largestOf(all, func(dataCentre string) int {
		return max(minFollowers, (counts[dataCentre]+maxVMsPerFollower-1)/maxVMsPerFollower)
	})
}

// FeedFollowersOf returns those of the VMs of FollowersOf that follow the store's feed, by data
// centre. The others relay what they get from these: if all 65 followers of a thousand VMs followed
// the feed, each change of a table would be 65 calls to the store.
func FeedFollowersOf(all []VM) map[string][]VM {
	return largestOf(all, func(string) int { return minFollowers })
}

// largestOf returns the largest VMs of each data centre, as many as limit returns for it.
func largestOf(all []VM, limit func(dataCentre string) int) map[string][]VM {
	largest := map[string][]VM{}
	for _, vm := range sortedBySize(all) {
		if len(largest[vm.DataCentre]) < limit(vm.DataCentre) {
			largest[vm.DataCentre] = append(largest[vm.DataCentre], vm)
		}
	}
	return largest
}

// FollowsFeed reports whether this VM is one of FeedFollowersOf.
func (c *Census) FollowsFeed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.followsFeed
}

// Relays reports whether this VM is one of FollowersOf but none of FeedFollowersOf.
func (c *Census) Relays() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relays
}

// HasRelays reports whether some followers of this VM's data centre do not follow the feed, so that
// changes reach most VMs by way of two others.
func (c *Census) HasRelays() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasRelays
}

// RelayCount returns the number of VMs in the fleet that are some of FollowersOf but none of
// FeedFollowersOf.
func (c *Census) RelayCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relayCount
}

func countVMs(byDataCentre map[string][]VM) int {
	n := 0
	for _, vms := range byDataCentre {
		n += len(vms)
	}
	return n
}
