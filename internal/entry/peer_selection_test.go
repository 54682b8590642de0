package entry

import (
	"fmt"
	"slices"
	"testing"

	"geraniumcroft/internal/census"
	"geraniumcroft/internal/mirror"
)

// Guards against a VM that knows only the seeds of its settings after a reload (SIGHUP) and gets versions late
// if these are down, and against one that asks the seeds of before the reload once its list changes.
func TestReloadChangesTheSeedsAlone(t *testing.T) {
	var got mirror.Peers
	s := &peerSelection{
		dataCentre: "dc0", seeds: []string{"old-seed"}, apply: func(p mirror.Peers) { got = p },
		followsFeed: func() bool { return false }, relays: func() bool { return false },
	}
	var vms []census.VM
	for i := range 12 {
		vms = append(vms, census.VM{Name: fmt.Sprint("vm-", i), Address: fmt.Sprint("address-", i), DataCentre: fmt.Sprint("dc", i%3), Cores: 1})
	}
	s.setVMs(vms)
	learnt := got
	s.setSeeds([]string{"new-seed"})
	if len(learnt.LocalFollowers) == 0 || !slices.Equal(got.LocalFollowers, learnt.LocalFollowers) || len(got.RemoteFollowers) != 2 ||
		!slices.Equal(got.LocalRelays, learnt.LocalRelays) || len(got.FeedFollowers) != 3 {
		t.Errorf("after the reload %+v, before %+v", got, learnt)
	}
	s.setVMs(vms[1:])
	if !slices.Contains(got.Fallback, "new-seed") || slices.Contains(got.Fallback, "old-seed") {
		t.Errorf("asked if no follower answers: %v", got.Fallback)
	}
}
