package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// An even part of the slack is less than one retry in a large fleet. Guards against a fleet in which
// nobody may ever retry, above some thousand VMs with a slack of 1,040, and against one that goes
// beyond its slack: all VMs try as often as they can, and no window of ten seconds may have more.
func TestRetriesOfALargeFleet(t *testing.T) {
	const slack, window = 1_040, 10 * time.Second
	for _, vms := range []int{6, 88, 195, 985, 1_030, 1_180, 1_970, 3_940} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var budgets []*RetryBudgets
				for i := range vms {
					b := NewRetryBudgets(RetryBudgetSettings{VM: fmt.Sprint("vm-", i), Slack: slack, Window: window, FirstStart: true})
					budgets = append(budgets, b)
				}
				const step, seconds = time.Second, 120
				var retries [seconds]int
				for second := range seconds {
					for _, b := range budgets {
						b.SetFleet(FleetCount{VMs: vms, Counted: true})
						for b.Budget("service").Take() {
							retries[second]++
						}
					}
					time.Sleep(step)
				}
				total, most := 0, 0
				for i := range retries {
					total += retries[i]
					inWindow := 0
					for j := max(0, i-int(window/step)+1); j <= i; j++ {
						inWindow += retries[j]
					}
					most = max(most, inWindow)
				}
				t.Logf("%d retries in a window at most, %d in all", most, total)
				if most > slack {
					t.Errorf("%d retries in a window, %d allowed", most, slack)
				}
				if least := slack * seconds / int(window/time.Second) / 4; total < least {
					t.Errorf("%d retries in two minutes, less than a quarter of the slack", total)
				}
			})
		})
	}
}
