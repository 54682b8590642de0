package census

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/platform"
)

// Guards against VMs that nobody counts for minutes because the table came back from a copy of before
// their registration, and against a fleet that reads or writes all rows again for it.
func TestVMsRegisterAgainAfterTableRestored(t *testing.T) {
	for _, size := range fleetSizes(6, 88, 195) {
		t.Run(fmt.Sprint(size, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const (
					// hearsWithin is the time in which VMs hear of the new era, countedWithin the one in
					// which all have to count all others again.
					hearsWithin   = 2 * time.Second
					countedWithin = 24 * time.Second
				)
				table := &fakeTable{rows: map[string]platform.Row{}, writesPerSecond: 200}
				early, late := size-size/20-1, size
				vms, stop := startFleet(t, table, late, 30*time.Second, true)
				defer stop()
				time.Sleep(30 * time.Second * time.Duration(early) / time.Duration(late))
				from := table.copy()
				time.Sleep(30 * time.Second)
				table.restore(from)
				missing := late - len(from.rows)
				before, _ := table.totals()
				for i, c := range vms {
					time.AfterFunc(hearsWithin*time.Duration(i)/time.Duration(late), func() { c.eras.Raise(1) })
				}
				time.Sleep(countedWithin)
				for i, c := range vms {
					if n := len(c.VMs()); n != late {
						t.Errorf("vm %d counts %d of %d, %s after the restoration", i, n, late, countedWithin)
						break
					}
				}
				if rows := len(table.copy().rows); rows != late {
					t.Errorf("%d rows of %d VMs", rows, late)
				}
				after, _ := table.totals()
				// A missing row takes a write and, where it is refused, a reading and another write. The
				// list is read by the VMs that follow the feed while it changes, and rows fall due.
				due := 2 * late * int(countedWithin/intervalFor(late)+1)
				readings := dataCentres * minFollowers * (1 + late/pageRows) * int(countedWithin/startupInterval)
				t.Logf("%d calls, %d rows missing", after-before, missing)
				if n := after - before; n > 3*missing+due+readings {
					t.Errorf("%d calls, %d allowed", n, 3*missing+due+readings)
				}
			})
		})
	}
}
