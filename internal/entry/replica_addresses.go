package entry

import "math/rand/v2"

// replicaAddresses are the addresses, IP:port, of the listed replicas. It is not changed once it is in
// use.
type replicaAddresses struct {
	known map[string]bool
	all   []string
}

func newReplicaAddresses() *replicaAddresses { return &replicaAddresses{known: map[string]bool{}} }

func (a *replicaAddresses) add(address string) {
	if !a.known[address] {
		a.known[address] = true
		a.all = append(a.all, address)
	}
}

// draw returns up to n distinct addresses at random.
func (a *replicaAddresses) draw(n int) []string {
	if a == nil || len(a.all) == 0 {
		return nil
	}
	drawn := make([]string, 0, n)
	first, step := rand.IntN(len(a.all)), max(1, len(a.all)/n)
	for i := range min(n, len(a.all)) {
		drawn = append(drawn, a.all[(first+i*step)%len(a.all)])
	}
	return drawn
}

// isReplica reports whether a listed replica has the address.
func (v *view) isReplica(address string) bool {
	addresses := v.addresses.Load()
	return addresses != nil && addresses.known[address]
}
