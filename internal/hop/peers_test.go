package hop

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet returns VMs of three data centres.
func fleet(vms int) []Peer {
	var all []Peer
	for i := range vms {
		all = append(all, Peer{Address: fmt.Sprint("vm-", i), DataCentre: []string{"north", "south", "west"}[i%3]})
	}
	return all
}

// Guards against bytes between data centres while a peer nearby passes connections on.
func TestNearPeersAreAskedFirst(t *testing.T) {
	p := NewPeers(Peer{Address: "vm-0", DataCentre: "north"})
	p.SetPeers(fleet(6))
	if got := p.Pick(nil, start); got != "vm-3" {
		t.Errorf("%s", got)
	}
	if got := p.Pick([]string{"vm-3"}, start); got == "vm-3" || got == "vm-0" || got == "" {
		t.Errorf("%s", got)
	}
	p.ObserveCutOff("vm-3", start)
	if got := p.Pick(nil, start); got == "vm-3" || got == "vm-0" || got == "" {
		t.Errorf("a peer that is cut off: %s", got)
	}
	if got := p.Pick(nil, start.Add(cutOffTime)); got != "vm-3" {
		t.Errorf("after it: %s", got)
	}
	for _, peer := range fleet(6) {
		p.Avoid(peer.Address, unfitTime, start)
	}
	if got := p.Pick(nil, start); got == "" {
		t.Error("nobody is asked since all are unfit")
	}
}

// Guards against a VM that asks the same peers again and again, all cut off, where all are avoided and the
// one that could help is among the others.
func TestAllPeersAreAskedInTurnWhereAllAreAvoided(t *testing.T) {
	all := fleet(6)
	for _, helper := range all[1:] {
		p := NewPeers(all[0])
		p.SetPeers(all)
		for _, peer := range all {
			p.Avoid(peer.Address, unfitTime, start)
		}
		now, found := start, false
		for range 2 { // connection attempts
			var asked []string
			for range 3 {
				peer := p.Pick(asked, now)
				asked = append(asked, peer)
				if found = peer == helper.Address; found {
					break
				}
				now = now.Add(time.Millisecond)
				p.Avoid(peer, unfitTime, now)
			}
			if found {
				break
			}
		}
		if !found {
			t.Errorf("%s is not asked", helper.Address)
		}
	}
}

// Guards against one peer that carries the connections of all VMs that are cut off, where a whole data
// centre of a large fleet is.
func TestConnectionsOfADataCentreAreSpread(t *testing.T) {
	for _, vms := range []int{6, 88, 195, 985, 1970} {
		all, load := fleet(vms), map[string]int{}
		cutOff, each := 0, 30
		for _, self := range all {
			if self.DataCentre != "north" {
				continue
			}
			cutOff++
			p := NewPeers(self)
			p.SetPeers(all)
			for _, peer := range all {
				if peer.DataCentre == "north" {
					p.ObserveCutOff(peer.Address, start)
				}
			}
			for range each {
				picked := p.Pick(nil, start)
				p.count(picked, 1)
				load[picked]++
			}
			if len(p.near) > maxNear || len(p.far) > maxFar || len(p.unfitUntil) > maxNear+maxFar {
				t.Errorf("%d VMs: what a VM holds grows with the fleet", vms)
			}
		}
		most := 0
		for address, n := range load {
			most = max(most, n)
			if all[0].DataCentre == "north" && address == all[0].Address {
				t.Errorf("%d VMs: a VM that is cut off is asked", vms)
			}
		}
		mean := float64(cutOff*each) / float64(vms-cutOff)
		t.Logf("%d VMs: at most %d connections through one, %.1f on average", vms, most, mean)
		if float64(most) > 6*mean {
			t.Errorf("%d VMs: %d connections through one peer, %.1f on average", vms, most, mean)
		}
	}
}

// Guards against a VM whose first peers are cut off and that asks few others, so that its requests fail
// although most of its peers could help.
func TestHelperIsFoundWhereAThirdIsCutOff(t *testing.T) {
	const vms, seconds, perSecond, inUse, asks = 985, 8, 3, 6, 12
	all := make([]Peer, vms)
	for i := range all {
		all[i] = Peer{Address: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("dc-", i%10)}
	}
	cutOff := map[string]bool{}
	for i, peer := range all {
		cutOff[peer.Address] = i/10%3 == 0 // of each data centre
	}
	asked := 0
	for i, self := range all {
		if !cutOff[self.Address] {
			continue
		}
		p := NewPeers(self)
		p.SetPeers(all)
		var used []string // the peers of the requests so far
		for n := range seconds * perSecond {
			now := start.Add(time.Duration(n) * time.Second / perSecond)
			if n >= inUse {
				p.count(used[n-inUse], -1)
			}
			found := false
			for tries := 0; tries < asks && !found; tries += maxAsked {
				var inRow []string
				for len(inRow) < maxAsked && !found {
					peer := p.Pick(inRow, now)
					inRow = append(inRow, peer)
					asked++
					if found = !cutOff[peer]; found {
						p.RecordAnswer(peer, true, now)
						p.count(peer, 1)
						used = append(used, peer)
						break
					}
					p.RecordAnswer(peer, false, now)
				}
			}
			if !found {
				t.Fatalf("vm-%d finds no helper for request %d", i, n)
			}
		}
	}
	t.Logf("%d asked", asked)
}

// Guards against peers that are cut off for long and are asked by each VM once a second.
func TestPeersThatDeclineAgainAreAskedLessOften(t *testing.T) {
	all := fleet(6)
	p := NewPeers(all[0])
	p.SetPeers(all)
	near := "vm-3"
	asked := 0
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(100 * time.Millisecond) {
		if p.Pick(nil, now) == near {
			asked++
			p.RecordAnswer(near, false, now)
		}
	}
	if asked > 6 {
		t.Errorf("asked %d times in 30 s", asked)
	}
	p.RecordAnswer(near, true, start.Add(30*time.Second))
	if got := p.Pick(nil, start.Add(30*time.Second)); got != near {
		t.Errorf("%s is asked although the near one passes connections on again", got)
	}
}
