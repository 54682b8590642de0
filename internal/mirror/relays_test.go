package mirror

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/platform"
)

// The store turns away all VMs that follow its feed, the busiest ones, and serves the others. Guards
// against a change that reaches no VM but those whose own turn at the store comes: with a turn of
// 40 ms for each VM, 39 s in a fleet of 985.
func TestChangeIsInForceThoughAllFeedFollowersAreTurnedAway(t *testing.T) {
	sizes := []int{320}
	if os.Getenv(largeFleets) != "" {
		sizes = append(sizes, 985, 1_970)
	}
	for _, vms := range sizes {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// Within this time an operator's change is in force in fleets of this size.
				const bound = 5 * time.Second
				f := newSpreadFleetOf(vms, 5)
				stop := f.start(t)
				time.Sleep(3 * time.Second)
				for _, vm := range f.vms {
					vm.rejected.Store(vm.follows)
				}
				time.Sleep(time.Second)
				accepted := time.Now()
				f.set(func() {
					f.view = platform.TableView{Version: platform.Version{Revision: 2}, Rows: configuration(1770, 2)}
				})
				time.Sleep(bound + time.Second)
				stop()
				slowest, vm := f.slowest(accepted)
				t.Logf("the slowest VM has it after %s", slowest)
				if slowest > bound {
					t.Errorf("%s has it after %s only", vm, slowest)
				}
			})
		})
	}
}
