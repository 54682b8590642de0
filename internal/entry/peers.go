package entry

import (
	"time"

	"geraniumcroft/internal/census"
	"geraniumcroft/internal/follow"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/loads"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/pushback"
	pushbacksharing "geraniumcroft/internal/pushback/sharing"
	"geraniumcroft/internal/quarantine"
	"geraniumcroft/internal/relay"
)

func (p *Process) follower(table string, contentVersion func(map[string][]byte) (uint64, bool), onChange func(platform.TableView)) *follow.Follower {
	return follow.New(follow.Options{
		Table: table, Feed: p.store, Peers: p.peers, Logger: p.Logger,
		FollowsFeed: p.followsFeed,
		Relays:      func() bool { return p.census.Relays() },
		Relayed:     func() bool { return p.census.HasRelays() },
		RelayCount:  func() int { return p.census.RelayCount() },
		PeersKnown:  p.peersKnown,
		VMs:         func() int { return len(p.census.VMs()) },
		RetryGroup:  p.retryGroup, OnChange: onChange, Eras: p.Adapter.Eras, ContentVersion: contentVersion,
	})
}

// vmListWait is how long the first copies of the operator's tables wait for the list of VMs. It
// does not hold at the first start of the whole system, where a VM waits for the others.
const vmListWait = time.Second

// peersKnown reports whether the list of VMs was read, or is not waited for any more.
func (p *Process) peersKnown() bool {
	return p.census.Loaded() || !p.Settings.VM.FirstStart && time.Since(p.started) > vmListWait
}

// followsFeed reports whether this VM is one of those that read the store's feed themselves.
func (p *Process) followsFeed() bool { return p.census.FollowsFeed() }

// changesSince returns the changes of a table beyond what a peer holds, with their age, for a peer that
// asks. The revisions of loads and of the quarantine are not the store's and need no era: those of loads
// begin with the number of the tenure, which rises with the era.
func (p *Process) changesSince(table string, after platform.Cursor) (platform.TableChange, time.Duration, bool) {
	if loads.IsTable(table) {
		return p.loadCache.Since(table, after.Revision)
	}
	switch table {
	case census.TableName:
		return p.census.Since(after.Version)
	case quarantine.TableName:
		return p.sharing.Since(after.Revision)
	case p.Adapter.ReplicaTable:
		return p.view.replicaTable.Since(after)
	}
	return p.view.operatorTable.Since(after)
}

// applyOffer applies a table change that a peer has pushed, and forwards it if the peer asks for
// that. Changes of the operator's tables are not pushed but fetched, so that a VM knows the age of
// the answer.
func (p *Process) applyOffer(table string, change platform.TableChange, age time.Duration, forward bool) {
	if forward {
		p.forwarder.enqueue(forwardedOffer{table: table, change: change, age: age})
	}
	switch table {
	case loads.TableName:
		p.loadCache.Take(change, age)
	case quarantine.TableName:
		p.sharing.Apply(change, age)
	case pushbacksharing.TableName:
		p.pushbackSharing.Apply(change, age)
	}
}

// assumedLargeFleet is the number of VMs that is assumed while only the largest of a large fleet are
// known. If all VMs start together, each would otherwise take as much of what they share as in a
// fleet of some thirty.
const assumedLargeFleet = 1_000

func (p *Process) onVMs(vms []census.VM) {
	counts := p.vmCounts(vms)
	if !p.census.Complete() && len(vms) > 1 {
		counts = assumeLargeFleet(counts, len(vms))
	}
	p.table.SetVMs(counts.Fleet)
	p.pools.SetVMCounts(counts)
	p.retryBudgets.SetFleet(p.fleetCount(vms))
	p.pushback.SetFleet(p.fleet(vms), time.Now())
	p.peerSelection.setVMs(vms)
	p.hopPeers.SetPeers(hopPeersOf(vms))
	p.setAllocationVMs(vms)
}

func addressesOf(vms []census.VM) []string {
	addresses := make([]string, len(vms))
	for i, vm := range vms {
		addresses[i] = vm.Address
	}
	return addresses
}

// updateCounted claims this VM's share of the replicas' rate limits and of the retry budgets once the other
// VMs count it.
func (p *Process) updateCounted() {
	p.retryBudgets.SetFleet(p.fleetCount(p.census.VMs()))
	counted := p.census.Counted()
	if counted && !p.counted {
		p.pushback.SetFleet(p.fleet(p.census.VMs()), time.Now())
	}
	p.counted = counted
}

// fleetCount returns the VMs that share the retry budgets.
func (p *Process) fleetCount(vms []census.VM) relay.FleetCount {
	f := relay.FleetCount{Counted: p.census.Counted()}
	if p.census.Complete() {
		f.VMs = len(vms)
	}
	return f
}

func (p *Process) fleet(vms []census.VM) pushback.Fleet {
	fleet := pushback.Fleet{Self: p.Settings.VM.Name, Known: p.census.Counted()}
	for _, vm := range vms {
		fleet.VMs = append(fleet.VMs, pushback.VM{Name: vm.Name, DataCentre: vm.DataCentre})
	}
	return fleet
}

func (p *Process) vmCounts(vms []census.VM) layers.VMCounts {
	s := layers.VMCounts{VM: p.Settings.VM.Name, DataCentre: p.Settings.VM.DataCentre, Fleet: len(vms)}
	for _, vm := range vms {
		if vm.DataCentre == s.DataCentre {
			s.Local++
		}
	}
	return s
}

// assumeLargeFleet returns the counts for a large fleet of which some VMs are known. Data centres
// have parts of it like those of the known ones.
func assumeLargeFleet(known layers.VMCounts, vms int) layers.VMCounts {
	known.Local = max(1, known.Local*assumedLargeFleet/vms)
	known.Fleet = assumedLargeFleet
	return known
}
