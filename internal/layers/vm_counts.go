package layers

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// remotePart is the fraction of a replica's memory that the VMs of other data centres may
// use together. Paths stay in their request's data centre unless something is missing
// there; then two data centres carry the load of three.
const remotePart = 0.5

// maxFreeShares is how many even shares of the memory that a report shows as free one VM
// may take. At most a third of the VMs go beyond their own share at the same time.
const maxFreeShares = 3.0

// maxShares is how many even shares of a replica's memory one VM may use while the reports
// show it as not full. Requests arrive at VMs at random: at any time some VMs need more
// than their share, while all together hardly ever need more than the whole.
const maxShares = 2.5

// VMCounts says how many VMs send requests to the same replicas. Each VM sees only its own
// requests and limits itself to its share.
type VMCounts struct {
	// VM is the name of this VM.
	VM string
	// DataCentre is the data centre of this VM.
	DataCentre string
	// Fleet is the number of all VMs, Local of those in this VM's data centre. Both include
	// this VM.
	Fleet int
	Local int
	// Whole is set for a table that allocates paths for all VMs of the data centre. Fleet is then the
	// number of data centres and Local is 1.
	Whole bool
}

// share returns the fraction of the memory and slots of a replica in a data centre that
// this VM may use.
func (c VMCounts) share(dataCentre string) float64 {
	if c.DataCentre == "" || dataCentre == c.DataCentre {
		return 1 / float64(max(1, c.Local))
	}
	return remotePart / float64(max(1, c.Fleet-c.Local))
}

// allowance is what one VM may use of a replica, in fractions.
type allowance struct {
	// share is the fraction that it may always use, limit the fraction while the replica is
	// not reported as full.
	share float64
	limit float64
	// free is its fraction of the memory that a report shows as free.
	free float64
	// mayStartOn is VMCounts.mayStartOn.
	mayStartOn func(r Replica, room float64) bool
}

// allowance returns what this VM may use of a replica in a data centre.
func (c VMCounts) allowance(dataCentre string) allowance {
	share := c.share(dataCentre)
	return allowance{share: share, limit: min(1, maxShares*share), free: c.freePart(), mayStartOn: c.mayStartOn}
}

// freePart returns the fraction of the memory reported as free that this VM may take until
// the next report. Few VMs go beyond their share at the same time.
func (c VMCounts) freePart() float64 {
	if c.Whole {
		return 1 / float64(max(1, c.Fleet))
	}
	return min(1, maxFreeShares/float64(max(1, c.Fleet)))
}

// mayStartOn reports whether this VM may send one request to a replica of its data centre of which
// no load is known, although its even share is less than a request. Room is the number of requests
// that the replica has memory for. The VMs that may are chosen by a hash, differently for each
// replica, and as many as there is room for in the mean. Each VM then has some replicas for each
// layer, and all VMs together leave the memory that fullThreshold keeps free.
func (c VMCounts) mayStartOn(r Replica, room float64) bool {
	if r.DataCentre != c.DataCentre {
		return false
	}
	chosen := float64(xxhash.Sum64String(c.VM+"\x00"+r.ID)) / math.MaxUint64
	return chosen*float64(max(1, c.Local)) < fullThreshold*room
}
