package confstore

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
)

// fixture is one table and one object store that several VMs share.
type fixture struct {
	t       *testing.T
	table   *fakeTable
	objects *fakeObjects
}

func newFixture(t *testing.T) *fixture {
	return &fixture{t: t, table: newFakeTable(), objects: newFakeObjects()}
}

func (f *fixture) store(vm string) *Store { return f.storeWith(vm, Options{}) }

func (f *fixture) storeWith(vm string, o Options) *Store {
	o.Table, o.Objects, o.VM, o.Invariants = f.table, f.objects, vm, invariant.Strict()
	return New(o)
}

// mustPropose proposes and ends the test on an error.
func (f *fixture) mustPropose(s *Store, p Proposal) config.Change {
	f.t.Helper()
	change, err := s.Propose(context.Background(), p)
	if err != nil {
		f.t.Fatalf("propose %s %s: %v", p.Kind, p.Name, err)
	}
	return change
}

// withProfile creates a workspace and the call profile "permits" and returns the
// profile's revision.
func (f *fixture) withProfile(s *Store) uint64 {
	f.t.Helper()
	f.mustPropose(s, workspace("crews", 0, 1))
	return f.mustPropose(s, permits("create", 0, time.Second)).Version
}

func workspace(name string, revision uint64, weight int) Proposal {
	return Proposal{
		ID: fmt.Sprintf("%s-%d-%d", name, revision, weight), Author: "ana",
		Kind: config.EntityWorkspace, Name: name, IfRevision: revision,
		Value: fmt.Appendf(nil, `{"weight":%d}`, weight),
	}
}

func permits(id string, revision uint64, deadline time.Duration) Proposal {
	value := fmt.Sprintf(`{"workspace":"crews","class":"call","urgency":"urgent","service":"permisos",`+
		`"path":"/permits","deadline":%q,"limits":{}}`, deadline)
	return Proposal{
		ID: id, Author: "ana", Kind: config.EntityProfile, Name: "permits",
		Value: json.RawMessage(value), IfRevision: revision,
	}
}

func deadlineOf(s *Store) time.Duration {
	return time.Duration(s.Current().Profiles["permits"].Deadline)
}
