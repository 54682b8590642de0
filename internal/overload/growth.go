package overload

const (
	// evenPart is the part of a replica that is shared evenly among the VMs of its data centre. The rest
	// follows their demand. Without an even part, a VM that has no streams could not start any.
	evenPart = 0.5
	// localGrowth and remoteGrowth are the multiples of its part of the free capacity that a VM may take
	// beyond its share until the next report: not all VMs grow at the same time. From another data
	// centre, all VMs may come at once.
	localGrowth  = 2.0
	remoteGrowth = 3.0
	// maxRemoteGrowth leaves room for the other data centres where one VM takes paths for all of its own.
	maxRemoteGrowth = 0.5
)

// Share returns the fraction of the replicas of a data centre that one of its VMs may always use. Own and
// all are the stages of streams at these replicas, this VM's and those reported in total; vms is the
// number of VMs there. Callers are not spread evenly over the VMs: with even shares alone, capacity would
// be idle at some VMs while others refuse requests. The shares of all VMs together are at most 1.
func Share(own, all float64, vms int) float64 {
	even := 1 / float64(max(1, vms))
	if all <= 0 {
		return even
	}
	return evenPart*even + (1-evenPart)*min(1, own/all)
}

// LocalGrowth returns the fraction of a replica's free capacity that a VM with a share may take beyond it
// until the next report.
func LocalGrowth(share float64) float64 { return min(1, localGrowth*share) }

// RemoteGrowth is LocalGrowth for a replica of another data centre, which the given number of VMs of
// other data centres may use.
func RemoteGrowth(vms int) float64 { return min(maxRemoteGrowth, remoteGrowth/float64(max(1, vms))) }
