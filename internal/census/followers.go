package census

const (
	// minFollowers is the least number of VMs of each data centre that follow the store's feed,
	// if there are so many. The others get the changes from them. With three, one is left when
	// some VMs cannot reach the store.
	minFollowers = 3
	// maxVMsPerFollower bounds the VMs that get their changes from one follower. A configuration
	// of 1,770 profiles is some 40 KB for each: for 16 VMs it takes a link of 20 Mbit/s 0.3 s.
	maxVMsPerFollower = 16
)

// Followers returns the VMs that follow the store's feed by data centre. They are the largest
// ones; a hash of the name decides among VMs of equal size. All VMs with the same list agree.
func (c *Census) Followers() map[string][]VM { return FollowersOf(c.VMs()) }

// FollowersOf returns what Followers returns, for a given list of VMs.
func FollowersOf(all []VM) map[string][]VM {
	followers := map[string][]VM{}
	vms := sortedBySize(all)
	counts := map[string]int{}
	for _, vm := range vms {
		counts[vm.DataCentre]++
	}
	for _, vm := range vms {
		limit := max(minFollowers, (counts[vm.DataCentre]+maxVMsPerFollower-1)/maxVMsPerFollower)
		if len(followers[vm.DataCentre]) < limit {
			followers[vm.DataCentre] = append(followers[vm.DataCentre], vm)
		}
	}
	return followers
}

// FollowsFeed reports whether this VM is one of the Followers.
func (c *Census) FollowsFeed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.followsFeed
}
