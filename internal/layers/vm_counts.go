package layers

// remotePart is how much of a replica's memory the VMs of other data centres may fill
// together. Paths stay in their request's data centre unless something is missing
// there; then two data centres carry what three did.
const remotePart = 0.5

// maxFreeShares is how many even parts of the room that a report shows free one VM may take:
// a third of the VMs at most go beyond their share at the same time.
const maxFreeShares = 3.0

// maxShares is how many even shares of a replica's room one VM may use while the reports
// show it as not full. Requests come to VMs at random: some VMs need more than their share
// at any time, while all together hardly ever need more than the whole.
const maxShares = 2.5

// VMCounts says how many VMs send requests to the same replicas. Each sees its own
// requests only and keeps to its share.
type VMCounts struct {
	// DataCentre is that of this VM.
	DataCentre string
	// Fleet counts all VMs, Home those in this VM's data centre, itself included.
	Fleet int
	Local int
}

// share is the part of a replica's memory and slots that this VM may fill.
func (s VMCounts) share(dataCentre string) float64 {
	if s.DataCentre == "" || dataCentre == s.DataCentre {
		return 1 / float64(max(1, s.Local))
	}
	return remotePart / float64(max(1, s.Fleet-s.Local))
}

// allowance is what one VM may fill of a replica.
type allowance struct {
	// share is the part that it may always fill, most the part while the replica is not
	// reported as full.
	share float64
	limit float64
	// free is the part that it may fill of the room which a report shows free.
	free float64
}

func (s VMCounts) allowance(dataCentre string) allowance {
	share := s.share(dataCentre)
	return allowance{share: share, limit: min(1, maxShares*share), free: s.freePart()}
}

// freePart is the part of the room that a report shows free which this VM may take
// until the next one. Few VMs go beyond their share at the same time.
func (s VMCounts) freePart() float64 { return min(1, maxFreeShares/float64(max(1, s.Fleet))) }
