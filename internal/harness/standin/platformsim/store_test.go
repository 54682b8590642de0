package platformsim

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/platform"
)

func TestTransactionsAreAtomicAndRevisionsNeverRepeat(t *testing.T) {
	store := NewStore()
	ctx := t.Context()
	two := platform.Txn{
		ID:         "t1",
		Conditions: []platform.Condition{{Key: "a"}, {Key: "b"}},
		Writes:     []platform.Write{{Key: "a"}, {Key: "b"}},
	}
	if err := store.Commit(ctx, two); err != nil {
		t.Fatal(err)
	}
	first, _ := store.Get(ctx, "a", "b")
	half := platform.Txn{
		ID:         "t2",
		Conditions: []platform.Condition{{Key: "a", Revision: first[0].Revision}, {Key: "b"}},
		Writes:     []platform.Write{{Key: "a", Delete: true}, {Key: "c"}},
	}
	var refused *platform.RefusedError
	if err := store.Commit(ctx, half); !errors.As(err, &refused) || len(refused.Rows) != 1 || refused.Rows[0].Key != "b" {
		t.Fatalf("got %v, want it refused for b alone", err)
	}
	if rows, _ := store.Scan(ctx, "a", "z", 10); len(rows) != 2 {
		t.Fatalf("a refused transaction left %d rows, want 2", len(rows))
	}
	half.Conditions = half.Conditions[:1]
	if err := store.Commit(ctx, half); err != nil {
		t.Fatal(err)
	}
	again := platform.Txn{ID: "t3", Conditions: []platform.Condition{{Key: "a"}}, Writes: []platform.Write{{Key: "a"}}}
	if err := store.Commit(ctx, again); err != nil {
		t.Fatal(err)
	}
	second, _ := store.Get(ctx, "a")
	if second[0].Revision <= first[0].Revision {
		t.Fatal("the revision of a deleted row was reused")
	}
}

func TestVMListLagsAndFreezes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore()
		count := func() int {
			vms, err := store.VMs(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			return len(vms)
		}
		store.Faults.Set(Order{VMLag: config.Duration(10 * time.Second)})
		store.SetVMs(platform.VM{Name: "vm-1"})
		if count() != 0 {
			t.Fatal("the list does not lag")
		}
		time.Sleep(10 * time.Second)
		if count() != 1 {
			t.Fatal("the list does not appear after the lag")
		}
		store.Faults.Set(Order{FreezeVMs: true})
		store.SetVMs()
		time.Sleep(time.Hour)
		if count() != 1 {
			t.Fatal("the list is not frozen")
		}
	})
}
