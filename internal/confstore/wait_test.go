package confstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// fakeConfirmer reports that vm-5 confirms the version after a number of calls.
type fakeConfirmer struct{ left int }

// InForce implements Confirmer.
func (c *fakeConfirmer) InForce(uint64) (confirmed, missing []string) {
	c.left--
	if c.left >= 0 {
		return []string{"vm-1"}, []string{"vm-5"}
	}
	return []string{"vm-1", "vm-5"}, nil
}

// A change is accepted when it is in force on all VMs. Until then the acceptance must list
// the missing VMs. For this VM the version delivered to its subscribers counts, not the
// version that its peers report.
func TestWaitListsMissingVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		s := f.store("vm-1")
		f.fill(s, 1)
		if got := s.Wait(context.Background(), 1, &fakeConfirmer{left: 3}); !got.Accepted || len(got.Confirmed) != 2 {
			t.Fatalf("got %+v", got)
		}
		bounded, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		got := s.Wait(bounded, 1, &fakeConfirmer{left: 1000})
		if got.Accepted || len(got.Missing) != 1 || got.Missing[0] != "vm-5" {
			t.Fatalf("got %+v", got)
		}
		if got := s.acceptance(2, &fakeConfirmer{}); got.Accepted || got.Missing[0] != "vm-1" {
			t.Fatalf("got %+v", got)
		}
	})
}
