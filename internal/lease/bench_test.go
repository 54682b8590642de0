package lease

import (
	"context"
	"fmt"
	"testing"
	"time"

	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/platform/resilient"
)

// BenchmarkHeldWithinBudget reports the share of time in which a duty has a holder if each VM's
// table budget is its share of the fleet's budget, as the node divides it. Three VMs compete in
// real time with the budget of one VM in a fleet of each size. An operation is 100 ms.
func BenchmarkHeldWithinBudget(b *testing.B) {
	duties := []string{"orders", "sweep", "compact"}
	for _, fleet := range []int{6, 32, 64, 320} {
		b.Run(fmt.Sprint(fleet), func(b *testing.B) {
			store := platformsim.NewStore()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var managers []*Manager
			for i := range 3 {
				table := resilient.New(store, store, store, resilient.Settings{VMs: fleet})
				b.Cleanup(table.Close)
				m := NewManager(Options{
					Table: table, VM: fmt.Sprint("vm", i), Duties: duties, Invariants: invariant.Strict(),
					VMs: func() int { return fleet },
				})
				managers = append(managers, m)
				go m.Run(ctx)
			}
			held := 0
			for range b.N {
				time.Sleep(100 * time.Millisecond)
				held += heldBy(managers, duties)
			}
			b.ReportMetric(100*float64(held)/float64(b.N*len(duties)), "%held")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// heldBy returns the number of duties under which some VM may act.
func heldBy(managers []*Manager, duties []string) int {
	held := 0
	for _, duty := range duties {
		for _, m := range managers {
			if lease, ok := m.Held(duty); ok && lease.Check() == nil {
				held++
				break
			}
		}
	}
	return held
}
