package layers

// awayPart is how much of a replica's memory the VMs of other data centres may fill
// together. Paths stay in their request's data centre unless something is missing
// there; then two data centres carry what three did.
const awayPart = 0.5

// goBeyond is how many even parts of the room that a report shows free one VM may take:
// a third of the VMs at most go beyond their share at the same time.
const goBeyond = 3.0

// Sharers says how many VMs send requests to the same replicas. Each sees its own
// requests only and keeps to its share.
type Sharers struct {
	// DataCentre is that of this VM.
	DataCentre string
	// All counts all VMs, Home those in this VM's data centre, itself included.
	All  int
	Home int
}

// share is the part of a replica's memory and slots that this VM may fill.
func (s Sharers) share(dataCentre string) float64 {
	if s.DataCentre == "" || dataCentre == s.DataCentre {
		return 1 / float64(max(1, s.Home))
	}
	return awayPart / float64(max(1, s.All-s.Home))
}

// freePart is the part of the room that a report shows free which this VM may take
// until the next one. Few VMs go beyond their share at the same time.
func (s Sharers) freePart() float64 { return min(1, goBeyond/float64(max(1, s.All))) }
