package entry

import (
	"time"

	"geraniumcroft/internal/census"
	"geraniumcroft/internal/follow"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/loads"
	"geraniumcroft/internal/mirror"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/pushback"
	pushbacksharing "geraniumcroft/internal/pushback/sharing"
	"geraniumcroft/internal/quarantine"
)

func (p *Process) follower(table string, onChange func(platform.TableView)) *follow.Follower {
	return follow.New(follow.Options{Table: table, Feed: p.store, Peers: p.peers, Logger: p.Logger, FollowsFeed: p.followsFeed, VMs: func() int { return len(p.census.VMs()) }, RetryGroup: p.tries, OnChange: onChange})
}

// followsFeed reports whether this VM is one of those that follow the store's feed.
func (p *Process) followsFeed() bool { return p.census.Follows() }

// since is what peers are given.
func (p *Process) since(table string, after uint64) (platform.TableChange, time.Duration, bool) {
	switch table {
	case loads.TableName:
		return p.board.Since(after)
	case quarantine.TableName:
		return p.sharing.Since(after)
	case p.Adapter.ReplicaTable:
		return p.view.replicas.Since(after)
	}
	return p.view.operator.Since(after)
}

// take is given what peers offer. The operator's tables are not offered but asked for, so that a
// VM knows how old its answer is.
func (p *Process) take(table string, change platform.TableChange, age time.Duration) {
	switch table {
	case loads.TableName:
		p.board.Take(change, age)
	case quarantine.TableName:
		p.sharing.Apply(change, age)
	case pushbacksharing.TableName:
		p.pushbackSharing.Apply(change, age)
	}
}

func (p *Process) onVMs(vms []census.VM) {
	p.table.SetVMs(len(vms))
	p.pools.SetSharers(p.sharers(vms))
	p.budgets.SetVMs(len(vms))
	p.pushback.SetFleet(p.fleet(vms), time.Now())
	p.peers.SetPeers(p.peersAmong(vms))
}

// peersAmong says whom of the VMs this one asks.
func (p *Process) peersAmong(vms []census.VM) mirror.Peers {
	peers := mirror.Peers{Fallback: append(addressesOf(vms), p.Settings.Peers.Seeds...)}
	for dataCentre, followers := range p.census.Followers() {
		if dataCentre == p.Settings.VM.DataCentre {
			peers.LocalFollowers = addressesOf(followers)
			continue
		}
		peers.RemoteFollowers = append(peers.RemoteFollowers, addressesOf(followers))
	}
	return peers
}

func addressesOf(vms []census.VM) []string {
	addresses := make([]string, len(vms))
	for i, vm := range vms {
		addresses[i] = vm.Address
	}
	return addresses
}

// noteCounted takes up this VM's part of what the fleet shares once the others count it.
func (p *Process) noteCounted() {
	if now := time.Now(); !p.counted && p.census.Counted(now) {
		p.counted = true
		p.pushback.SetFleet(p.fleet(p.census.VMs()), now)
	}
}

func (p *Process) fleet(vms []census.VM) pushback.Fleet {
	fleet := pushback.Fleet{Self: p.Settings.VM.Name, Known: p.census.Counted(time.Now())}
	for _, vm := range vms {
		fleet.VMs = append(fleet.VMs, pushback.VM{Name: vm.Name, DataCentre: vm.DataCentre})
	}
	return fleet
}

func (p *Process) sharers(vms []census.VM) layers.VMCounts {
	s := layers.VMCounts{DataCentre: p.Settings.VM.DataCentre, Fleet: len(vms)}
	for _, vm := range vms {
		if vm.DataCentre == s.DataCentre {
			s.Local++
		}
	}
	return s
}
